#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "absl/strings/str_cat.h"
#include "integration/action_faults.h"
#include "integration/action_load.h"
#include "integration/fixture.h"

namespace gooseberrygap::integration {
namespace {

using test_support::CallAnswer;
using test_support::CallOnce;
using test_support::Deployment;

constexpr uint64_t kSeed = 11;
constexpr int kCallers = 24;
constexpr int kKeysEach = 90;
// Of the register in the test of a full one.
constexpr int kKeys = 20;
// The fixture's deadline of a call. An attempt that a caller has given up may
// still be at a guard for this long.
constexpr std::chrono::milliseconds kDeadline(4000);

FixtureOptions WithThreeControlInstances(
    const test_support::ProxiedLinks& proxied = {}) {
  return FixtureOptions{.lookup_targets_ = 4,
                        .action_targets_ = 3,
                        .control_instances_ = 3,
                        .service_time_ = state::Millis(25),
                        .proxied_ = proxied,
                        .target_arguments_ = {"--crash_marker=crash-marker"},
                        .seed_ = kSeed};
}

struct FaultyRun {
  const std::unique_ptr<Deployment> deployment_;
  const std::vector<ToldAction> told_;
  const std::set<std::string> killed_;
};

// Runs actions while each fault happens once in a seeded order.
FaultyRun RunUnderFaults(uint64_t seed) {
  auto deployment = StartDeployment(
      WithThreeControlInstances({.peer_ = true, .control_ = true}));
  ActionLoad load(
      *deployment,
      {.seed_ = seed, .callers_ = kCallers, .keys_each_ = kKeysEach});
  ActionFaults faults(deployment.get(), seed);
  faults.Run(1);
  std::vector<ToldAction> told = load.Finish();
  std::this_thread::sleep_for(kDeadline);
  return FaultyRun{.deployment_ = std::move(deployment),
                   .told_ = std::move(told),
                   .killed_ = faults.killed()};
}

int CountOutcome(const std::vector<ToldAction>& told,
                 const std::string& outcome) {
  int count = 0;
  for (const ToldAction& action : told) {
    count += action.answer_.Outcome() == outcome ? 1 : 0;
  }
  return count;
}

void PrintFigures(const FaultyRun& run,
                  const BegunActions& begun,
                  const BrokenPromises& broken) {
  WARN("calls " << run.told_.size() << ", complete "
                << CountOutcome(run.told_, "complete") << ", not-run "
                << CountOutcome(run.told_, "not-run") << ", unknown "
                << CountOutcome(run.told_, "unknown") << ", broken connections "
                << CountOutcome(run.told_, "") << ", keys begun "
                << begun.count_by_key_.size() << "; " << broken);
}

// Sends the action until it gets an outcome other than not-run, which the end
// of an election may cause.
CallAnswer Resend(const test_support::Address& address,
                  const ToldAction& action) {
  std::unique_ptr<CallAnswer> last;
  static_cast<void>(test_support::WaitUntil("an outcome", [&] {
    last = std::make_unique<CallAnswer>(
        CallOnce(address, Action(action.key_, action.body_)));
    return last->Outcome() != "not-run" && last->status_ != 0;
  }));
  return *last;
}

struct ResendCounts {
  std::atomic<int> same_ = 0;
  std::atomic<int> differ_ = 0;
  // The guard was killed after it answered and before the register took the
  // answer, so that a resend cannot know it.
  std::atomic<int> lost_with_guard_ = 0;
};

// Resends every action that was told complete, through all daemons in turn.
void ResendComplete(const FaultyRun& run,
                    const BegunActions& begun,
                    ResendCounts* counts) {
  std::vector<test_support::Address> addresses;
  for (const auto& instance : run.deployment_->spec().instances_) {
    addresses.push_back(CallerAddress(*run.deployment_, instance.name_));
  }
  std::atomic<size_t> next = 0;
  std::vector<std::thread> threads;
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&] {
      for (size_t at = next++; at < run.told_.size(); at = next++) {
        const ToldAction& action = run.told_[at];
        if (action.answer_.Outcome() != "complete") {
          continue;
        }
        const CallAnswer answer =
            Resend(addresses[at % addresses.size()], action);
        if (answer.Outcome() == "complete" &&
            answer.status_ == action.answer_.status_ &&
            answer.body_ == action.answer_.body_ &&
            answer.Header("Stand-In-Target") ==
                action.answer_.Header("Stand-In-Target")) {
          ++counts->same_;
        } else if (answer.Outcome() == "unknown" &&
                   run.killed_.contains(
                       begun.instance_by_key_.at(action.key_))) {
          ++counts->lost_with_guard_;
        } else {
          ++counts->differ_;
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

// Guards against an action that runs a second time after a lost answer, a
// crash, a change of the leader or a resend through another daemon, and against
// a resend that gets another answer than the first caller.
TEST_CASE("an action runs at most once under faults", "[at_most_once]") {
  const FaultyRun run = RunUnderFaults(kSeed);
  WaitForLeader(*run.deployment_);
  const BegunActions before = ReadBegunActions(*run.deployment_);
  REQUIRE(run.told_.size() >= size_t{kCallers} * kKeysEach);
  ResendCounts resends;
  ResendComplete(run, before, &resends);
  const BegunActions begun = ReadBegunActions(*run.deployment_);
  const BrokenPromises broken =
      CompareToldWithBegun(run.told_, begun, run.killed_);
  PrintFigures(run, begun, broken);
  WARN("resends with the same answer "
       << resends.same_ << ", lost with a killed guard "
       << resends.lost_with_guard_ << ", other " << resends.differ_);
  CHECK(broken == BrokenPromises{});
  CHECK(resends.same_ > 0);
  CHECK(resends.differ_ == 0);
  CHECK(CountOutcome(run.told_, "complete") > 0);
}

// Guards against callers that are told not-run while their action runs, or runs
// later.
TEST_CASE("an action that is told not-run has not run", "[not_run]") {
  const FaultyRun run = RunUnderFaults(kSeed + 1);
  const BegunActions begun = ReadBegunActions(*run.deployment_);
  const BrokenPromises broken =
      CompareToldWithBegun(run.told_, begun, run.killed_);
  PrintFigures(run, begun, broken);
  CHECK(broken == BrokenPromises{});
  CHECK(CountOutcome(run.told_, "not-run") > 0);
}

// Guards against actions that start without the register, and against lookups
// that need it.
TEST_CASE("without a quorum actions are not run and lookups go on",
          "[not_run]") {
  const auto deployment = StartDeployment(WithThreeControlInstances());
  deployment->Kill("lookup-0");
  deployment->Kill("lookup-1");
  const auto& address = CallerAddress(*deployment, "action-0");
  test_support::Caller caller(address);
  for (int i = 0; i < 5; ++i) {
    const CallAnswer action =
        caller.Call(Action(absl::StrCat("no-quorum-", i)));
    CHECK(action.Outcome() == "not-run");
    const CallAnswer lookup = caller.Call(Lookup(absl::StrCat("/", i)));
    CHECK(lookup.Outcome() == "complete");
  }
  CHECK(ReadBegunActions(*deployment).count_by_key_.empty());
}

void SetActionPolicy(const Deployment& deployment,
                     const nlohmann::json& policy) {
  auto document = nlohmann::json::parse(ConfigurationDocument(2));
  document["actions"] = policy;
  const CallAnswer submitted = deployment.SubmitConfiguration(
      "lookup-0", Submission("policy", document.dump()));
  INFO(submitted.body_);
  REQUIRE(submitted.status_ == 200);
  const uint64_t index = nlohmann::json::parse(submitted.body_)["index"];
  REQUIRE(deployment.WaitForConfiguration(index));
}

// Guards against a resend that is told an empty answer as the stored one, or
// that runs the action again because its answer was not kept.
TEST_CASE("a resend is told that the answer was too large to keep",
          "[at_most_once]") {
  const auto deployment = StartDeployment(WithThreeControlInstances());
  SetActionPolicy(*deployment, {{"max_answer_bytes", 1024}});
  const std::string body(4000, 'x');
  const CallAnswer first =
      CallOnce(CallerAddress(*deployment, "lookup-0"), Action("large", body));
  CHECK(first.Outcome() == "complete");
  CHECK(first.body_ == test_support::ExpectedEcho("POST", "/certify", body));
  const CallAnswer resend =
      CallOnce(CallerAddress(*deployment, "lookup-1"), Action("large", body));
  CHECK(resend.status_ == 410);
  CHECK(resend.Outcome() == "complete");
  CHECK(resend.Header("Gooseberrygap-Reason") == "answer_too_large");
  CHECK(ReadBegunActions(*deployment).count_by_key_.at("large") == 1);
}

// Guards against a register that forgets keys when it is full.
TEST_CASE("a full register refuses further actions as not run", "[not_run]") {
  const auto deployment = StartDeployment(WithThreeControlInstances());
  SetActionPolicy(*deployment, {{"max_keys", kKeys}});
  const auto& address = CallerAddress(*deployment, "lookup-3");
  for (int i = 0; i < 2 * kKeys; ++i) {
    const CallAnswer answer = CallOnce(address, Action(absl::StrCat("f-", i)));
    INFO(i);
    CHECK(answer.Outcome() == (i < kKeys ? "complete" : "not-run"));
    CHECK(answer.Header("Gooseberrygap-Reason") ==
          (i < kKeys ? "" : "register_full"));
  }
  for (int i = 0; i < kKeys; ++i) {
    const CallAnswer resend = CallOnce(address, Action(absl::StrCat("f-", i)));
    CHECK(resend.Outcome() == "complete");
  }
  const BegunActions begun = ReadBegunActions(*deployment);
  CHECK(begun.count_by_key_.size() == size_t{kKeys});
  for (const auto& [key, count] : begun.count_by_key_) {
    INFO(key);
    CHECK(count == 1);
  }
}

}  // namespace
}  // namespace gooseberrygap::integration
