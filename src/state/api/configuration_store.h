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

// An operator's document with the id of its submission. Compares by content.
struct SubmittedConfiguration {
  const std::string submission_ = {};
  // The version that the document was made from. Without it the document
  // follows the version that is one less than its own.
  const std::optional<uint64_t> base_version_ = {};
  const std::shared_ptr<const Configuration> configuration_ = {};

  friend bool operator==(const SubmittedConfiguration& left,
                         const SubmittedConfiguration& right);
};

// A submission that was accepted, so that a resend is recognized.
struct AcceptedSubmission {
  const std::string submission_ = {};
  const uint64_t index_ = 0;

  friend bool operator==(const AcceptedSubmission&,
                         const AcceptedSubmission&) = default;
};

// An accepted document with its index in the log.
struct StoredConfiguration {
  const uint64_t index_ = 0;
  const SubmittedConfiguration submitted_ = {};

  friend bool operator==(const StoredConfiguration&,
                         const StoredConfiguration&) = default;
};

enum class SubmissionStatus {
  kAccepted,
  kConflict,      // The version has other content.
  kWrongVersion,  // The document does not follow the current version.
};

struct SubmissionResult {
  const SubmissionStatus status_ = SubmissionStatus::kAccepted;
  const uint64_t index_ = 0;  // Of the document that has the version.
  const uint64_t current_version_ = 0;
  const std::string winner_submission_ = {};  // Of kConflict.

  friend bool operator==(const SubmissionResult&,
                         const SubmissionResult&) = default;
};

// What changed between two configurations. `changes_` is the newer document
// with only the services that are new or different.
struct ConfigurationDelta {
  const uint64_t base_index_ = 0;
  const std::vector<std::string> removed_services_ = {};
  const std::shared_ptr<const Configuration> changes_ = {};
};

// Returns the newer document. `changes` and `removed_services` are of a delta
// whose base is `base`. Thread-safe.
Configuration ApplyDelta(const Configuration& base,
                         const Configuration& changes,
                         const std::vector<std::string>& removed_services);

// The accepted configurations: a deterministic state machine. Not thread-safe.
class ConfigurationStore {
 public:
  // Decides on a document whose log entry has the given index. A repeated
  // submission gives the result of the first.
  // Precondition: the document is not null.
  SubmissionResult Submit(uint64_t index,
                          const SubmittedConfiguration& submitted);

  // Returns the newest configuration; index 0 when there is none.
  IndexedConfiguration current() const;
  // Returns the changes since the configuration with that index, or nothing if
  // it is no longer kept or the whole document is needed.
  std::optional<ConfigurationDelta> DeltaFrom(uint64_t base_index) const;

  std::vector<StoredConfiguration> Snapshot() const;
  // Returns the accepted submissions of the recent past, oldest first.
  std::vector<AcceptedSubmission> AcceptedSubmissions() const;
  void Restore(const std::vector<StoredConfiguration>& configurations,
               const std::vector<AcceptedSubmission>& accepted);

 private:
  uint64_t CurrentVersion() const;
  void Remember(const AcceptedSubmission& accepted);

  std::deque<StoredConfiguration> kept_;                // Oldest first.
  std::deque<AcceptedSubmission> accepted_order_;       // Oldest first.
  std::unordered_map<std::string, uint64_t> accepted_;  // Index by submission.
  // Deltas to the newest one by base index; many daemons ask for the same.
  mutable std::map<uint64_t, std::optional<ConfigurationDelta>> deltas_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_CONFIGURATION_STORE_H_
