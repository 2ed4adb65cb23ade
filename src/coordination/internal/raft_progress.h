#ifndef COORDINATION_INTERNAL_RAFT_PROGRESS_H_
#define COORDINATION_INTERNAL_RAFT_PROGRESS_H_

#include <algorithm>
#include <cstdint>

#include "state/state.h"

namespace gooseberrygap::coordination {

// What a leader knows of one other member. Sends run ahead of the answers; a
// lost message shows when a later one is refused. Not thread-safe.
class RaftProgress {
 public:
  enum class Mode {
    kProbe,     // One message at a time, until one succeeds.
    kStream,    // Messages up to the window.
    kSnapshot,  // Waits until the snapshot has arrived.
  };

  RaftProgress(uint64_t next, state::Millis now)
      : next_(next), last_heard_(now) {}

  Mode mode() const { return mode_; }
  uint64_t match() const { return match_; }
  uint64_t next() const { return next_; }
  uint64_t acked_round() const { return acked_round_; }
  state::Millis last_heard() const { return last_heard_; }
  bool MayProbe() const { return !probe_sent_; }
  bool heartbeat_due() const { return heartbeat_due_; }
  // Highest commit index that was sent.
  uint64_t sent_commit() const { return sent_commit_; }

  void OnHeard(uint64_t round, state::Millis now) {
    last_heard_ = now;
    acked_round_ = std::max(acked_round_, round);
  }
  void OnSuccess(uint64_t index) {
    match_ = std::max(match_, index);
    next_ = std::max(next_, match_ + 1);
    if (mode_ == Mode::kProbe ||
        (mode_ == Mode::kSnapshot && match_ >= snapshot_index_)) {
      mode_ = Mode::kStream;
    }
  }
  // `hint` is where the member wants to go on; `round` that of the refused
  // message. Refusals of old messages have hints that are out of date.
  void OnRefusal(uint64_t hint, uint64_t round) {
    const bool snapshot_lost =
        mode_ == Mode::kSnapshot && round > snapshot_round_;
    const bool behind = mode_ != Mode::kSnapshot && hint < next_;
    if (hint > match_ && (snapshot_lost || behind)) {
      next_ = hint;
      mode_ = Mode::kProbe;
      probe_sent_ = false;
    }
  }
  void OnSent(uint64_t last_index, uint64_t commit) {
    next_ = std::max(next_, last_index + 1);
    probe_sent_ = true;
    sent_commit_ = std::max(sent_commit_, commit);
    heartbeat_due_ = false;
  }
  void OnSnapshotSent(uint64_t index, uint64_t round) {
    mode_ = Mode::kSnapshot;
    snapshot_index_ = index;
    snapshot_round_ = round;
    next_ = index + 1;
    heartbeat_due_ = false;
  }
  void OnRoundStarted() {
    heartbeat_due_ = true;
    probe_sent_ = false;
  }

 private:
  Mode mode_ = Mode::kProbe;
  uint64_t match_ = 0;
  uint64_t next_ = 1;
  uint64_t acked_round_ = 0;
  uint64_t sent_commit_ = 0;
  uint64_t snapshot_index_ = 0;
  uint64_t snapshot_round_ = 0;
  bool probe_sent_ = false;
  bool heartbeat_due_ = true;
  state::Millis last_heard_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_RAFT_PROGRESS_H_
