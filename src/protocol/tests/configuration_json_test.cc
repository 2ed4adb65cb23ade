#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "protocol/protocol.h"

namespace gooseberrygap::protocol {
namespace {

constexpr char kValid[] = R"({"version": 3, "services": [
  {"name": "catalogue", "rules": [
    {"method": "GET", "path_prefix": "/", "request_class": "idempotent"}]},
  {"name": "order-desk", "strategy": "two_choices", "rules": [
    {"path_prefix": "/", "request_class": "non_idempotent",
     "key_source": "path"}]}]})";

// Returns kValid with the first occurrence of `from` replaced.
std::string Edited(absl::string_view from, absl::string_view to) {
  std::string text = kValid;
  const size_t position = text.find(std::string(from));
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), std::string(to));
}

std::string FaultsOf(absl::string_view json) {
  const auto parsed = ParseConfiguration(json);
  REQUIRE(parsed.has_error());
  CHECK(parsed.error().kind_ == state::ErrorKind::kInvalidConfiguration);
  return parsed.error().message_;
}

void CheckMentions(const std::string& text, const std::string& part) {
  CHECK_THAT(text, Catch::Matchers::Contains(part));
}

struct FaultCase {
  const std::string from_ = {};
  const std::string to_ = {};
  const std::string message_ = {};
};

// Guards against a fault that is accepted, or reported without its path, what
// was found or what is allowed.
TEST_CASE("each kind of fault names its path") {
  const FaultCase fault = GENERATE(values<FaultCase>({
      {R"("version": 3)", R"("version": 0)",
       "version: found 0; allowed: an integer from 1 to"},
      {R"("version": 3)", R"("version": 3.5)", "version: found 3.5;"},
      {R"("version": 3)", R"("version": "3")", R"(version: found "3";)"},
      {R"("version": 3)", R"("version": 18446744073709551615)",
       "version: found 18446744073709551615;"},
      {R"("version": 3)", R"("version": 1e999)", "version: found"},
      {R"("version": 3,)", "", "version: found nothing; allowed: an integer"},
      {R"("version": 3)", R"("version": 3, "verison": 3)",
       "verison: found an unknown key; allowed: version, services,"},
      {R"("version": 3)", R"("version": 3, "version": 4)",
       "version: found the key for the second time"},
      {R"("version": 3)", R"("version": 3, "load_budget": [])",
       "load_budget: found an array; allowed: an object"},
      {R"("version": 3)",
       R"("version": 3, "load_budget": {"messages_per_second": -1})",
       "load_budget.messages_per_second: found -1; allowed: a number from 0"},
      {R"("method": "GET")", R"("method": "get")",
       R"(services[0].rules[0].method: found "get"; allowed: an upper-case)"},
      {R"("idempotent")", R"("lookup")",
       "services[0].rules[0].request_class: found \"lookup\"; allowed: one of "
       "idempotent, non_idempotent"},
      {R"("path_prefix": "/")", R"("path_prefix": "")",
       "services[0].rules[0].path_prefix: found \"\";"},
      {R"("two_choices")", R"("three_choices")",
       "services[1].strategy: found \"three_choices\"; allowed: one of "
       "probed_latency, random,"},
      {R"("order-desk")", R"("catalogue")",
       "services[1].name: found \"catalogue\"; allowed: a name that no "
       "earlier element has"},
      {R"("catalogue")", R"("-")", R"(services[0].name: found "-";)"},
      {R"("catalogue")", R"("Catalogue")", "services[0].name: found"},
      {R"("name": "catalogue")",
       R"("name": "catalogue", "hedge": {"enabled": 1})",
       "services[0].hedge.enabled: found 1; allowed: true or false"},
      {R"("name": "catalogue")",
       R"("name": "catalogue", "hedge": {"odd key": 1})",
       R"(services[0].hedge["odd key"]: found an unknown key; allowed: enabled)"},
      {R"("key_source": "path"}]}]})", R"("key_source": "path"}]}]} {})",
       "(document): found parse error at line 6"},
      {R"("key_source": "path")", R"("key_source": )",
       "services[1].rules[0].key_source: found parse error"},
  }));
  CAPTURE(fault.to_);
  const std::string message = FaultsOf(Edited(fault.from_, fault.to_));
  CheckMentions(message, fault.message_);
  CheckMentions(message, "has 1 fault:");
  CheckMentions(message, "gooseberrygapctl config check");
}

