#ifndef COORDINATION_INTERNAL_SENT_VERSION_H_
#define COORDINATION_INTERNAL_SENT_VERSION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace gooseberrygap::coordination {

// The version of a state that a daemon has after everything that was sent to
// it. What was sent counts as received until a report on the same connection
// contradicts it: the connection keeps the order of the replies, so that a
// report which names the last reply handled tells what was lost from what is
// still on the way. Changes in quick succession are thus sent once each, and
// not again with every message until the next report. Not thread-safe.
class SentVersion {
 public:
  // Returns the version from which the next change is made.
  uint64_t base() const {
    return on_the_way_.empty() ? reported_ : on_the_way_.back().version_;
  }

  // Handles a report of the version that the daemon has and of the last reply
  // that it has handled, 0 for none. `received_reply` is absent when the daemon
  // is of an earlier build, which cannot tell what it misses: then nothing
  // counts as received before it is reported.
  void OnReported(uint64_t version,
                  std::optional<uint64_t> received_reply,
                  bool is_same_connection) {
    uint64_t expected = reported_;
    while (received_reply.has_value() && !on_the_way_.empty() &&
           on_the_way_.front().reply_ <= *received_reply) {
      expected = on_the_way_.front().version_;
      on_the_way_.pop_front();
    }
    reported_ = version;
    tells_received_ = received_reply.has_value();
    const bool is_consistent = is_same_connection &&
                               received_reply.value_or(0) > 0 &&
                               version >= expected && version <= base();
    if (!is_consistent) {
      on_the_way_.clear();
    }
  }

  // Handles that the reply with that number carries the version. Precondition:
  // `reply` is higher than those before it.
  void OnSent(uint64_t version, uint64_t reply) {
    if (!tells_received_ || version == base()) {
      return;
    }
    if (on_the_way_.size() == kMaxOnTheWay) {
      on_the_way_.pop_front();
    }
    on_the_way_.push_back(Sent{.version_ = version, .reply_ = reply});
  }

 private:
  struct Sent {
    uint64_t version_ = 0;
    uint64_t reply_ = 0;
  };

  // More than the pushes between two renewals. Without the oldest, its loss is
  // seen from the next one.
  static constexpr size_t kMaxOnTheWay = 128;

  uint64_t reported_ = 0;
  bool tells_received_ = false;
  std::deque<Sent> on_the_way_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_SENT_VERSION_H_
