#ifndef DAEMON_EVACUATION_SUBMISSION_H_
#define DAEMON_EVACUATION_SUBMISSION_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "protocol/protocol.h"

namespace gooseberrygap::daemon {

// How the handling of an evacuation order ended.
enum class OrderOutcome {
  kAccepted,    // In force and durable.
  kNotCertain,  // May have taken effect, or still may.
  kCallerLeft,  // Not submitted: the caller had closed its connection.
  kTooLate,     // Not submitted: the order had waited too long.
};

// Decides how one evacuation order is brought into the replicated log: reads
// the last order for the failure domain, submits the new one with the index of
// that one, and reads again after a conflict. An order that changes nothing is
// submitted too: only its entry in the log keeps an opposite order, submitted
// earlier and still on its way, from taking effect after the acknowledgement.
// An order is not submitted when its caller has left or it has waited too long,
// since the operator may have given another order elsewhere in the meantime.
// Not thread-safe.
class EvacuationSubmission {
 public:
  // Time from the receipt of an order to its end. A caller resends an order
  // for as long.
  static constexpr state::Millis kTimeLimit = state::Millis(4000);

  // What to do next.
  struct Read {
    const state::Millis timeout_ = {};

    friend bool operator==(const Read&, const Read&) = default;
  };
  struct Submit {
    const state::EvacuationOrder order_ = {};
    const state::Millis timeout_ = {};

    friend bool operator==(const Submit&, const Submit&) = default;
  };
  struct End {
    const OrderOutcome outcome_ = OrderOutcome::kNotCertain;
    // Log index of the domain's last order; 0 when unknown or without one.
    const uint64_t index_ = 0;

    friend bool operator==(const End&, const End&) = default;
  };
  using Step = std::variant<Read, Submit, End>;

  // What the decisions depend on besides the control group.
  struct Situation {
    const state::Millis now_ = {};
    const bool caller_waits_ = true;
  };

  EvacuationSubmission(protocol::OrderEvacuation order,
                       state::Millis received_at);

  // Returns the first step. Then call the function for the step that was
  // carried out, until the step is an End.
  Step Start(const Situation& situation);
  // `evacuations` is absent when the read was not confirmed in time.
  Step OnRead(const std::optional<state::Evacuations>& evacuations,
              const Situation& situation);
  Step OnReply(const coordination::EvacuationReply& reply,
               const Situation& situation);

  // Returns whether the order may be sent to the control group.
  bool MaySubmit(const Situation& situation) const;

 private:
  Step ReadAgain(const Situation& situation);
  // Returns the end of an order that must not be submitted any more.
  End GiveUp(const Situation& situation) const;
  state::Millis TimeLeft(const Situation& situation) const;

  const protocol::OrderEvacuation order_;
  const state::Millis end_;
  state::Millis read_timeout_;
  bool is_submitted_ = false;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_EVACUATION_SUBMISSION_H_
