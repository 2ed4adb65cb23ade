#include <catch2/catch.hpp>

#include "coordination/internal/crash_history.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

const state::PoisonPolicy kPolicy;

// Records one crash during which all these requests were in flight.
void AddCrash(CrashHistory* history,
              const std::string& crash_id,
              const std::vector<std::string>& fingerprints,
              Millis now) {
  for (const std::string& fingerprint : fingerprints) {
    history->Add(CrashReport{.fingerprint_ = fingerprint,
                             .crash_id_ = crash_id,
                             .alone_ = fingerprints.size() == 1},
                 kPolicy, now);
  }
  history->ConvictSharedFingerprint(kPolicy, now);
}

std::vector<std::string> ConvictedBy(const CrashHistory& history, Millis now) {
  std::vector<std::string> convicted;
  for (const RefusedFingerprint& refused : history.Convicted(now)) {
    convicted.push_back(refused.fingerprint_);
  }
  return convicted;
}

// Guards against a third crash: both copies of a hedged call crash their
// targets at the same time, so that neither ran alone.
TEST_CASE("the only request that two crashes share is convicted", "[poison]") {
  CrashHistory history;
  AddCrash(&history, "a-1", {"guilty", "innocent-1"}, Millis(10));
  AddCrash(&history, "b-1", {"guilty", "innocent-2"}, Millis(12));
  CHECK(ConvictedBy(history, Millis(12)) == std::vector<std::string>{"guilty"});
}

// Guards against an innocent request that is refused because it ran beside the
// guilty one twice.
TEST_CASE("two requests that share two crashes stay suspects", "[poison]") {
  CrashHistory history;
  AddCrash(&history, "a-1", {"guilty", "innocent"}, Millis(10));
  AddCrash(&history, "b-1", {"guilty", "innocent"}, Millis(12));
  CHECK(ConvictedBy(history, Millis(12)).empty());
}

// Guards against a retried request that is convicted because several targets
// were lost together.
TEST_CASE("a request that ran at two of three lost targets is not convicted",
          "[poison]") {
  CrashHistory history;
  AddCrash(&history, "a-1", {"first", "second"}, Millis(10));
  AddCrash(&history, "b-1", {"third", "fourth"}, Millis(11));
  AddCrash(&history, "c-1", {"first", "fifth"}, Millis(12));
  CHECK(ConvictedBy(history, Millis(12)).empty());
}

}  // namespace
}  // namespace gooseberrygap::coordination
