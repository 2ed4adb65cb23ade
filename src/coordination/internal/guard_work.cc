#include "coordination/internal/guard_work.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace gooseberrygap::coordination {

namespace {

// Number of most recent attempts that are checked for duplicates.
constexpr size_t kMaxRecordedAttempts = 65536;
// Weight of one sample in the smoothed service time.
constexpr double kSampleWeight = 0.1;
// Time in which an incomplete answer can become part of a crash. A crash is
// confirmed within two missed announcements.
constexpr state::Millis kCrashConfirmationTime(4000);

}  // namespace

bool AttemptDeduplicator::Insert(const std::string& request_id,
                                 uint32_t attempt) {
  std::string id = absl::StrCat(request_id, "/", attempt);
  if (!seen_.insert(id).second) {
    return false;
  }
  order_.push_back(std::move(id));
  if (order_.size() > kMaxRecordedAttempts) {
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

void CrashDetector::OnIncompleteAnswer(const std::string& fingerprint,
                                       int in_flight,
                                       state::Millis started,
                                       state::Millis now) {
  incomplete_answers_.push_back(IncompleteAnswer{.fingerprint_ = fingerprint,
                                                 .in_flight_ = in_flight,
                                                 .started_ = started,
                                                 .time_ = now});
}

std::vector<CrashReport> CrashDetector::Confirm(state::Millis now) {
  std::vector<CrashReport> reports;
  if (incomplete_answers_.empty()) {
    return reports;
  }
  const bool belongs_to_last_crash =
      crash_ > 0 && incomplete_answers_.front().started_ <= confirmed_at_;
  if (!belongs_to_last_crash) {
    ++crash_;
    confirmed_at_ = now;
  }
  const std::string crash_id = absl::StrCat(crash_id_prefix_, crash_);
  // The first incomplete answer counted all requests that ran at the crash.
  const bool alone = !belongs_to_last_crash &&
                     incomplete_answers_.size() == 1 &&
                     incomplete_answers_.front().in_flight_ == 1;
  for (const IncompleteAnswer& incomplete : incomplete_answers_) {
    reports.push_back(CrashReport{.fingerprint_ = incomplete.fingerprint_,
                                  .crash_id_ = crash_id,
                                  .alone_ = alone});
  }
  incomplete_answers_.clear();
  return reports;
}

void CrashDetector::Tick(state::Millis now) {
  std::vector<IncompleteAnswer> recent;
  for (const IncompleteAnswer& incomplete : incomplete_answers_) {
    if (now - incomplete.time_ < kCrashConfirmationTime) {
      recent.push_back(incomplete);
    }
  }
  incomplete_answers_.swap(recent);
}

}  // namespace gooseberrygap::coordination
