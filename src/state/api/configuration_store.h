#ifndef STATE_API_CONFIGURATION_STORE_H_
#define STATE_API_CONFIGURATION_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/api/configuration.h"

namespace gooseberrygap::state {

// A configuration document with its submission id. Compares by content.
struct SubmittedConfiguration {
  const std::string submission_ = {};
  // Version that the document is based on; when absent, the document's own
  // version minus one.
  const std::optional<uint64_t> base_version_ = {};
  const std::shared_ptr<const Configuration> configuration_ = {};

  friend bool operator==(const SubmittedConfiguration& left,
                         const SubmittedConfiguration& right);
};

// The id and log index of an accepted submission, to recognize resends.
struct AcceptedSubmission {
  const std::string submission_ = {};
  const uint64_t index_ = 0;

  friend bool operator==(const AcceptedSubmission&,
                         const AcceptedSubmission&) = default;
};

// An accepted document with its log index.
struct StoredConfiguration {
  const uint64_t index_ = 0;
  const SubmittedConfiguration submitted_ = {};

  friend bool operator==(const StoredConfiguration&,
                         const StoredConfiguration&) = default;
};

enum class SubmissionStatus {
  kAccepted,
  kConflict,      // The version exists with different content.
  kWrongVersion,  // The document is not based on the current version.
};

struct SubmissionResult {
  const SubmissionStatus status_ = SubmissionStatus::kAccepted;
  const uint64_t index_ = 0;  // Log index of the document with that version.
  const uint64_t current_version_ = 0;
  const std::string winner_submission_ = {};  // Set for kConflict.

  friend bool operator==(const SubmissionResult&,
                         const SubmissionResult&) = default;
};

// Names of items that a newer configuration does not have.
struct RemovedItems {
  const std::vector<std::string> services_ = {};
  const std::vector<std::string> routes_ = {};
  const std::vector<std::string> tenants_ = {};

  friend bool operator==(const RemovedItems&, const RemovedItems&) = default;
};

// The difference between two configurations. `changes_` is the newer document
// with only its new and changed services, routes and tenants.
struct ConfigurationDelta {
  const uint64_t base_index_ = 0;
  const RemovedItems removed_ = {};
  const std::shared_ptr<const Configuration> changes_ = {};
};

// Returns the newer document. Precondition: `changes` and `removed` come from a
// delta computed against `base`. Thread-safe.
Configuration ApplyDelta(const Configuration& base,
                         const Configuration& changes,
                         const RemovedItems& removed);

// The accepted configurations: a deterministic state machine, so that replicas
// that apply the same submissions agree. Not thread-safe.
class ConfigurationStore {
 public:
  // Returns the result of submitting the document if no later entry can change
  // it: the document was accepted before, or is based on a version that is no
  // longer in force. Precondition: the document is not null.
  std::optional<SubmissionResult> FinalResult(
      const SubmittedConfiguration& submitted) const;
  // Accepts or rejects the document of the log entry `index`. A resend
  // of an accepted submission is accepted with the index of the first.
  // Precondition: the document is not null.
  SubmissionResult Submit(uint64_t index,
                          const SubmittedConfiguration& submitted);

  // Returns the newest configuration; index 0 when there is none.
  IndexedConfiguration current() const;
  // Returns the changes since the configuration with that index, or nullopt if
  // that one is no longer stored or a delta cannot express the changes.
  std::optional<ConfigurationDelta> DeltaFrom(uint64_t base_index) const;

  // Returns the newest configurations, as many as a snapshot may contain.
  std::vector<StoredConfiguration> Snapshot() const;
  // Returns the most recently accepted submissions, oldest first.
  std::vector<AcceptedSubmission> AcceptedSubmissions() const;
  void Restore(const std::vector<StoredConfiguration>& configurations,
               const std::vector<AcceptedSubmission>& accepted);

 private:
  uint64_t CurrentVersion() const;
  void RecordSubmission(const AcceptedSubmission& accepted);

  std::deque<StoredConfiguration> recent_configurations_;  // Oldest first.
  std::deque<AcceptedSubmission> recent_submissions_;      // Oldest first.
  std::unordered_map<std::string, uint64_t> index_by_submission_;  // Log index.
  // Cached deltas to the newest configuration by base index, since many daemons
  // request the same one.
  mutable std::map<uint64_t, std::optional<ConfigurationDelta>> delta_cache_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_CONFIGURATION_STORE_H_
