#ifndef COORDINATION_INTERNAL_RAFT_PROGRESS_H_
#define COORDINATION_INTERNAL_RAFT_PROGRESS_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "state/state.h"

namespace gooseberrygap::coordination {

// The leader's replication state for one other member. Entries are sent without
// waiting for the replies to earlier ones; a lost message is detected when the
// member refuses a later one. Not thread-safe.
class RaftProgress {
 public:
  enum class Mode {
    kProbe,     // One message at a time, until one succeeds.
    kStream,    // Entries are sent up to the in-flight limits.
    kSnapshot,  // No entries are sent until the snapshot is acknowledged.
  };

  RaftProgress(uint64_t next, state::Millis now)
      : next_index_(next), last_contact_(now) {}

  Mode mode() const { return mode_; }
  uint64_t match_index() const { return match_index_; }
  uint64_t next_index() const { return next_index_; }
  uint64_t acknowledged_round() const { return acknowledged_round_; }
  // Number of the member's last reply, 0 for none, and when it was handled.
  uint64_t last_reply() const { return last_reply_; }
  state::Millis last_reply_at() const { return last_reply_at_; }
  // Returns the beginning of the last round that the member has acknowledged:
  // since then it can have followed another leader.
  state::Millis last_contact() const { return last_contact_; }
  bool MayProbe() const { return !probe_sent_; }
  bool heartbeat_due() const { return heartbeat_due_; }
  // Highest commit index sent to the member.
  uint64_t sent_commit_index() const { return sent_commit_index_; }

  // `began_at` is when the acknowledged round began, if that is still known.
  void OnReply(uint64_t round,
               std::optional<state::Millis> began_at,
               uint64_t reply,
               state::Millis now) {
    last_reply_ = reply;
    last_reply_at_ = now;
    last_contact_ = std::max(last_contact_, began_at.value_or(last_contact_));
    acknowledged_round_ = std::max(acknowledged_round_, round);
  }
  void OnSuccess(uint64_t index) {
    match_index_ = std::max(match_index_, index);
    next_index_ = std::max(next_index_, match_index_ + 1);
    if (mode_ == Mode::kProbe ||
        (mode_ == Mode::kSnapshot && match_index_ >= snapshot_index_)) {
      mode_ = Mode::kStream;
    }
  }
  // `hint` is the index from which the member requests entries, `round` the
  // latest round that it had received. Hints in refusals of old messages are
  // out of date.
  void OnRefusal(uint64_t hint, uint64_t round) {
    const bool snapshot_lost =
        mode_ == Mode::kSnapshot && round > snapshot_round_;
    const bool behind = mode_ != Mode::kSnapshot && hint < next_index_;
    if (hint > match_index_ && (snapshot_lost || behind)) {
      next_index_ = hint;
      mode_ = Mode::kProbe;
      probe_sent_ = false;
    }
  }
  void OnSent(uint64_t last_index, uint64_t commit) {
    next_index_ = std::max(next_index_, last_index + 1);
    probe_sent_ = true;
    sent_commit_index_ = std::max(sent_commit_index_, commit);
    heartbeat_due_ = false;
  }
  void OnSnapshotSent(uint64_t index, uint64_t round) {
    mode_ = Mode::kSnapshot;
    snapshot_index_ = index;
    snapshot_round_ = round;
    next_index_ = index + 1;
    heartbeat_due_ = false;
  }
  void RequestHeartbeat() { heartbeat_due_ = true; }
  void OnRoundStarted() {
    heartbeat_due_ = true;
    probe_sent_ = false;
  }

 private:
  Mode mode_ = Mode::kProbe;
  uint64_t match_index_ = 0;
  uint64_t next_index_ = 1;
  uint64_t acknowledged_round_ = 0;
  uint64_t last_reply_ = 0;
  state::Millis last_reply_at_;
  uint64_t sent_commit_index_ = 0;
  uint64_t snapshot_index_ = 0;
  uint64_t snapshot_round_ = 0;
  bool probe_sent_ = false;
  bool heartbeat_due_ = true;
  state::Millis last_contact_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RAFT_PROGRESS_H_
