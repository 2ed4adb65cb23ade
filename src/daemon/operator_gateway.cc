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

}  // namespace

OperatorGateway::OperatorGateway(const Options& options,
                                 transport::PeerEndpoint* peers)
    : control_addresses_(options.control_addresses_),
      timeout_(options.timeout_),
      peers_(peers) {}

ConfigSubmitReply OperatorGateway::Submit(
    const state::SubmittedConfiguration& submission) {
  const state::SteadyClock clock;
  const state::Millis end = clock.Now() + timeout_;
  SubmitStatus last_status = SubmitStatus::kNoQuorum;
  std::string leader;
  for (size_t i = 0; clock.Now() < end && !control_addresses_.empty(); ++i) {
    const std::string address =
        leader.empty() ? control_addresses_[i % control_addresses_.size()]
                       : leader;
    leader.clear();
    const auto opened = slots_.Open();
    // The submission id makes a repeated request idempotent.
    peers_->Send(coordination::SendToPeer{
        .address_ = address,
        .message_ = coordination::ConfigSubmit{
            .call_id_ = opened.id_,
            .submission_ = submission.submission_,
            .base_version_ = submission.base_version_,
            .configuration_ = submission.configuration_}});
    const auto reply =
        opened.slot_->Wait(std::min(kInstanceTimeout, end - clock.Now()));
    slots_.Close(opened.id_);
    if (!reply.has_value()) {
      continue;
    }
    const bool is_final = reply->status_ == SubmitStatus::kAccepted ||
                          reply->status_ == SubmitStatus::kConflict ||
                          reply->status_ == SubmitStatus::kWrongVersion;
    if (is_final) {
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
