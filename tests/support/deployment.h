#ifndef SUPPORT_DEPLOYMENT_H_
#define SUPPORT_DEPLOYMENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/state.h"
#include "support/address.h"
#include "support/caller.h"
#include "support/deployment_plan.h"
#include "support/process.h"
#include "support/temporary_folder.h"
#include "support/waiting.h"

namespace gooseberrygap::test_support {

// Daemons, stand-in targets and the fault proxy on loopback addresses. A
// process is named after its instance, TargetNameOf(instance), or kProxyName;
// it keeps its addresses over restarts. All processes are killed at the end.
// Not thread-safe; call it from a thread that outlives it.
class Deployment {
 public:
  static constexpr const char* kProxyName = "fault_proxy";

  // Forms the control group of started control instances.
  using FormStep = std::function<state::Result<void>(const Deployment&)>;

  // Writes the settings files and, when a link is proxied, starts the proxy.
  static state::Result<std::unique_ptr<Deployment>> Create(
      const DeploymentSpec& spec);

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts a process and waits until it listens.
  state::Result<void> Start(const std::string& name);
  // Starts all control instances, other daemons, and targets.
  state::Result<void> StartAll();
  // Sends SIGTERM and returns the exit code.
  state::Result<int> Stop(const std::string& name,
                          state::Millis timeout = kPatience);
  // Sends SIGTERM to all targets, then to all daemons, and returns the exit
  // codes by name.
  state::Result<std::map<std::string, int>> StopAll(
      state::Millis timeout = kPatience);
  // Kills the process and waits for its end.
  void Kill(const std::string& name);
  // Kills the process if it runs, and starts it again.
  state::Result<void> Restart(const std::string& name);
  // Stop and continue all threads of the process. Precondition: it runs.
  void Pause(const std::string& name);
  void Resume(const std::string& name);

  // Returns the process, or null when it was not started or was stopped.
  Process* Find(const std::string& name) const;

  state::Result<void> FormControlGroup(const FormStep& step = RunControlForm);
  // Runs `gooseberrygapctl control form` against the first control instance.
  static state::Result<void> RunControlForm(const Deployment& deployment);

  // Sends `PUT /-/config` to the instance.
  CallAnswer SubmitConfiguration(const std::string& instance,
                                 const std::string& document) const;
  // Waits until every running daemon reports this configuration index or a
  // later one.
  state::Result<void> WaitForConfiguration(
      uint64_t index,
      state::Millis timeout = kPatience) const;
  // Waits until every running daemon lists exactly `count` serving targets of
  // the service.
  state::Result<void> WaitForTargets(const std::string& service,
                                     int count,
                                     state::Millis timeout = kPatience) const;

  // Changes the behaviour of an instance's target, see Behaviour.
  state::Result<void> SetBehaviour(const std::string& instance,
                                   const std::string& patch) const;
  // Sends `POST /links/NAME` to the proxy.
  state::Result<void> SetLink(const std::string& name,
                              const std::string& patch) const;
  // Returns `GET /links` of the proxy.
  std::string ReadLinks() const;

  // Returns the sum of a counter over all running daemons.
  double SumCounter(const std::string& name,
                    const std::string& labels = "") const;

  const DeploymentSpec& spec() const { return spec_; }
  // Precondition: the instance is in the specification.
  const InstanceAddresses& AddressesOf(const std::string& instance) const;
  const std::string& folder() const { return folder_.path(); }

 private:
  // What Start needs to know of a process.
  struct Plan {
    const Command command_ = {};
    const Address listen_ = {};
  };

  explicit Deployment(const DeploymentSpec& spec);
  void PlanProcesses();
  state::Result<void> StartProxy();
  std::vector<std::string> RunningDaemons() const;
  state::Result<void> Post(const Address& address,
                           const std::string& path,
                           const std::string& body) const;

  const DeploymentSpec spec_;
  const TemporaryFolder folder_;
  const AddressPlan addresses_;
  const Address proxy_;
  std::map<std::string, Plan> plans_;
  std::map<std::string, std::unique_ptr<Process>> processes_;
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_DEPLOYMENT_H_
