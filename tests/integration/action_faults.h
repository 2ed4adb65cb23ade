#ifndef INTEGRATION_ACTION_FAULTS_H_
#define INTEGRATION_ACTION_FAULTS_H_

#include <random>
#include <set>
#include <string>

#include "support/deployment.h"

namespace gooseberrygap::integration {

// Injects faults into a deployment in a seeded order. Use it on the thread that
// started the deployment. Requires proxied peer and control links.
class ActionFaults {
 public:
  ActionFaults(test_support::Deployment* deployment, uint64_t seed)
      : deployment_(deployment), random_(seed) {}

  // Runs each fault `rounds` times, one after the other, and heals each.
  void Run(int rounds);

  // Returns the daemons that have been killed.
  const std::set<std::string>& killed() const { return killed_; }

 private:
  struct Row;
  static const Row kFaults[];

  void KillIngress();
  void KillGuard();
  void KillTarget();
  void CrashTarget();
  void PauseLeader();
  void KillLeader();
  void BlockLeader();
  void BlockGuard();
  void SilenceConnections();

  void KillDaemon(const std::string& instance);
  void SetLinksOf(const std::string& instance, const std::string& patch);
  void Hold();
  std::string ChooseActionInstance();

  test_support::Deployment* const deployment_;
  std::mt19937_64 random_;
  std::set<std::string> killed_;
};

// Returns the control instance that leads. Fails the running test when none
// does.
std::string WaitForLeader(const test_support::Deployment& deployment);

}  // namespace gooseberrygap::integration

#endif  // INTEGRATION_ACTION_FAULTS_H_
