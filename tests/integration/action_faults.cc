#include "integration/action_faults.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "integration/fixture.h"

namespace gooseberrygap::integration {

namespace {

using test_support::Deployment;
using test_support::InstanceSpec;

// How long a fault lasts. Longer than an election and a lease renewal.
constexpr int kShortestHoldMillis = 900;
constexpr int kLongestHoldMillis = 1800;
// Between two faults, so that some actions start while all is healthy.
constexpr std::chrono::milliseconds kBetweenFaults(300);

constexpr const char* kBlocked =
    R"({"forward": {"blocked": true}, "backward": {"blocked": true}})";
constexpr const char* kOpen =
    R"({"forward": {"blocked": false}, "backward": {"blocked": false}})";

void Check(const state::Result<void>& result) {
  INFO((result ? std::string() : result.error().message_));
  REQUIRE(result);
}

bool Leads(const Deployment& deployment, const std::string& instance) {
  const test_support::CallAnswer answer = test_support::CallOnce(
      deployment.AddressesOf(instance).http_,
      {.path_ = "/-/control/status", .timeout_ = state::Millis(1000)});
  const auto status =
      nlohmann::json::parse(answer.body_, nullptr, /*allow_exceptions=*/false);
  return answer.status_ == 200 && status.value("role", "") == "leader";
}

}  // namespace

struct ActionFaults::Row {
  const char* const name_;
  void (ActionFaults::*const run_)();
};

const ActionFaults::Row ActionFaults::kFaults[] = {
    {"kill an ingress", &ActionFaults::KillIngress},
    {"kill a guard", &ActionFaults::KillGuard},
    {"kill a target", &ActionFaults::KillTarget},
    {"crash a target", &ActionFaults::CrashTarget},
    {"pause the leader", &ActionFaults::PauseLeader},
    {"kill the leader", &ActionFaults::KillLeader},
    {"block the leader", &ActionFaults::BlockLeader},
    {"block a guard", &ActionFaults::BlockGuard},
    {"silence connections", &ActionFaults::SilenceConnections},
};

void ActionFaults::Run(int rounds) {
  std::vector<const Row*> order;
  for (int i = 0; i < rounds; ++i) {
    for (const Row& row : kFaults) {
      order.push_back(&row);
    }
  }
  std::shuffle(order.begin(), order.end(), random_);
  for (const Row* row : order) {
    INFO(row->name_);
    (this->*row->run_)();
    std::this_thread::sleep_for(kBetweenFaults);
  }
}

void ActionFaults::KillIngress() {
  // The last lookup instance has neither a control role nor an action target.
  std::string chosen;
  for (const InstanceSpec& instance : deployment_->spec().instances_) {
    if (!instance.control_ && instance.target_->service_ == kLookupService) {
      chosen = instance.name_;
    }
  }
  KillDaemon(chosen);
}

void ActionFaults::KillGuard() {
  KillDaemon(ChooseActionInstance());
}

void ActionFaults::KillTarget() {
  const std::string target = test_support::TargetNameOf(ChooseActionInstance());
  deployment_->Kill(target);
  Hold();
  Check(deployment_->Start(target));
}

void ActionFaults::CrashTarget() {
  // The stand-in aborts when it has run an action with this body.
  const std::string key = absl::StrCat("crash-", random_());
  test_support::CallOnce(CallerAddress(*deployment_, "lookup-0"),
                         Action(key, absl::StrCat("crash-marker ", random_())));
  for (const InstanceSpec& instance : deployment_->spec().instances_) {
    const std::string target = test_support::TargetNameOf(instance.name_);
    test_support::Process* process = deployment_->Find(target);
    if (process->Wait(state::Millis(0)).has_value()) {
      Check(deployment_->Restart(target));
    }
  }
}

void ActionFaults::PauseLeader() {
  const std::string leader = WaitForLeader(*deployment_);
  deployment_->Pause(leader);
  Hold();
  deployment_->Resume(leader);
}

void ActionFaults::KillLeader() {
  KillDaemon(WaitForLeader(*deployment_));
}

void ActionFaults::BlockLeader() {
  const std::string leader = WaitForLeader(*deployment_);
  SetLinksOf(leader, kBlocked);
  Hold();
  SetLinksOf(leader, kOpen);
}

void ActionFaults::BlockGuard() {
  const std::string guard = ChooseActionInstance();
  SetLinksOf(guard, kBlocked);
  Hold();
  SetLinksOf(guard, kOpen);
}

void ActionFaults::SilenceConnections() {
  SetLinksOf(ChooseActionInstance(), R"({"freeze_established": "both"})");
  Hold();
}

void ActionFaults::KillDaemon(const std::string& instance) {
  killed_.insert(instance);
  deployment_->Kill(instance);
  Hold();
  Check(deployment_->Start(instance));
}

void ActionFaults::SetLinksOf(const std::string& instance,
                              const std::string& patch) {
  const auto links = nlohmann::json::parse(deployment_->ReadLinks());
  const auto set = [&](const std::string& name) {
    if (links.contains(name)) {
      Check(deployment_->SetLink(name, patch));
    }
  };
  for (const InstanceSpec& other : deployment_->spec().instances_) {
    for (const char* kind : {"peer", "control"}) {
      set(absl::StrCat(kind, ":", instance, ">", other.name_));
      set(absl::StrCat(kind, ":", other.name_, ">", instance));
    }
  }
}

void ActionFaults::Hold() {
  const int millis = std::uniform_int_distribution<int>(
      kShortestHoldMillis, kLongestHoldMillis)(random_);
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

std::string ActionFaults::ChooseActionInstance() {
  std::vector<std::string> names;
  for (const InstanceSpec& instance : deployment_->spec().instances_) {
    if (instance.target_->service_ == kActionService) {
      names.push_back(instance.name_);
    }
  }
  return names[random_() % names.size()];
}

std::string WaitForLeader(const Deployment& deployment) {
  std::string leader;
  Check(test_support::WaitUntil("a leader", [&] {
    for (const InstanceSpec& instance : deployment.spec().instances_) {
      if (instance.control_ && Leads(deployment, instance.name_)) {
        leader = instance.name_;
        return true;
      }
    }
    return false;
  }));
  return leader;
}

}  // namespace gooseberrygap::integration
