#include "daemon/change_base.h"

#include <catch2/catch.hpp>

namespace gooseberrygap::daemon {
namespace {

// Guards against a change of the empty configuration that counts as a resent
// one and is submitted without a check.
TEST_CASE("a change of the version in force is checked, also of version 0",
          "[configuration]") {
  CHECK(CompareBase(0, 0) == ChangeBase::kInForce);
  CHECK(CompareBase(7, 7) == ChangeBase::kInForce);
  CHECK(CompareBase(0, 7) == ChangeBase::kOutdated);
  CHECK(CompareBase(5, 7) == ChangeBase::kOutdated);
  CHECK(CompareBase(7, 0) == ChangeBase::kUnknown);
  CHECK(CompareBase(9, 7) == ChangeBase::kUnknown);
}

}  // namespace
}  // namespace gooseberrygap::daemon