// Guards against a parser that stops at the first fault, so that an operator
// needs one round for each.
TEST_CASE("all faults are reported at once") {
  const std::string message = FaultsOf(
      R"({"versoin": 1, "services": [
        {"name": "a", "rules": 7, "max_queue": -1},
        {"name": "a", "name": "b", "rules": [{}]}]})");
  for (const char* const path :
       {"versoin: ", "\n  version: ", "services[0].rules: ",
        "services[0].max_queue: ", "services[1].name: ",
        "services[1].rules[0].path_prefix: ",
        "services[1].rules[0].request_class: "}) {
    CheckMentions(message, path);
  }
  CheckMentions(message, "has 7 faults:");
}

// Guards against text that escapes as an exception, ends the process, or leaves
// invalid UTF-8 in the message, which could not be sent as JSON.
TEST_CASE("hostile text gives an ordinary error") {
  std::string deep = R"({"version": )";
  deep.append(200000, '[');
  const std::string closed = deep + std::string(200000, ']') + "}";
  for (const std::string& text :
       {std::string(), std::string("null"), std::string("\0", 1),
        std::string("\"\xff\xfe\""), std::string("{\"\xc3\xa9\": 1}"), deep,
        closed}) {
    const std::string message = FaultsOf(text);
    CHECK(std::all_of(message.begin(), message.end(),
                      [](char c) { return static_cast<uint8_t>(c) < 0x80; }));
  }
}

state::Configuration EveryMemberSet() {
  using state::Millis;
  return state::Configuration{
      .version_ = 9007199254740991,
      .services_ =
          {state::Service{
               .name_ = "purchasing",
               .strategy_ = "round_robin",
               .default_deadline_ = Millis(1500.25),
               .ramp_up_ = Millis(2),
               .max_queue_ = 3,
               .rules_ = {state::Rule{
                              .method_ = "PUT",
                              .path_prefix_ = "/coils/",
                              .request_class_ = state::RequestClass::kAction,
                              .key_source_ = state::KeySource::kPath},
                          state::Rule{
                              .path_prefix_ = "/",
                              .request_class_ = state::RequestClass::kLookup}},
               .retry_ = {.max_attempts_ = 5, .budget_ratio_ = 0.6},
               .hedge_ = {.enabled_ = false,
                          .quantile_ = 0.7,
                          .budget_ratio_ = 0.8},
               .admission_ = {.max_targets_ = 9,
                              .max_slots_ = 10,
                              .failure_domains_ = {"cartago-1", "alajuela-2"}}},
           state::Service{.name_ = "bare"}},
      .load_budget_ = {.bytes_per_second_ = 11,
                       .messages_per_second_ = 12.5,
                       .cross_region_bytes_per_second_ = 13},
      .cross_region_bytes_per_second_ = 14,
      .actions_ = {.retention_ = Millis(15000),
                   .max_keys_ = 16,
                   .max_answer_bytes_ = 17},
      .poison_ = {.crashes_ = 18, .window_ = Millis(19), .hold_ = Millis(20)}};
}

// Guards against a row that is missing, or that stands in another order than
// the members, so that a value would go to another member.
TEST_CASE("the canonical form keeps every member") {
  const state::Configuration configuration = EveryMemberSet();
  const std::string text = PrintConfiguration(configuration);
  const auto parsed = ParseConfiguration(text);
  REQUIRE(parsed.has_value());
  CHECK(parsed.value() == configuration);
  CHECK(PrintConfiguration(parsed.value()) == text);
  CheckMentions(text, R"("poison":{"crashes":18,"hold_ms":20,"window_ms":19})");
  CheckMentions(text, R"("retry":{"budget_ratio":0.6,"max_attempts":5})");
}

// Guards against two texts for one configuration: its bytes are compared to
// tell a repeated submission from a conflict.
TEST_CASE("equal configurations print equal bytes") {
  const auto sparse = ParseConfiguration(
      R"({"services": [{"rules": [], "name": "a"}], "version": 1})");
  const auto dense = ParseConfiguration(
      R"({"version": 1.0, "services": [{"name": "a", "rules": [],
          "retry": {}, "max_queue": 64, "ramp_up_ms": 2e3}]})");
  REQUIRE(sparse.has_value());
  REQUIRE(dense.has_value());
  CHECK(PrintConfiguration(sparse.value()) ==
        PrintConfiguration(dense.value()));
}

// Guards against a strategy that the documents allow and no code provides.
TEST_CASE("every allowed strategy name parses") {
  for (const char* const name : {"probed_latency", "random", "round_robin",
                                 "least_in_flight", "two_choices"}) {
    CHECK(ParseConfiguration(Edited("two_choices", name)).has_value());
  }
}

}  // namespace
}  // namespace gooseberrygap::protocol
