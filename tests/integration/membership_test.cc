#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "absl/strings/str_cat.h"
#include "integration/fixture.h"

namespace gooseberrygap::integration {
namespace {

using test_support::CallAnswer;
using test_support::CallOnce;
using test_support::Deployment;
using test_support::InstanceSpec;
using test_support::TargetNameOf;

constexpr const char* kBlocked =
    R"({"forward": {"blocked": true}, "backward": {"blocked": true}})";
constexpr const char* kOpen =
    R"({"forward": {"blocked": false}, "backward": {"blocked": false}})";
constexpr int kLookupTargets = 4;
constexpr int kActionTargets = 2;
constexpr int kCalls = 40;

FixtureOptions WithLinks() {
  return FixtureOptions{.lookup_targets_ = kLookupTargets,
                        .action_targets_ = kActionTargets,
                        .control_instances_ = 3,
                        .proxied_ = {.peer_ = true, .control_ = true}};
}

void Check(const state::Result<void>& result) {
  INFO((result ? std::string() : result.error().message_));
  REQUIRE(result);
}

// Changes all links between the two regions.
void SetLinksBetweenRegions(const Deployment& deployment, const char* patch) {
  for (const InstanceSpec& from : deployment.spec().instances_) {
    for (const InstanceSpec& to : deployment.spec().instances_) {
      if (from.region_ == to.region_) {
        continue;
      }
      const std::string pair = absl::StrCat(from.name_, ">", to.name_);
      Check(deployment.SetLink(absl::StrCat("peer:", pair), patch));
      if (to.control_) {
        Check(deployment.SetLink(absl::StrCat("control:", pair), patch));
      }
    }
  }
}

int CountCompleteLookups(const Deployment& deployment,
                         const std::string& instance) {
  int complete = 0;
  for (int i = 0; i < kCalls; ++i) {
    const CallAnswer answer = CallOnce(CallerAddress(deployment, instance),
                                       Lookup(absl::StrCat("/samples/", i)));
    complete += answer.Outcome() == "complete" ? 1 : 0;
  }
  return complete;
}

// Returns the targets with their states as the instance lists them.
std::set<std::string> ListedTargets(const Deployment& deployment,
                                    const std::string& instance) {
  const CallAnswer answer =
      CallOnce(CallerAddress(deployment, instance), {.path_ = "/-/targets"});
  const auto page = nlohmann::json::parse(answer.body_, nullptr, false);
  std::set<std::string> listed;
  if (page.is_object()) {
    for (const auto& target : page["targets"]) {
      listed.insert(absl::StrCat(target["target"].get<std::string>(), " ",
                                 target["state"].get<std::string>()));
    }
  }
  return listed;
}

// Guards against targets that stay listed after their instance has gone, and
// against ones that do not come back under their old address.
TEST_CASE("a target vanishes with its instance and returns", "[membership]") {
  const auto deployment = StartDeployment(WithLinks());
  const std::string lost = "lookup-3";
  deployment->Kill(TargetNameOf(lost));
  deployment->Kill(lost);
  Check(deployment->WaitForTargets(kLookupService, kLookupTargets - 1));
  CHECK(CountCompleteLookups(*deployment, "lookup-0") == kCalls);
  Check(deployment->Start(lost));
  Check(deployment->Start(TargetNameOf(lost)));
  Check(deployment->WaitForTargets(kLookupService, kLookupTargets));
}

// Guards against lookups that need a lost failure domain, and against its
// targets being listed for ever.
TEST_CASE("a lost failure domain leaves the rest in service", "[membership]") {
  const auto deployment = StartDeployment(WithLinks());
  int lost_lookup_targets = 0;
  for (const InstanceSpec& instance : deployment->spec().instances_) {
    if (instance.failure_domain_ == "kochi-b") {
      deployment->Kill(TargetNameOf(instance.name_));
      deployment->Kill(instance.name_);
      lost_lookup_targets +=
          instance.target_->service_ == kLookupService ? 1 : 0;
    }
  }
  REQUIRE(lost_lookup_targets > 0);
  Check(deployment->WaitForTargets(kLookupService,
                                   kLookupTargets - lost_lookup_targets));
  CHECK(CountCompleteLookups(*deployment, "lookup-0") == kCalls);
  CHECK(CountCompleteLookups(*deployment, "lookup-1") == kCalls);
}

// Guards against a region that stops when it loses the other one, and against a
// control instance that was cut off and overrules what changed meanwhile.
TEST_CASE("regions lose each other and agree after they heal", "[membership]") {
  const auto deployment = StartDeployment(WithLinks());
  SetLinksBetweenRegions(*deployment, kBlocked);
  // lookup-0 is in Kochi, lookup-1 in Kozhikode.
  CHECK(CountCompleteLookups(*deployment, "lookup-0") == kCalls);
  CHECK(CountCompleteLookups(*deployment, "lookup-1") == kCalls);
  Check(deployment->SetBehaviour("lookup-2", R"({"state": "draining"})"));
  SetLinksBetweenRegions(*deployment, kOpen);
  Check(deployment->WaitForTargets(kLookupService, kLookupTargets - 1));
  Check(deployment->WaitForTargets(kActionService, kActionTargets));
  Check(test_support::WaitUntil("equal lists at every daemon", [&] {
    const std::set<std::string> first =
        ListedTargets(*deployment, deployment->spec().instances_[0].name_);
    for (const InstanceSpec& instance : deployment->spec().instances_) {
      if (ListedTargets(*deployment, instance.name_) != first) {
        return false;
      }
    }
    return !first.empty();
  }));
  CHECK(CountCompleteLookups(*deployment, "lookup-1") == kCalls);
}

}  // namespace
}  // namespace gooseberrygap::integration
