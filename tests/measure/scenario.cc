#include "measure/scenario.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace gooseberrygap::measure {

namespace {

using nlohmann::json;
using state::Millis;
using test_support::Deployment;
using test_support::InstanceSpec;
using test_support::TargetNameOf;

constexpr int kControlInstances = 3;
constexpr double kDeadlineMs = 2000;
// A cold target starts four times slower, the factor of stand_in_target.
constexpr const char* kRamp = "--ramp_ms=1000";

const std::vector<Profile>& Profiles() {
  static const auto* const kProfiles = new std::vector<Profile>{
      {.name_ = "periyar",
       .regions_ = {"kochi", "kozhikode"},
       .services_ = {{"assay-query", 5},
                     {"certification", 4},
                     {"grade-report", 4}},
       .slots_ = 9,
       .to_callers_ = Millis(1)},
      {.name_ = "quesada",
       .regions_ = {"cartago", "alajuela"},
       .services_ = {{"catalogue", 6}, {"purchasing", 4}, {"order-desk", 4}},
       .slots_ = 6,
       .to_callers_ = Millis(3)}};
  return *kProfiles;
}

std::string LastDomain(const Profile& profile) {
  return absl::StrCat(profile.regions_.back(), "-b");
}

const std::string& LoadedService(const Profile& profile) {
  return profile.services_.front().first;
}

std::string FirstTarget(const Profile& profile) {
  return absl::StrCat(LoadedService(profile), "-0");
}

state::Result<void> RestartCold(Deployment* deployment,
                                const Profile& profile) {
  const std::string name = TargetNameOf(FirstTarget(profile));
  const state::Result<int> stopped = deployment->Stop(name);
  if (!stopped) {
    return stopped.error();
  }
  return deployment->Start(name);
}

state::Result<void> LoseLastDomain(Deployment* deployment,
                                   const Profile& profile) {
  for (const InstanceSpec& instance : deployment->spec().instances_) {
    if (IsInLastDomain(instance, profile)) {
      deployment->Kill(instance.name_);
      deployment->Kill(TargetNameOf(instance.name_));
    }
  }
  return boost::outcome_v2::success();
}

state::Result<void> RestartLastDomain(Deployment* deployment,
                                      const Profile& profile) {
  for (const InstanceSpec& instance : deployment->spec().instances_) {
    if (!IsInLastDomain(instance, profile)) {
      continue;
    }
    for (const std::string& name :
         {instance.name_, TargetNameOf(instance.name_)}) {
      state::Result<void> started = deployment->Start(name);
      if (!started) {
        return started;
      }
    }
  }
  return boost::outcome_v2::success();
}

json Rule(const char* method, const char* request_class) {
  return {{"method", method},
          {"path_prefix", "/"},
          {"request_class", request_class},
          {"key_source", "header"}};
}

}  // namespace

const Profile* FindProfile(const std::string& name) {
  const auto found =
      std::find_if(Profiles().begin(), Profiles().end(),
                   [&name](const Profile& each) { return each.name_ == name; });
  return found == Profiles().end() ? nullptr : &*found;
}

bool IsInLastDomain(const InstanceSpec& instance, const Profile& profile) {
  return instance.failure_domain_ == LastDomain(profile);
}

