#ifndef COORDINATION_INTERNAL_KEY_CONFIRMATION_H_
#define COORDINATION_INTERNAL_KEY_CONFIRMATION_H_

#include <cstdint>
#include <map>
#include <optional>

#include "coordination/api/control_service.h"

namespace gooseberrygap::coordination {

// Keeps a control instance's proof recent that its configuration was the newest
// one: a linearizable read, repeated while a daemon with a lease here needs it,
// with one read for all of them. Not thread-safe.
class KeyConfirmation {
 public:
  // At `at_` or later, the newest configuration was the one with this index or
  // an older one.
  struct Confirmed {
    const uint64_t index_ = 0;
    const state::Millis at_ = {};
  };

  // A daemon with a lease here needs confirmations until that time.
  void Require(state::Millis until, state::Millis now);
  // Returns whether the next read should be requested now.
  bool IsReadDue(state::Millis now) const;
  // Records that the read is about to be requested.
  void OnReadStarted(uint64_t read_id, state::Millis now);
  // Returns false when the read is none of this object's.
  bool OnReadAnswered(const ReadIndexAnswered& answer);
  // Takes the confirmed reads into account whose entries have been applied.
  // `configuration` is the index of the newest configuration applied.
  void OnApplied(uint64_t applied_index, uint64_t configuration);

  // Returns the newest confirmation; nothing while there has been none, or
  // while no daemon needs it: it would grow old, and daemons would take this
  // instance for one that cannot confirm.
  std::optional<Confirmed> Last(state::Millis now) const;

 private:
  bool IsRequired(state::Millis now) const {
    return required_until_.has_value() && now < *required_until_;
  }

  std::optional<state::Millis> required_until_;
  state::Millis next_read_at_;
  // Time of the request by read id, for reads without an answer.
  std::map<uint64_t, state::Millis> in_flight_;
  // Time of the request by the index that must be applied first.
  std::multimap<uint64_t, state::Millis> awaiting_apply_;
  std::optional<Confirmed> last_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_KEY_CONFIRMATION_H_
