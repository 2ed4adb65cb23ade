#ifndef COORDINATION_INTERNAL_CRASH_HISTORY_H_
#define COORDINATION_INTERNAL_CRASH_HISTORY_H_

#include <map>
#include <string>
#include <vector>

#include "coordination/api/messages.h"

namespace gooseberrygap::coordination {

// Decides from crash reports which requests are suspected of crashing their
// targets and which are convicted. Not thread-safe.
class CrashHistory {
 public:
  // Records a report. Returns whether Refused() has changed.
  bool Add(const CrashReport& report,
           const state::PoisonPolicy& policy,
           state::Millis now);
  // Convicts the request that all crashes of the window share, if it is the
  // only one. Both copies of a hedged call can crash their targets at the same
  // time, so that it never runs alone. Call it after all reports of a crash.
  // Returns whether Refused() has changed.
  bool ConvictSharedFingerprint(const state::PoisonPolicy& policy,
                                state::Millis now);
  // Adopts a conviction from another control instance. Returns whether
  // Refused() has changed.
  bool Adopt(const RefusedFingerprint& refused, state::Millis now);
  // Removes crashes older than the policy's window and convictions that have
  // ended. Returns whether Refused() has changed.
  bool Tick(const state::PoisonPolicy& policy, state::Millis now);

  // Returns whether a report of that crash was recorded.
  bool HasCrash(const std::string& crash_id) const;
  // Returns suspected and convicted fingerprints with the time left.
  std::vector<RefusedFingerprint> Refused(const state::PoisonPolicy& policy,
                                          state::Millis now) const;
  std::vector<RefusedFingerprint> Convicted(state::Millis now) const;
  size_t convictions() const { return convictions_; }

 private:
  struct Crash {
    std::string crash_id_;
    bool alone_ = false;
    state::Millis at_;
  };

  // Returns whether these crashes convict the request that shared them.
  bool MeetsConvictionRule(const std::vector<Crash>& crashes,
                           const state::PoisonPolicy& policy) const;
  void Convict(const std::string& fingerprint, state::Millis until);

  // Crashes of each suspect within the window, in the order of their reports.
  std::map<std::string, std::vector<Crash>> suspects_;
  std::map<std::string, state::Millis> convicted_until_;
  // Time of each recorded crash, by crash id.
  std::map<std::string, state::Millis> crashes_;
  // Time of each crash that is attributed to a convicted request, by crash id.
  // No other request is suspected because of them.
  std::map<std::string, state::Millis> attributed_crashes_;
  size_t convictions_ = 0;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_CRASH_HISTORY_H_