test_support::DeploymentSpec MakeSpec(const Profile& profile,
                                      const ServiceTime& service_time,
                                      uint64_t seed,
                                      bool with_links) {
  std::vector<InstanceSpec> instances;
  for (const auto& [service, endpoints] : profile.services_) {
    for (int i = 0; i < endpoints; ++i) {
      const size_t number = instances.size();
      const std::string& region = profile.regions_[number % 2];
      instances.push_back(
          {.name_ = absl::StrCat(service, "-", i),
           .region_ = region,
           .failure_domain_ =
               absl::StrCat(region, number % 4 < 2 ? "-a" : "-b"),
           .control_ = number < kControlInstances,
           .target_ = test_support::TargetSpec{
               .service_ = service,
               .slots_ = profile.slots_,
               .service_time_mean_ = service_time.mean_,
               .service_time_distribution_ = service_time.distribution_,
               .seed_ = seed + number,
               .arguments_ = {kRamp}}});
    }
  }
  if (!with_links) {
    return {.instances_ = instances, .seed_ = seed};
  }
  return {.instances_ = instances,
          .proxied_ = {.peer_ = true, .control_ = true, .caller_ = true},
          .network_ = {.between_domains_ = Millis(1),
                       .between_regions_ = Millis(12),
                       .to_callers_ = profile.to_callers_,
                       .bits_per_second_between_regions_ = 30e6},
          .seed_ = seed};
}

std::string Submission(const Profile& profile,
                       uint64_t version,
                       const std::string& strategy) {
  json services = json::array();
  for (const auto& [service, endpoints] : profile.services_) {
    services.push_back(
        {{"name", service},
         {"strategy", strategy},
         {"default_deadline_ms", kDeadlineMs},
         {"rules", json::array({Rule("GET", "idempotent"),
                                Rule("POST", "non_idempotent")})}});
  }
  return json{{"submission", absl::StrCat("measure-", version)},
              {"configuration", {{"version", version}, {"services", services}}}}
      .dump();
}

state::Result<void> Apply(const Change& change,
                          Deployment* deployment,
                          const Profile& profile) {
  for (const InstanceSpec& instance : deployment->spec().instances_) {
    const bool chosen =
        change.all_ ? instance.target_->service_ == LoadedService(profile)
                    : instance.name_ == FirstTarget(profile);
    if (!chosen || change.patch_ == nullptr) {
      continue;
    }
    state::Result<void> patched =
        deployment->SetBehaviour(instance.name_, change.patch_);
    if (!patched) {
      return patched;
    }
  }
  return change.step_ == nullptr ? boost::outcome_v2::success()
                                 : change.step_(deployment, profile);
}

const std::vector<Scenario>& Scenarios() {
  static const auto* const kScenarios = new std::vector<Scenario>{
      {.name_ = "steady 50%", .share_ = 0.5},
      {.name_ = "steady 70%", .share_ = 0.7, .quick_ = true},
      {.name_ = "steady 85%", .share_ = 0.85},
      {.name_ = "one target 10 times slower",
       .share_ = 0.5,
       .quick_ = true,
       .first_third_ = {.patch_ = R"({"slow_factor": 10})"},
       .second_third_ = {.patch_ = R"({"slow_factor": 1})"}},
      // The mean service time grows by 1.4, so that half of the slots in use
      // become 70%.
      {.name_ = "noisy neighbours",
       .share_ = 0.5,
       .quick_ = true,
       .before_ = {.patch_ = R"({"noise_factor": 5, "noise_share": 0.1})",
                   .all_ = true},
       .after_ = {.patch_ = R"({"noise_share": 0})", .all_ = true}},
      {.name_ = "load reports say idle",
       .share_ = 0.7,
       .before_ = {.patch_ = R"({"load_report": "idle"})", .all_ = true},
       .after_ = {.patch_ = R"({"load_report": "honest"})", .all_ = true}},
      {.name_ = "one target fails fast",
       .share_ = 0.5,
       .first_third_ = {.patch_ = R"({"fail_share": 1})"},
       .second_third_ = {.patch_ = R"({"fail_share": 0})"}},
      {.name_ = "cold start",
       .share_ = 0.5,
       .first_third_ = {.step_ = &RestartCold}},
      {.name_ = "failure domain lost",
       .share_ = 0.5,
       .first_third_ = {.step_ = &LoseLastDomain},
       .after_ = {.step_ = &RestartLastDomain},
       .spares_last_domain_ = true}};
  return *kScenarios;
}

}  // namespace gooseberrygap::measure
