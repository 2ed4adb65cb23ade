#ifndef SUPPORT_FAULT_PROXY_FLOW_H_
#define SUPPORT_FAULT_PROXY_FLOW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "state/state.h"
#include "support/fault_proxy/fault_settings.h"
#include "support/fault_proxy/splitter.h"

namespace gooseberrygap::test_support {

// Bandwidth that several links share: bytes leave one after the other. Not
// thread-safe.
class BandwidthGroup {
 public:
  // 0 is unlimited.
  void SetRate(double bits_per_second) { bits_per_second_ = bits_per_second; }
  // Returns when the last of the bytes has left.
  state::Millis Reserve(size_t bytes, state::Millis now);

 private:
  double bits_per_second_ = 0;
  state::Millis free_at_;
};

using BandwidthGroups = std::map<std::string, BandwidthGroup>;

struct KindCount {
  uint64_t messages_ = 0;
  uint64_t bytes_ = 0;
};

// What senders have sent into one direction of a link, and what its faults did.
struct DirectionCounts {
  uint64_t bytes_ = 0;
  uint64_t messages_ = 0;
  uint64_t duplicated_ = 0;
  uint64_t reordered_ = 0;
  uint64_t dropped_ = 0;
  std::map<int, KindCount> kinds_;
};

// Which faults strike a message.
struct MessageFate {
  const bool dropped_ = false;
  const bool duplicated_ = false;
  const bool reordered_ = false;

  friend bool operator==(const MessageFate&, const MessageFate&) = default;
};

// One direction of a link, shared by the flows of its connections. Not
// thread-safe.
class LinkDirection {
 public:
  // `groups` must outlive this object.
  LinkDirection(uint64_t seed, BandwidthGroups* groups);

  void SetFaults(const DirectionFaults& faults);
  const DirectionFaults& faults() const { return *faults_; }
  DirectionCounts& counts() { return counts_; }

  // Draws the fate of the next message. The draws do not depend on the shares,
  // so that one seed strikes the same messages with any of them.
  MessageFate DrawFate();
  // Returns when bytes that are sent now arrive.
  state::Millis ArrivalOf(size_t bytes, state::Millis now);

 private:
  BandwidthGroups* const groups_;
  std::unique_ptr<const DirectionFaults> faults_;
  DirectionCounts counts_;
  std::mt19937_64 fate_random_;
  // Apart, so that the number of heartbeats does not change fates.
  std::mt19937_64 jitter_random_;
};

// One direction of a connection: decides which bytes arrive and when. Contains
// no socket and no clock. Not thread-safe.
class Flow {
 public:
  // A message that is reordered waits this long at most for the next one.
  static constexpr state::Millis kReorderHold = state::Millis(50);
  // More waiting bytes than this stop the sender, as a full send buffer does.
  static constexpr size_t kMaxWaiting = 1 << 20;

  // `direction` must outlive this object. `started_at` is the time at which the
  // connection was accepted.
  Flow(absl::string_view kind,
       LinkDirection* direction,
       state::Millis started_at);

  // Takes bytes from the sender.
  void Take(absl::string_view bytes, state::Millis now);
  // The sender has closed: nothing more will be taken.
  void Finish(state::Millis now);
  // Never passes another byte.
  void Freeze() { frozen_ = true; }

  // Returns true when neither bytes nor the end of the stream are passed.
  bool Stalled() const { return frozen_ || direction_->faults().blocked_; }
  bool WantsMore() const {
    return !Stalled() && !finished_ && waiting_bytes_ < kMaxWaiting;
  }
  // Returns true when the sender has closed and every byte has been passed.
  bool Drained() const {
    return finished_ && !held_.has_value() && waiting_.empty();
  }

  // Returns the bytes that the receiver gets next if they have arrived by
  // `now`; empty otherwise. Valid until the next call of another method.
  absl::string_view Ready(state::Millis now);
  // Removes bytes from the front of Ready.
  void Consume(size_t bytes);
  // Returns when Ready will next have bytes, or nothing when none wait.
  std::optional<state::Millis> NextArrival() const;

 private:
  struct Departure {
    const state::Millis arrival_ = {};
    const state::Bytes bytes_ = {};
  };
  struct Held {
    const state::Bytes bytes_ = {};
    const int copies_ = 1;
    const state::Millis until_ = {};
  };

  void TakeMessage(const Piece& piece, state::Millis now);
  void Schedule(const state::Bytes& bytes, int copies, state::Millis now);
  void ReleaseHeld(state::Millis now);

  LinkDirection* const direction_;
  const std::unique_ptr<Splitter> splitter_;
  const state::Millis opens_at_;  // No byte arrives before.
  // Bytes are passed in this order: jitter delays those behind, too.
  std::deque<Departure> waiting_;
  size_t waiting_bytes_ = 0;
  size_t consumed_ = 0;  // Of the first departure.
  std::optional<Held> held_;
  bool finished_ = false;
  bool frozen_ = false;
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_FAULT_PROXY_FLOW_H_
