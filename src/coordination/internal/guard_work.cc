#include "coordination/internal/guard_work.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace gooseberrygap::coordination {

namespace {

constexpr size_t kRememberedAttempts = 65536;
// Weight of one sample in the smoothed service time.
constexpr double kSampleWeight = 0.1;
// A crash is confirmed within two missed announcements.
constexpr state::Millis kCutMemory(4000);

}  // namespace

bool AttemptMemory::Insert(const std::string& request_id, uint32_t attempt) {
  std::string id = absl::StrCat(request_id, "/", attempt);
  if (!seen_.insert(id).second) {
    return false;
  }
  order_.push_back(std::move(id));
  if (order_.size() > kRememberedAttempts) {
    seen_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

void LatencyEstimate::Add(state::Millis service_time) {
  if (!has_sample_) {
    has_sample_ = true;
    mean_ms_ = service_time.value();
    return;
  }
  mean_ms_ += kSampleWeight * (service_time.value() - mean_ms_);
}

state::Millis LatencyEstimate::At(int waiting, int slots) const {
  const double rounds = slots > 0 ? static_cast<double>(waiting) / slots : 1;
  return state::Millis(mean_ms_ * (1 + std::max(0.0, rounds - 1)));
}

void CrashDetector::OnCut(const std::string& fingerprint,
                          int in_flight,
                          state::Millis started,
                          state::Millis now) {
  cuts_.push_back(Cut{.fingerprint_ = fingerprint,
                      .in_flight_ = in_flight,
                      .started_ = started,
                      .time_ = now});
}

std::vector<CrashReport> CrashDetector::Confirm(state::Millis now) {
  std::vector<CrashReport> reports;
  if (cuts_.empty()) {
    return reports;
  }
  const bool is_last_crash =
      crash_ > 0 && cuts_.front().started_ <= confirmed_at_;
  if (!is_last_crash) {
    ++crash_;
    confirmed_at_ = now;
  }
  const std::string crash_id = absl::StrCat(crash_id_prefix_, crash_);
  // The first cut saw all requests that ran at the crash.
  const bool alone =
      !is_last_crash && cuts_.size() == 1 && cuts_.front().in_flight_ == 1;
  for (const Cut& cut : cuts_) {
    reports.push_back(CrashReport{.fingerprint_ = cut.fingerprint_,
                                  .crash_id_ = crash_id,
                                  .alone_ = alone});
  }
  cuts_.clear();
  return reports;
}

void CrashDetector::Tick(state::Millis now) {
  std::vector<Cut> recent;
  for (const Cut& cut : cuts_) {
    if (now - cut.time_ < kCutMemory) {
      recent.push_back(cut);
    }
  }
  cuts_.swap(recent);
}

}  // namespace gooseberrygap::coordination
