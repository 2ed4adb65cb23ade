#include "support/deployment.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "support/loopback.h"
#include "support/metrics_page.h"
#include "support/programs.h"

namespace gooseberrygap::test_support {

namespace {

using nlohmann::json;

json ParseOrNull(const std::string& text) {
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

// Returns the number of serving targets of the service on a targets page, which
// is a list or an object with the list under "targets".
int CountServing(const std::string& page, const std::string& service) {
  const json parsed = ParseOrNull(page);
  const json& list = parsed.is_object() && parsed.contains("targets")
                         ? parsed["targets"]
                         : parsed;
  return static_cast<int>(
      std::count_if(list.begin(), list.end(), [&service](const json& target) {
        return target.is_object() && target.value("service", "") == service &&
               target.value("state", "") == "serving";
      }));
}

}  // namespace

state::Result<std::unique_ptr<Deployment>> Deployment::Create(
    const DeploymentSpec& spec) {
  std::unique_ptr<Deployment> deployment(new Deployment(spec));
  deployment->PlanProcesses();
  if (spec.proxied_.any()) {
    const state::Result<void> started = deployment->StartProxy();
    if (!started.has_value()) {
      return started.error();
    }
  }
  return deployment;
}

Deployment::Deployment(const DeploymentSpec& spec)
    : spec_(spec),
      addresses_(PlanAddresses(spec)),
      proxy_(FreeAddress(NewLoopbackHost())) {}

void Deployment::PlanProcesses() {
  for (const InstanceSpec& instance : spec_.instances_) {
    const InstanceAddresses& addresses = AddressesOf(instance.name_);
    std::ofstream(SettingsPath(folder(), instance.name_))
        << PrintSettings(spec_, instance, addresses_, folder());
    plans_.emplace(instance.name_,
                   Plan{.command_ = DaemonCommand(instance, folder()),
                        .listen_ = addresses.http_});
    if (instance.target_.has_value()) {
      plans_.emplace(
          TargetNameOf(instance.name_),
          Plan{.command_ = TargetCommand(instance, addresses, folder()),
               .listen_ = addresses.target_});
    }
  }
  plans_.emplace(kProxyName,
                 Plan{.command_ = ProxyCommand(spec_, proxy_, folder()),
                      .listen_ = proxy_});
}

state::Result<void> Deployment::StartProxy() {
  state::Result<void> started = Start(kProxyName);
  if (!started.has_value()) {
    return started;
  }
  state::Result<void> grouped = Post(proxy_, "/groups", PrintGroups(spec_));
  if (!grouped.has_value()) {
    return grouped;
  }
  return Post(proxy_, "/links", PrintLinks(spec_, addresses_));
}

state::Result<void> Deployment::Start(const std::string& name) {
  const auto plan = plans_.find(name);
  if (plan == plans_.end()) {
    return state::MakeError(state::ErrorKind::kNotFound,
                            absl::StrCat("no process is named ", name));
  }
  state::Result<std::unique_ptr<Process>> started =
      Process::Start(plan->second.command_);
  if (!started.has_value()) {
    return started.error();
  }
  Process* process = started.value().get();
  processes_[name] = std::move(started.value());
  std::optional<int> exit_code;
  state::Result<void> ready =
      WaitUntil(absl::StrCat("listener of ", name), [&] {
        exit_code = process->Wait(state::Millis(0));
        return exit_code.has_value() || IsListening(plan->second.listen_);
      });
  if (exit_code.has_value()) {
    processes_.erase(name);
    return state::MakeError(
        state::ErrorKind::kUnreachable,
        absl::StrCat(name, " ended with code ", *exit_code, "; its log is ",
                     plan->second.command_.log_path_));
  }
  return ready;
}

state::Result<void> Deployment::StartAll() {
  std::vector<std::string> names;
  for (const bool control : {true, false}) {
    for (const InstanceSpec& instance : spec_.instances_) {
      if (instance.control_ == control) {
        names.push_back(instance.name_);
      }
    }
  }
  for (const InstanceSpec& instance : spec_.instances_) {
    if (instance.target_.has_value()) {
      names.push_back(TargetNameOf(instance.name_));
    }
  }
  for (const std::string& name : names) {
    state::Result<void> started = Start(name);
    if (!started.has_value()) {
      return started;
    }
  }
  return boost::outcome_v2::success();
}

state::Result<int> Deployment::Stop(const std::string& name,
                                    state::Millis timeout) {
  Process* process = Find(name);
  if (process == nullptr) {
    return state::MakeError(state::ErrorKind::kNotFound,
                            absl::StrCat(name, " does not run"));
  }
  process->Signal(SIGTERM);
  const std::optional<int> exit_code = process->Wait(timeout);
  if (!exit_code.has_value()) {
    return state::MakeError(state::ErrorKind::kTimeout,
                            absl::StrCat(name, " did not stop"));
  }
  processes_.erase(name);
  return *exit_code;
}

state::Result<std::map<std::string, int>> Deployment::StopAll(
    state::Millis timeout) {
  std::vector<std::string> targets;
  std::vector<std::string> daemons = RunningDaemons();
  for (const InstanceSpec& instance : spec_.instances_) {
    if (Find(TargetNameOf(instance.name_)) != nullptr) {
      targets.push_back(TargetNameOf(instance.name_));
    }
  }
  std::map<std::string, int> exit_codes;
  for (const std::vector<std::string>& names : {targets, daemons}) {
    // All get the signal before the first is waited for.
    for (const std::string& name : names) {
      Find(name)->Signal(SIGTERM);
    }
    for (const std::string& name : names) {
      const std::optional<int> exit_code = Find(name)->Wait(timeout);
      if (!exit_code.has_value()) {
        return state::MakeError(state::ErrorKind::kTimeout,
                                absl::StrCat(name, " did not stop"));
      }
      exit_codes[name] = *exit_code;
      processes_.erase(name);
    }
  }
  return exit_codes;
}

void Deployment::Kill(const std::string& name) {
  processes_.erase(name);
}

state::Result<void> Deployment::Restart(const std::string& name) {
  Kill(name);
  return Start(name);
}

void Deployment::Pause(const std::string& name) {
  Find(name)->Pause();
}

void Deployment::Resume(const std::string& name) {
  Find(name)->Resume();
}

Process* Deployment::Find(const std::string& name) const {
  const auto process = processes_.find(name);
  return process == processes_.end() ? nullptr : process->second.get();
}

state::Result<void> Deployment::FormControlGroup(const FormStep& step) {
  return step(*this);
}

state::Result<void> Deployment::RunControlForm(const Deployment& deployment) {
  std::vector<std::string> arguments = {"control", "form"};
  for (const InstanceSpec& instance : deployment.spec_.instances_) {
    if (!instance.control_) {
      continue;
    }
    arguments.push_back(ToString(deployment.AddressesOf(instance.name_).http_));
  }
  const state::Result<std::unique_ptr<Process>> tool =
      Process::Start({.program_ = BuiltPrograms().ctl_,
                      .arguments_ = std::move(arguments),
                      .log_path_ = LogPath(deployment.folder(), "ctl")});
  if (!tool.has_value()) {
    return tool.error();
  }
  if (tool.value()->Wait(kPatience) != 0) {
    return state::MakeError(state::ErrorKind::kNotFormed,
                            absl::StrCat("control form failed; its log is ",
                                         LogPath(deployment.folder(), "ctl")));
  }
  return boost::outcome_v2::success();
}

CallAnswer Deployment::SubmitConfiguration(const std::string& instance,
                                           const std::string& document) const {
  return CallOnce(
      AddressesOf(instance).http_,
      {.method_ = "PUT",
       .path_ = "/-/config",
       .headers_ = {{.name_ = "Content-Type", .value_ = "application/json"}},
       .body_ = document});
}

state::Result<void> Deployment::WaitForConfiguration(
    uint64_t index,
    state::Millis timeout) const {
  return WaitUntil(
      absl::StrCat("configuration index ", index, " at all daemons"),
      [this, index] {
        const std::vector<std::string> daemons = RunningDaemons();
        return std::all_of(
            daemons.begin(), daemons.end(), [&](const std::string& name) {
              const json status = ParseOrNull(
                  CallOnce(AddressesOf(name).http_, {.path_ = "/-/status"})
                      .body_);
              return status.is_object() &&
                     status.value("configuration_index", uint64_t{0}) >= index;
            });
      },
      timeout);
}

state::Result<void> Deployment::WaitForTargets(const std::string& service,
                                               int count,
                                               state::Millis timeout) const {
  return WaitUntil(
      absl::StrCat(count, " targets of ", service, " at all daemons"),
      [&] {
        const std::vector<std::string> daemons = RunningDaemons();
        return std::all_of(
            daemons.begin(), daemons.end(), [&](const std::string& name) {
              const CallAnswer page =
                  CallOnce(AddressesOf(name).http_, {.path_ = "/-/targets"});
              return CountServing(page.body_, service) == count;
            });
      },
      timeout);
}

state::Result<void> Deployment::SetBehaviour(const std::string& instance,
                                             const std::string& patch) const {
  return Post(AddressesOf(instance).target_, "/stand-in/behaviour", patch);
}

state::Result<void> Deployment::SetLink(const std::string& name,
                                        const std::string& patch) const {
  return Post(proxy_, absl::StrCat("/links/", name), patch);
}

std::string Deployment::ReadLinks() const {
  return CallOnce(proxy_, {.path_ = "/links"}).body_;
}

double Deployment::SumCounter(const std::string& name,
                              const std::string& labels) const {
  double sum = 0;
  for (const std::string& daemon : RunningDaemons()) {
    sum += SumMetrics(ReadMetrics(AddressesOf(daemon).http_), name, labels);
  }
  return sum;
}

const InstanceAddresses& Deployment::AddressesOf(
    const std::string& instance) const {
  return addresses_.at(instance);
}

std::vector<std::string> Deployment::RunningDaemons() const {
  std::vector<std::string> names;
  for (const InstanceSpec& instance : spec_.instances_) {
    if (Find(instance.name_) != nullptr) {
      names.push_back(instance.name_);
    }
  }
  return names;
}

state::Result<void> Deployment::Post(const Address& address,
                                     const std::string& path,
                                     const std::string& body) const {
  const CallAnswer answer =
      CallOnce(address, {.method_ = "POST", .path_ = path, .body_ = body});
  if (answer.status_ != 200) {
    return state::MakeError(
        state::ErrorKind::kInvalidRequest,
        absl::StrCat("POST ", path, " to ", ToString(address), ": ",
                     answer.status_, answer.failure_, " ", answer.body_));
  }
  return boost::outcome_v2::success();
}

}  // namespace gooseberrygap::test_support
