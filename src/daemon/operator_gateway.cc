#include "daemon/operator_gateway.h"

#include <algorithm>

#include <memory>

#include "absl/time/clock.h"

namespace gooseberrygap::daemon {

namespace {

using coordination::ConfigSubmitReply;
using coordination::SubmitStatus;

// Limit of the wait for one instance: longer than a commit across regions.
constexpr state::Millis kInstanceTimeout(1000);
constexpr absl::Duration kNoLeaderRetryDelay = absl::Milliseconds(100);

bool IsFinal(SubmitStatus status) {
  return status == SubmitStatus::kAccepted ||
         status == SubmitStatus::kConflict ||
         status == SubmitStatus::kWrongVersion;
}

}  // namespace

OperatorGateway::OperatorGateway(const Options& options,
                                 transport::PeerEndpoint* peers)
    : control_addresses_(options.control_addresses_),
      timeout_(options.timeout_),
      peers_(peers) {}

// The tries of one submission. All stay open until its end: the answer to an
// early one may come while a later one waits.
class OperatorGateway::Tries {
 public:
  explicit Tries(Slots* slots) : slots_(slots) {}
  ~Tries() {
    for (const Slots::OpenSlot& opened : opened_) {
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
  std::optional<ConfigSubmitReply> Wait(state::Millis timeout) const {
    auto last = opened_.back().slot_->Wait(timeout);
    for (const Slots::OpenSlot& opened : opened_) {
      auto reply = opened.slot_->Wait(state::Millis(0));
      if (reply.has_value() && IsFinal(reply->status_)) {
        return reply;
      }
    }
    return last;
  }

 private:
  Slots* const slots_;
  std::vector<Slots::OpenSlot> opened_;
};

ConfigSubmitReply OperatorGateway::Submit(
    const state::SubmittedConfiguration& submission) {
  const state::SteadyClock clock;
  const state::Millis end = clock.Now() + timeout_;
  SubmitStatus last_status = SubmitStatus::kNoQuorum;
  std::string leader;
  Tries tries(&slots_);
  for (size_t i = 0; clock.Now() < end && !control_addresses_.empty(); ++i) {
    const std::string address =
        leader.empty() ? control_addresses_[i % control_addresses_.size()]
                       : leader;
    leader.clear();
    // The submission id makes a repeated request idempotent.
    peers_->Send(coordination::SendToPeer{
        .address_ = address,
        .message_ = coordination::ConfigSubmit{
            .call_id_ = tries.Open(),
            .submission_ = submission.submission_,
            .base_version_ = submission.base_version_,
            .configuration_ = submission.configuration_}});
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
  return ConfigSubmitReply{.status_ = last_status};
}

void OperatorGateway::OnReply(const ConfigSubmitReply& reply) {
  slots_.Put(reply.call_id_, reply);
}

}  // namespace gooseberrygap::daemon
