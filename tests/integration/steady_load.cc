#include "integration/steady_load.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace gooseberrygap::integration {

namespace {

using test_support::CallAnswer;
using test_support::Caller;
using test_support::CallRequest;

constexpr absl::Duration kPause = absl::Milliseconds(5);
constexpr int kMaxSends = 20;
// A third of the calls are actions.
constexpr int kActionEvery = 3;
// Callers return to their first daemon, so that one that has just started gets
// calls at once.
constexpr int kReturnEvery = 20;

}  // namespace

SteadyLoad::SteadyLoad(const test_support::Deployment& deployment,
                       int callers) {
  for (const auto& instance : deployment.spec().instances_) {
    daemons_.push_back(CallerAddress(deployment, instance.name_));
  }
  for (int i = 0; i < callers; ++i) {
    threads_.emplace_back([this, i] { Run(static_cast<size_t>(i)); });
  }
}

SteadyLoad::~SteadyLoad() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

LoadResult SteadyLoad::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  absl::MutexLock lock(&mutex_);
  return LoadResult{.lookups_ = lookups_,
                    .actions_ = actions_,
                    .resent_ = resent_,
                    .moved_ = moved_,
                    .failures_ = failures_,
                    .complete_keys_ = complete_keys_};
}

void SteadyLoad::Run(size_t caller) {
  size_t daemon = caller % daemons_.size();
  auto connection = std::make_unique<Caller>(daemons_[daemon]);
  for (int number = 0; !stopping_; ++number) {
    if (number % kReturnEvery == 0 && daemon != caller % daemons_.size()) {
      daemon = caller % daemons_.size();
      connection = std::make_unique<Caller>(daemons_[daemon]);
    }
    const bool is_action = number % kActionEvery == 0;
    const std::string name = absl::StrCat("call-", caller, "-", number);
    const CallRequest request =
        is_action ? Action(name, name) : Lookup(absl::StrCat("/", name));
    ++(is_action ? actions_ : lookups_);
    for (int sends = 1;; ++sends) {
      const CallAnswer answer = connection->Call(request);
      if (answer.status_ != 0 || sends == kMaxSends) {
        Record(answer, is_action ? name : "",
               absl::StrCat(daemon, " of ", daemons_.size()));
        break;
      }
      const bool refused = absl::StrContains(answer.failure_, "onnection") &&
                           !absl::StrContains(answer.failure_, "read");
      ++(refused ? moved_ : resent_);
      daemon = (daemon + 1) % daemons_.size();
      connection = std::make_unique<Caller>(daemons_[daemon]);
    }
    absl::SleepFor(kPause);
  }
}

void SteadyLoad::Record(const CallAnswer& answer,
                        const std::string& key,
                        const std::string& daemon) {
  ++answered_;
  const bool is_complete =
      answer.status_ == 200 && answer.Outcome() == "complete";
  absl::MutexLock lock(&mutex_);
  if (!is_complete) {
    failures_.push_back(absl::StrCat(
        key.empty() ? "lookup" : key, " via ", daemon, ": ", answer.status_,
        " ", answer.Outcome(), " ", answer.Header("Gooseberrygap-Reason"), " ",
        answer.failure_, " after ", answer.latency_.value(), " ms"));
  } else if (!key.empty()) {
    complete_keys_.push_back(key);
  }
}

std::vector<test_support::Execution> ReadAllExecutions(
    const test_support::Deployment& deployment) {
  std::vector<test_support::Execution> all;
  for (const auto& instance : deployment.spec().instances_) {
    for (const auto& execution :
         test_support::ReadExecutionLog(test_support::ExecutionLogPath(
             deployment.folder(), instance.name_))) {
      all.push_back(execution);
    }
  }
  return all;
}

void CheckRunOnce(const test_support::Deployment& deployment,
                  const std::vector<std::string>& complete_keys) {
  const auto log = ReadAllExecutions(deployment);
  CHECK(test_support::MostBegunOfOneKey(log) <= 1);
  std::map<std::string, int> begun;
  for (const auto& execution : log) {
    if (execution.event_ == "begin" && !execution.key_.empty()) {
      ++begun[execution.key_];
    }
  }
  int lost = 0;
  for (const std::string& key : complete_keys) {
    lost += begun[key] == 1 ? 0 : 1;
  }
  CHECK(lost == 0);
}

}  // namespace gooseberrygap::integration
