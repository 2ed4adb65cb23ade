#include <catch2/catch.hpp>

#include "protocol/protocol.h"

namespace gooseberrygap::protocol {
namespace {

// Guards against a log line that the tool reads otherwise than it was written.
TEST_CASE("a log line is read as it was written") {
  const state::LogEvent event{.level_ = state::LogLevel::kWarning,
                              .event_ = "attempt_answered",
                              .request_ = "a-1-5",
                              .fields_ = {{"target", std::string("t \"9\"")},
                                          {"status", int64_t{503}},
                                          {"guard_ms", 1.5},
                                          {"may_queue", true}}};
  const std::string line = PrintLogLine(event, 1764861757123, "i-7");
  for (const std::string& written : {line, "2026-12-04 host: " + line}) {
    const auto read = ParseLogLine(written);
    REQUIRE(read.has_value());
    CHECK(read->wall_millis_ == 1764861757123);
    CHECK(read->instance_ == "i-7");
    CHECK(read->event_ == event);
  }
}

// Guards against foreign or broken lines that end the tool or become events.
TEST_CASE("a foreign line is no log line") {
  for (const char* line :
       {"", "{", "text", "[1]", "{}", R"({"time":1,"instance":"a"})",
        R"({"time":"1","instance":"a","event":"e"})",
        R"({"time":-1,"instance":"a","event":"e"})",
        R"({"time":1,"instance":7,"event":"e"})",
        R"({"time":1,"instance":"a","event":"e")"}) {
    INFO(line);
    CHECK_FALSE(ParseLogLine(line).has_value());
  }
}

}  // namespace
}  // namespace gooseberrygap::protocol
