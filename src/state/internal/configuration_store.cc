#include <algorithm>
#include <iterator>

#include "state/api/configuration_size.h"
#include "state/internal/named_items.h"
#include "state/state.h"

namespace gooseberrygap::state {

namespace {

// Number of stored configurations, each a possible base of a delta: 17 minutes
// of changes at 4,100 a day. A daemon that is further behind receives the whole
// document.
constexpr size_t kMaxStoredConfigurations = 48;
// Bytes of the stored configurations, of which the newest is always stored:
// some 30 of 4,200 routes. How many are stored decides only which deltas can
// be made and how a refusal is worded, not what is accepted, so that replicas
// may differ in it.
constexpr size_t kMaxStoredBytes = size_t{32} * 1024 * 1024;
// Bytes of the configurations in a snapshot, which is encoded, decoded and sent
// as a whole.
constexpr size_t kMaxSnapshotBytes = size_t{8} * 1024 * 1024;
// Number of accepted submissions that are stored: a day of changes, since an
// operator may resend a submission long after its answer was lost.
constexpr size_t kMaxStoredSubmissions = 4096;

// Returns `configuration` with other services, routes and tenants.
Configuration WithItems(const Configuration& configuration,
                        const std::vector<Service>& services,
                        const std::vector<Route>& routes,
                        const std::vector<Shared<Tenant>>& tenants) {
  return Configuration{.version_ = configuration.version_,
                       .services_ = services,
                       .routes_ = routes,
                       .caller_limits_ = configuration.caller_limits_,
                       .load_budget_ = configuration.load_budget_,
                       .cross_region_bytes_per_second_ =
                           configuration.cross_region_bytes_per_second_,
                       .actions_ = configuration.actions_,
                       .poison_ = configuration.poison_,
                       .tenants_ = tenants};
}

// Returns how many of the newest configurations take at most `max_bytes`
// together; at least one if there is any.
size_t CountNewest(const std::deque<StoredConfiguration>& configurations,
                   size_t max_bytes) {
  size_t count = 0;
  size_t bytes = 0;
  for (auto stored = configurations.rbegin(); stored != configurations.rend();
       ++stored) {
    bytes += SizeOf(*stored->submitted_.configuration_);
    if (count > 0 && bytes > max_bytes) {
      break;
    }
    ++count;
  }
  return count;
}

std::optional<ConfigurationDelta> MakeDelta(uint64_t base_index,
                                            const Configuration& base,
                                            const Configuration& newer) {
  const Configuration changes =
      WithItems(newer, ChangedItems(base.services_, newer.services_),
                ChangedItems(base.routes_, newer.routes_),
                ChangedItems(base.tenants_, newer.tenants_));
  const RemovedItems removed{
      .services_ = RemovedNames(base.services_, newer.services_),
      .routes_ = RemovedNames(base.routes_, newer.routes_),
      .tenants_ = RemovedNames(base.tenants_, newer.tenants_)};
  // A delta cannot express every change, for example a reordering.
  if (!(ApplyDelta(base, changes, removed) == newer)) {
    return std::nullopt;
  }
  return ConfigurationDelta{
      .base_index_ = base_index,
      .removed_ = removed,
      .changes_ = std::make_shared<const Configuration>(changes)};
}

}  // namespace

bool operator==(const SubmittedConfiguration& left,
                const SubmittedConfiguration& right) {
  if (left.submission_ != right.submission_ ||
      left.base_version_ != right.base_version_) {
    return false;
  }
  if (left.configuration_ == right.configuration_) {
    return true;
  }
  return left.configuration_ != nullptr && right.configuration_ != nullptr &&
         *left.configuration_ == *right.configuration_;
}

Configuration ApplyDelta(const Configuration& base,
                         const Configuration& changes,
                         const RemovedItems& removed) {
  return WithItems(
      changes,
      ApplyItemChanges(base.services_, changes.services_, removed.services_),
      ApplyItemChanges(base.routes_, changes.routes_, removed.routes_),
      ApplyItemChanges(base.tenants_, changes.tenants_, removed.tenants_));
}

std::optional<SubmissionResult> ConfigurationStore::FinalResult(
    const SubmittedConfiguration& submitted) const {
  const uint64_t version = submitted.configuration_->version_;
  const uint64_t current_version = CurrentVersion();
  const auto accepted = index_by_submission_.find(submitted.submission_);
  if (submitted.base_version_.has_value() &&
      accepted != index_by_submission_.end()) {
    return SubmissionResult{.status_ = SubmissionStatus::kAccepted,
                            .index_ = accepted->second,
                            .current_version_ = current_version};
  }
  for (const StoredConfiguration& stored : recent_configurations_) {
    const SubmittedConfiguration& winner = stored.submitted_;
    if (winner.configuration_->version_ != version) {
      continue;
    }
    const bool is_same = *winner.configuration_ == *submitted.configuration_;
    return SubmissionResult{
        .status_ =
            is_same ? SubmissionStatus::kAccepted : SubmissionStatus::kConflict,
        .index_ = stored.index_,
        .current_version_ = current_version,
        .winner_submission_ = is_same ? std::string() : winner.submission_};
  }
  // Versions only grow.
  const bool is_outdated = version <= current_version ||
                           (submitted.base_version_.has_value() &&
                            *submitted.base_version_ < current_version);
  if (is_outdated) {
    return SubmissionResult{.status_ = SubmissionStatus::kWrongVersion,
                            .current_version_ = current_version};
  }
  return std::nullopt;
}

SubmissionResult ConfigurationStore::Submit(
    uint64_t index,
    const SubmittedConfiguration& submitted) {
  const std::optional<SubmissionResult> known = FinalResult(submitted);
  if (known.has_value()) {
    return *known;
  }
  const uint64_t version = submitted.configuration_->version_;
  const uint64_t current_version = CurrentVersion();
  const bool follows = submitted.base_version_.has_value()
                           ? *submitted.base_version_ == current_version
                           : version == current_version + 1;
  if (!follows) {
    return SubmissionResult{.status_ = SubmissionStatus::kWrongVersion,
                            .current_version_ = current_version};
  }
  recent_configurations_.push_back(
      StoredConfiguration{.index_ = index, .submitted_ = submitted});
  const size_t stored =
      std::min(kMaxStoredConfigurations,
               CountNewest(recent_configurations_, kMaxStoredBytes));
  while (recent_configurations_.size() > stored) {
    recent_configurations_.pop_front();
  }
  delta_cache_.clear();
  RecordSubmission(AcceptedSubmission{.submission_ = submitted.submission_,
                                      .index_ = index});
  return SubmissionResult{.status_ = SubmissionStatus::kAccepted,
                          .index_ = index,
                          .current_version_ = version};
}

IndexedConfiguration ConfigurationStore::current() const {
  if (recent_configurations_.empty()) {
    return IndexedConfiguration();
  }
  return IndexedConfiguration{
      .index_ = recent_configurations_.back().index_,
      .configuration_ =
          recent_configurations_.back().submitted_.configuration_};
}

std::optional<ConfigurationDelta> ConfigurationStore::DeltaFrom(
    uint64_t base_index) const {
  const auto cached = delta_cache_.find(base_index);
  if (cached != delta_cache_.end()) {
    return cached->second;
  }
  const auto base =
      std::find_if(recent_configurations_.begin(), recent_configurations_.end(),
                   [base_index](const StoredConfiguration& kept) {
                     return kept.index_ == base_index;
                   });
  // Not cached: the requested index is arbitrary, so the cache would be
  // unbounded.
  if (base == recent_configurations_.end()) {
    return std::nullopt;
  }
  return delta_cache_
      .emplace(
          base_index,
          MakeDelta(base_index, *base->submitted_.configuration_,
                    *recent_configurations_.back().submitted_.configuration_))
      .first->second;
}

void ConfigurationStore::RecordSubmission(const AcceptedSubmission& accepted) {
  if (!index_by_submission_.emplace(accepted.submission_, accepted.index_)
           .second) {
    return;
  }
  recent_submissions_.push_back(accepted);
  if (recent_submissions_.size() > kMaxStoredSubmissions) {
    index_by_submission_.erase(recent_submissions_.front().submission_);
    recent_submissions_.pop_front();
  }
}

std::vector<StoredConfiguration> ConfigurationStore::Snapshot() const {
  const size_t stored = CountNewest(recent_configurations_, kMaxSnapshotBytes);
  return {std::prev(recent_configurations_.end(),
                    static_cast<std::ptrdiff_t>(stored)),
          recent_configurations_.end()};
}

std::vector<AcceptedSubmission> ConfigurationStore::AcceptedSubmissions()
    const {
  return {recent_submissions_.begin(), recent_submissions_.end()};
}

void ConfigurationStore::Restore(
    const std::vector<StoredConfiguration>& configurations,
    const std::vector<AcceptedSubmission>& accepted) {
  recent_configurations_.clear();
  delta_cache_.clear();
  index_by_submission_.clear();
  recent_submissions_.clear();
  for (const AcceptedSubmission& submission : accepted) {
    RecordSubmission(submission);
  }
  for (const StoredConfiguration& configuration : configurations) {
    recent_configurations_.push_back(configuration);
  }
}

uint64_t ConfigurationStore::CurrentVersion() const {
  return recent_configurations_.empty()
             ? 0
             : recent_configurations_.back()
                   .submitted_.configuration_->version_;
}

}  // namespace gooseberrygap::state
