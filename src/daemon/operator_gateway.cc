#include "daemon/operator_gateway.h"

#include <algorithm>
#include <memory>
#include <type_traits>

#include "absl/time/clock.h"

namespace gooseberrygap::daemon {

namespace {

using coordination::ConfigSubmitReply;
using coordination::EvacuationReply;
using coordination::EvacuationStatus;
using coordination::SubmitStatus;

// Limit of the wait for one instance: longer than a commit across regions.
constexpr state::Millis kInstanceTimeout(1000);
constexpr absl::Duration kNoLeaderRetryDelay = absl::Milliseconds(100);

bool IsFinal(SubmitStatus status) {
  return status == SubmitStatus::kAccepted ||
         status == SubmitStatus::kConflict ||
         status == SubmitStatus::kWrongVersion;
}

bool IsFinal(EvacuationStatus status) {
  return status == EvacuationStatus::kAccepted ||
         status == EvacuationStatus::kConflict;
}

// The tries of one submission. All stay open until its end: the answer to an
// early one may come while a later one waits.
template <class Reply>
class Tries {
 public:
  using Slots = transport::AnswerSlots<Reply>;

  explicit Tries(Slots* slots) : slots_(slots) {}
  ~Tries() {
    for (const auto& opened : opened_) {
      slots_->Close(opened.id_);
    }
  }
  Tries(const Tries&) = delete;
  Tries& operator=(const Tries&) = delete;

  // Opens the next try and returns the id of its call.
  uint64_t Open() {
    opened_.push_back(slots_->Open());
    return opened_.back().id_;
  }

  // Waits for the answer to the last try. Returns a final answer to an earlier
  // one if that has come.
  std::optional<Reply> Wait(state::Millis timeout) const {
    auto last = opened_.back().slot_->Wait(timeout);
    for (const auto& opened : opened_) {
      auto reply = opened.slot_->Wait(state::Millis(0));
      if (reply.has_value() && IsFinal(reply->status_)) {
        return reply;
      }
    }
    return last;
  }

 private:
  Slots* const slots_;
  std::vector<typename Slots::OpenSlot> opened_;
};

}  // namespace

OperatorGateway::OperatorGateway(const Options& options,
                                 transport::PeerEndpoint* peers)
    : control_addresses_(options.control_addresses_),
      timeout_(options.timeout_),
      peers_(peers) {}

template <class Reply>
Reply OperatorGateway::SubmitToLeader(const Submission& submission,
                                      transport::AnswerSlots<Reply>* slots) {
  using Status = std::remove_const_t<decltype(Reply::status_)>;
  const state::SteadyClock clock;
  const state::Millis end = clock.Now() + submission.timeout_;
  Status last_status = Status::kNoQuorum;
  std::string leader;
  Tries<Reply> tries(slots);
  for (size_t i = 0; clock.Now() < end && !control_addresses_.empty(); ++i) {
    if (!submission.may_send_()) {
      return Reply{.status_ = Status::kNoQuorum};
    }
    const std::string address =
        leader.empty() ? control_addresses_[i % control_addresses_.size()]
                       : leader;
    leader.clear();
    peers_->Send(coordination::SendToPeer{
        .address_ = address, .message_ = submission.message_(tries.Open())});
    const auto reply =
        tries.Wait(std::min(kInstanceTimeout, end - clock.Now()));
    if (!reply.has_value()) {
      continue;
    }
    if (IsFinal(reply->status_)) {
      return *reply;
    }
    last_status = reply->status_;
    leader = reply->leader_address_;
    if (leader.empty() || leader == address) {
      leader.clear();
      absl::SleepFor(kNoLeaderRetryDelay);
    }
  }
  return Reply{.status_ = last_status};
}

ConfigSubmitReply OperatorGateway::Submit(
    const state::SubmittedConfiguration& submission) {
  // The submission id makes a repeated request idempotent.
  return SubmitToLeader(
      Submission{.message_ =
                     [&submission](uint64_t call_id) {
                       return coordination::ConfigSubmit{
                           .call_id_ = call_id,
                           .submission_ = submission.submission_,
                           .base_version_ = submission.base_version_,
                           .configuration_ = submission.configuration_};
                     },
                 .may_send_ = [] { return true; },
                 .timeout_ = timeout_},
      &configuration_slots_);
}

EvacuationReply OperatorGateway::SubmitEvacuation(
    const state::EvacuationOrder& order,
    state::Millis timeout,
    const std::function<bool()>& may_send) {
  // An order that has taken effect is accepted again without a change.
  return SubmitToLeader(Submission{.message_ =
                                       [&order](uint64_t call_id) {
                                         return coordination::EvacuationSubmit{
                                             .call_id_ = call_id,
                                             .order_ = order};
                                       },
                                   .may_send_ = may_send,
                                   .timeout_ = timeout},
                        &evacuation_slots_);
}

void OperatorGateway::OnReply(const coordination::PeerMessage& message) {
  if (const auto* submitted = std::get_if<ConfigSubmitReply>(&message)) {
    configuration_slots_.Put(submitted->call_id_, *submitted);
  } else if (const auto* ordered = std::get_if<EvacuationReply>(&message)) {
    evacuation_slots_.Put(ordered->call_id_, *ordered);
  }
}

}  // namespace gooseberrygap::daemon
