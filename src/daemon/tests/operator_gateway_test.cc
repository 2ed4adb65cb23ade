#include "daemon/operator_gateway.h"

#include <catch2/catch.hpp>

namespace gooseberrygap::daemon {
namespace {

using coordination::ConfigSubmit;
using coordination::ConfigSubmitReply;
using coordination::SubmitStatus;

// A control instance that answers the first submission only after it has
// received a second one, and no other.
class SlowControl : public transport::PeerEndpoint {
 public:
  bool Send(coordination::SendToPeer command) override {
    const auto& submit = std::get<ConfigSubmit>(command.message_);
    calls_.push_back(submit.call_id_);
    if (calls_.size() == 2) {
      gateway_->OnReply(ConfigSubmitReply{.call_id_ = calls_.front(),
                                          .status_ = SubmitStatus::kAccepted,
                                          .index_ = 7});
    }
    return true;
  }
  bool Reply(coordination::ReplyToPeer) override { return true; }
  bool Reset(coordination::ResetLink) override { return true; }
  std::string address() const override { return "127.0.0.1:1"; }

  OperatorGateway* gateway_ = nullptr;
  std::vector<uint64_t> calls_;
};

// Guards against a submission that is accepted by a group with slow disks and
// reported to the operator as not accepted: each answer comes while the next
// control instance is being asked.
TEST_CASE("a late answer to an earlier try of a submission counts",
          "[configuration]") {
  SlowControl control;
  OperatorGateway gateway(
      {.control_addresses_ = {"c1", "c2"}, .timeout_ = state::Millis(2500)},
      &control);
  control.gateway_ = &gateway;
  const ConfigSubmitReply reply = gateway.Submit({.submission_ = "s"});
  CHECK(reply.status_ == SubmitStatus::kAccepted);
  CHECK(reply.index_ == 7);
}

}  // namespace
}  // namespace gooseberrygap::daemon
