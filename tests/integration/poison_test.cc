#include <atomic>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "integration/fixture.h"
#include "support/execution_log.h"

namespace gooseberrygap::integration {
namespace {

using test_support::CallAnswer;
using test_support::Caller;
using test_support::CallOnce;
using test_support::Deployment;
using test_support::TargetNameOf;

constexpr const char* kMarker = "crash-marker";
constexpr const char* kPoisonPath = "/samples/crash-marker";
constexpr const char* kPoisoned = "poisoned";
constexpr int kSends = 12;

FixtureOptions Options() {
  return FixtureOptions{
      .lookup_targets_ = 5,
      .action_targets_ = 1,
      .service_time_ = state::Millis(30),
      .target_arguments_ = {absl::StrCat("--crash_marker=", kMarker)}};
}

std::string InnocentPath(size_t number) {
  return absl::StrCat("/samples/", number);
}

// Callers that send the same lookups over and over, each through one daemon.
class InnocentCallers {
 public:
  explicit InnocentCallers(const Deployment& deployment) {
    size_t number = 0;
    for (const auto& instance : deployment.spec().instances_) {
      for (int i = 0; i < kCallersEach; ++i) {
        threads_.emplace_back([this, number,
                               address =
                                   CallerAddress(deployment, instance.name_)] {
          Caller caller(address);
          while (!stopping_) {
            const CallAnswer answer = caller.Call(Lookup(InnocentPath(number)));
            complete_ += answer.Outcome() == "complete" ? 1 : 0;
            poisoned_ +=
                answer.Header("Gooseberrygap-Reason") == kPoisoned ? 1 : 0;
          }
        });
        ++number;
      }
    }
  }
  ~InnocentCallers() { Stop(); }

  InnocentCallers(const InnocentCallers&) = delete;
  InnocentCallers& operator=(const InnocentCallers&) = delete;

  void Stop() {
    stopping_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  size_t count() const { return threads_.size(); }
  int complete() const { return complete_; }
  int poisoned() const { return poisoned_; }

 private:
  static constexpr int kCallersEach = 4;

  std::atomic<bool> stopping_ = false;
  std::atomic<int> complete_ = 0;
  std::atomic<int> poisoned_ = 0;
  std::vector<std::thread> threads_;
};

// Restarts the targets that have crashed and returns how many had.
int RestartCrashed(Deployment* deployment) {
  int crashed = 0;
  for (const auto& instance : deployment->spec().instances_) {
    const std::string name = TargetNameOf(instance.name_);
    if (deployment->Find(name)->Wait(state::Millis(0)).has_value()) {
      ++crashed;
      REQUIRE(deployment->Restart(name));
    }
  }
  return crashed;
}

// Returns how many innocent executions began and never ended, which were in
// flight when their target crashed.
int CountInFlightAtCrash(const Deployment& deployment) {
  int in_flight = 0;
  for (const auto& instance : deployment.spec().instances_) {
    for (const auto& line :
         test_support::ReadExecutionLog(test_support::ExecutionLogPath(
             deployment.folder(), instance.name_))) {
      if (line.path_.find(kMarker) == std::string::npos) {
        in_flight += line.event_ == "begin" ? 1 : -1;
      }
    }
  }
  return in_flight;
}

void SubmitWithOneAttempt(const Deployment& deployment) {
  nlohmann::json document = nlohmann::json::parse(ConfigurationDocument(2));
  for (nlohmann::json& service : document["services"]) {
    service["retry"] = {{"max_attempts", 1}};
    service["hedge"] = {{"enabled", false}};
  }
  const CallAnswer submitted = deployment.SubmitConfiguration(
      deployment.spec().instances_.front().name_,
      Submission("one-attempt", document.dump()));
  REQUIRE(submitted.status_ == 200);
  REQUIRE(deployment.WaitForConfiguration(
      nlohmann::json::parse(submitted.body_)["index"]));
}

// Sends the crashing lookup again and again through different daemons, beside
// innocent lookups, and restarts the targets that crash.
void CheckCrashingLookup(Deployment* deployment) {
  InnocentCallers innocents(*deployment);
  REQUIRE(test_support::WaitUntil("innocent lookups",
                                  [&] { return innocents.complete() > 50; }));
  const auto& instances = deployment->spec().instances_;
  int crashes = 0;
  for (size_t i = 0; i < kSends; ++i) {
    const CallAnswer answer = CallOnce(
        CallerAddress(*deployment, instances[i % instances.size()].name_),
        Lookup(kPoisonPath));
    CHECK(answer.Outcome() != "complete");
    crashes += RestartCrashed(deployment);
  }
  CHECK(crashes >= 1);
  CHECK(crashes <= 2);
  CHECK(deployment->WaitForTargets(kLookupService, 5));
  const int before = innocents.complete();
  REQUIRE(test_support::WaitUntil("innocent lookups after the crashes", [&] {
    return innocents.complete() > before + 200;
  }));
  innocents.Stop();
  CHECK(innocents.poisoned() == 0);
  CHECK(CountInFlightAtCrash(*deployment) > 0);
  for (const auto& instance : instances) {
    const auto& address = CallerAddress(*deployment, instance.name_);
    INFO(instance.name_);
    CHECK(
        CallOnce(address, Lookup(kPoisonPath)).Header("Gooseberrygap-Reason") ==
        kPoisoned);
    for (size_t i = 0; i < innocents.count(); ++i) {
      CHECK(CallOnce(address, Lookup(InnocentPath(i))).Outcome() == "complete");
    }
  }
  CHECK(RestartCrashed(deployment) == 0);
}

// Guards against a lookup that crashes target after target, and against
// innocent lookups that are refused because they ran beside it.
TEST_CASE("a crashing lookup takes down at most two targets", "[poison]") {
  const auto deployment = StartDeployment(Options());
  CheckCrashingLookup(deployment.get());
}

// Guards against a caller that resends faster than the suspicion travels: the
// daemons make one attempt for each call.
TEST_CASE("a crashing lookup without retries takes down at most two targets",
          "[poison]") {
  const auto deployment = StartDeployment(Options());
  SubmitWithOneAttempt(*deployment);
  CheckCrashingLookup(deployment.get());
}

}  // namespace
}  // namespace gooseberrygap::integration
