#include "daemon/control_outage_log.h"

#include <catch2/catch.hpp>

namespace gooseberrygap::daemon {
namespace {

using state::Millis;

ControlRoleState Follower(Millis staleness, std::string error = {}) {
  return ControlRoleState{.role_ = "follower",
                          .term_ = 3,
                          .leader_ = "a:1",
                          .commit_index_ = 7,
                          .staleness_ = staleness,
                          .error_ = std::move(error)};
}

// Guards against a log whose last lines do not show that the control role does
// not work (the record of issue 32).
TEST_CASE("a control role that does not work is logged again and again",
          "[configuration]") {
  ControlOutageLog log;
  CHECK_FALSE(log.Update(Follower(Millis(100)), Millis(0)).has_value());
  CHECK_FALSE(log.Update(Follower(Millis(900)), Millis(10)).has_value());

  const auto first =
      log.Update(Follower(Millis(100), "the disk is full"), Millis(20));
  REQUIRE(first.has_value());
  CHECK(first->event_ == "control_role_unavailable");
  CHECK(first->level_ == state::LogLevel::kWarning);
  CHECK(first->fields_.back().value_ ==
        std::variant<std::string, int64_t, double, bool>(
            std::string("the disk is full")));

  CHECK_FALSE(log.Update(Follower(Millis(100), "x"), Millis(5019)).has_value());
  const auto second = log.Update(Follower(Millis(100), "x"), Millis(5020));
  REQUIRE(second.has_value());
  CHECK(second->event_ == "control_role_unavailable");

  const auto end = log.Update(Follower(Millis(100)), Millis(5030));
  REQUIRE(end.has_value());
  CHECK(end->event_ == "control_role_available");
  CHECK_FALSE(log.Update(Follower(Millis(100)), Millis(5040)).has_value());
}

// Guards against a member without a leader that logs nothing after its last
// change of role.
TEST_CASE("a member without a leader logs that it has none",
          "[configuration]") {
  ControlOutageLog log;
  CHECK_FALSE(log.Update(Follower(Millis(501)), Millis(0)).has_value());
  const auto line = log.Update(Follower(Millis(2001)), Millis(1500));
  REQUIRE(line.has_value());
  CHECK(line->event_ == "control_role_unavailable");
}

}  // namespace
}  // namespace gooseberrygap::daemon
