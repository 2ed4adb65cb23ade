#include <catch2/catch.hpp>
#include <string>

#include "protocol/protocol.h"

namespace gooseberrygap::protocol {
namespace {

constexpr char kFull[] = R"({
  "instance": "kochi-1a", "region": "kochi", "failure_domain": "kochi-1",
  "http": {"listen": "127.0.0.1:8101", "workers": 2, "max_connections": 3,
           "max_header_bytes": 4096, "max_body_bytes": 5},
  "peer": {"listen": "0.0.0.0:9101", "advertise": "10.0.0.1:9101"},
  "control_instances": [
    {"instance": "kochi-1a", "address": "10.0.0.1:9101", "region": "kochi"},
    {"instance": "kochi-2a", "address": "10.0.0.2:9101", "region": "kochi"}],
  "control": {"data_dir": "/var/lib/gooseberrygap", "snapshot_entries": 6},
  "configuration_apply_ms": 1500, "memory_mb": 160, "pressure": {"hold_ms": 8, "stall_ms": 900}, "log_level": "warn", "target_workers": 7})";

std::string FaultsOf(const std::string& json) {
  const auto parsed = ParseSettings(json);
  REQUIRE(parsed.has_error());
  CHECK(parsed.error().kind_ == state::ErrorKind::kInvalidSettings);
  return parsed.error().message_;
}

std::string Edited(const std::string& from, const std::string& to) {
  std::string text = kFull;
  const size_t position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

// Guards against a row in another order than the members.
TEST_CASE("settings carry every key to its member") {
  const auto parsed = ParseSettings(kFull);
  REQUIRE(parsed.has_value());
  CHECK(parsed.value() ==
        Settings{
            .instance_ = "kochi-1a",
            .region_ = "kochi",
            .failure_domain_ = "kochi-1",
            .http_ = {.listen_ = "127.0.0.1:8101",
                      .workers_ = 2,
                      .max_connections_ = 3,
                      .max_header_bytes_ = 4096,
                      .max_body_bytes_ = 5},
            .peer_ = {.listen_ = "0.0.0.0:9101", .advertise_ = "10.0.0.1:9101"},
            .control_instances_ = {{.instance_ = "kochi-1a",
                                    .address_ = "10.0.0.1:9101",
                                    .region_ = "kochi"},
                                   {.instance_ = "kochi-2a",
                                    .address_ = "10.0.0.2:9101",
                                    .region_ = "kochi"}},
            .control_ = ControlSettings{.data_dir_ = "/var/lib/gooseberrygap",
                                        .snapshot_entries_ = 6},
            .configuration_apply_ = state::Millis(1500),
            .memory_mb_ = 160,
            .pressure_ = {.hold_ = state::Millis(8),
                          .stall_ = state::Millis(900)},
            .log_level_ = "warn",
            .target_workers_ = 7});
}

// Guards against a daemon without a control section that takes the role on, or
// that announces an empty peer address.
TEST_CASE("optional settings take their defaults") {
  const auto parsed = ParseSettings(R"({
    "instance": "a", "region": "r", "failure_domain": "d",
    "http": {"listen": "127.0.0.1:8101"}, "peer": {"listen": "127.0.0.1:9101"},
    "control_instances": []})");
  REQUIRE(parsed.has_value());
  CHECK_FALSE(parsed.value().control_.has_value());
  CHECK(parsed.value().peer_.advertise_ == "127.0.0.1:9101");
  CHECK(parsed.value().http_.workers_ == HttpSettings{}.workers_);
}

struct FaultCase {
  const std::string from_ = {};
  const std::string to_ = {};
  const std::string message_ = {};
};

// Guards against settings with which a daemon would start and be unreachable.
TEST_CASE("faults in settings name their path") {
  const FaultCase fault = GENERATE(values<FaultCase>({
      {"127.0.0.1:8101", "localhost:8101",
       "http.listen: found \"localhost:8101\"; allowed: a numeric IPv4"},
      {"127.0.0.1:8101", "127.0.0.1:0", "http.listen: found"},
      {"127.0.0.1:8101", "127.0.0.1:65536", "http.listen: found"},
      {"127.0.0.1:8101", "127.0.0.1:+80", "http.listen: found"},
      {"127.0.0.1:8101", "127.0.0.1", "http.listen: found"},
      {"127.0.0.1:8101", "127.0.0.1.5:80", "http.listen: found"},
      {R"(, "advertise": "10.0.0.1:9101")", "",
       "peer.advertise: found nothing; allowed: the address by which"},
      {R"({"instance": "kochi-2a")", R"({"instance": "kochi-1a")",
       "control_instances[1].instance: found \"kochi-1a\""},
      {R"("data_dir": "/var/lib/gooseberrygap")", R"("data_dir": "")",
       "control.data_dir: found \"\""},
      {R"("control": {)", R"("control": null, "x": {)", "control: found null"},
      {R"("memory_mb": 160)", R"("memory_mb": 31)",
       "memory_mb: found 31; allowed: an integer from 32"},
      {R"("warn")", R"("loud")", "log_level: found \"loud\"; allowed: one of"},
      {R"("target_workers": 7)", R"("target_workers": 0)",
       "target_workers: found 0; allowed: an integer from 1 to 4096"},
  }));
  CAPTURE(fault.to_);
  CHECK_THAT(FaultsOf(Edited(fault.from_, fault.to_)),
             Catch::Matchers::Contains(fault.message_));
}

}  // namespace
}  // namespace gooseberrygap::protocol
