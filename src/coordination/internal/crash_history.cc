#include "coordination/internal/crash_history.h"

#include <algorithm>

namespace gooseberrygap::coordination {

namespace {

// Limits the memory used when many targets crash at once. Further fingerprints
// are not suspected.
constexpr size_t kMaxSuspects = 1024;
// Shortest remaining time of a conviction that is adopted. Two instances could
// otherwise keep it from ending by adopting it from each other.
constexpr state::Millis kMinAdoptedHold(5000);

}  // namespace

bool CrashHistory::Add(const CrashReport& report,
                       const state::PoisonPolicy& policy,
                       state::Millis now) {
  crashes_.emplace(report.crash_id_, now);
  if (attributed_crashes_.contains(report.crash_id_) ||
      convicted_until_.contains(report.fingerprint_) ||
      (suspects_.size() >= kMaxSuspects &&
       !suspects_.contains(report.fingerprint_))) {
    return false;
  }
  std::vector<Crash>& crashes = suspects_[report.fingerprint_];
  const bool is_known = std::any_of(
      crashes.begin(), crashes.end(), [&report](const Crash& crash) {
        return crash.crash_id_ == report.crash_id_;
      });
  if (is_known) {
    return false;
  }
  crashes.push_back(Crash{
      .crash_id_ = report.crash_id_, .alone_ = report.alone_, .at_ = now});
  if (MeetsConvictionRule(crashes, policy)) {
    Convict(report.fingerprint_, now + policy.hold_);
  }
  return true;
}

bool CrashHistory::ConvictSharedFingerprint(const state::PoisonPolicy& policy,
                                            state::Millis now) {
  const size_t unattributed = crashes_.size() - attributed_crashes_.size();
  // If there are more crashes than a conviction requires, they have another
  // cause, such as a lost rack.
  if (unattributed != static_cast<size_t>(policy.crashes_)) {
    return false;
  }
  std::vector<std::string> shared;
  for (const auto& [fingerprint, crashes] : suspects_) {
    if (crashes.size() == unattributed) {
      shared.push_back(fingerprint);
    }
  }
  if (shared.size() != 1) {
    return false;
  }
  Convict(shared.front(), now + policy.hold_);
  return true;
}

bool CrashHistory::Adopt(const RefusedFingerprint& refused, state::Millis now) {
  if (!refused.convicted_ || refused.left_ < kMinAdoptedHold ||
      convicted_until_.contains(refused.fingerprint_)) {
    return false;
  }
  Convict(refused.fingerprint_, now + refused.left_);
  return true;
}

bool CrashHistory::Tick(const state::PoisonPolicy& policy, state::Millis now) {
  const auto is_past = [&policy, now](state::Millis at) {
    return now - at >= policy.window_;
  };
  bool changed = false;
  for (auto entry = suspects_.begin(); entry != suspects_.end();) {
    std::erase_if(entry->second, [&is_past](const Crash& crash) {
      return is_past(crash.at_);
    });
    const bool is_clear = entry->second.empty();
    changed = changed || is_clear;
    entry = is_clear ? suspects_.erase(entry) : std::next(entry);
  }
  changed = std::erase_if(
                convicted_until_,
                [now](const auto& entry) { return now >= entry.second; }) > 0 ||
            changed;
  const auto is_old = [&is_past](const auto& entry) {
    return is_past(entry.second);
  };
  std::erase_if(crashes_, is_old);
  std::erase_if(attributed_crashes_, is_old);
  return changed;
}

bool CrashHistory::HasCrash(const std::string& crash_id) const {
  return crashes_.contains(crash_id);
}

std::vector<RefusedFingerprint> CrashHistory::Refused(
    const state::PoisonPolicy& policy,
    state::Millis now) const {
  std::vector<RefusedFingerprint> refused = Convicted(now);
  for (const auto& [fingerprint, crashes] : suspects_) {
    refused.push_back(
        RefusedFingerprint{.fingerprint_ = fingerprint,
                           .left_ = crashes.back().at_ + policy.window_ - now});
  }
  return refused;
}

std::vector<RefusedFingerprint> CrashHistory::Convicted(
    state::Millis now) const {
  std::vector<RefusedFingerprint> convicted;
  convicted.reserve(convicted_until_.size());
  for (const auto& [fingerprint, until] : convicted_until_) {
    convicted.push_back(RefusedFingerprint{
        .fingerprint_ = fingerprint, .left_ = until - now, .convicted_ = true});
  }
  return convicted;
}

bool CrashHistory::MeetsConvictionRule(
    const std::vector<Crash>& crashes,
    const state::PoisonPolicy& policy) const {
  // The request must have run alone in the last crash. Otherwise a request that
  // merely ran beside the guilty one in both crashes would be convicted with
  // it.
  return crashes.size() >= static_cast<size_t>(policy.crashes_) &&
         crashes.back().alone_;
}

void CrashHistory::Convict(const std::string& fingerprint,
                           state::Millis until) {
  ++convictions_;
  convicted_until_.emplace(fingerprint, until);
  const auto convicted = suspects_.find(fingerprint);
  if (convicted == suspects_.end()) {
    return;
  }
  for (const Crash& crash : convicted->second) {
    attributed_crashes_.emplace(crash.crash_id_, crash.at_);
  }
  suspects_.erase(convicted);
  for (auto entry = suspects_.begin(); entry != suspects_.end();) {
    std::erase_if(entry->second, [this](const Crash& crash) {
      return attributed_crashes_.contains(crash.crash_id_);
    });
    entry = entry->second.empty() ? suspects_.erase(entry) : std::next(entry);
  }
}

}  // namespace gooseberrygap::coordination
