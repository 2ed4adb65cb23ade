#include "protocol/internal/message_wire.h"
#include "protocol/internal/quota_wire.h"

namespace gooseberrygap::protocol {

namespace {

using coordination::PeerMessage;

}  // namespace

void Encoder::operator()(const coordination::RegisterCall& message) const {
  wire::RegisterCall* out = envelope_->mutable_register_call();
  out->set_call_id(message.call_id_);
  out->set_group(message.group_);
  ToWire(message.command_, out->mutable_command());
}

void Encoder::operator()(const coordination::RegisterReply& message) const {
  wire::RegisterReply* out = envelope_->mutable_register_reply();
  out->set_call_id(message.call_id_);
  out->set_status(static_cast<uint32_t>(message.status_));
  ToWire(message.result_, out->mutable_result());
  out->set_leader_address(message.leader_address_);
}

void Encoder::operator()(const coordination::ConfigSubmit& message) const {
  wire::ConfigSubmit* out = envelope_->mutable_config_submit();
  out->set_call_id(message.call_id_);
  out->set_submission(message.submission_);
  if (message.base_version_.has_value()) {
    out->set_base_version(*message.base_version_);
  }
  if (message.configuration_ != nullptr) {
    ToWire(*message.configuration_, out->mutable_configuration());
  }
}

void Encoder::operator()(const coordination::ConfigSubmitReply& message) const {
  wire::ConfigSubmitReply* out = envelope_->mutable_config_submit_reply();
  out->set_call_id(message.call_id_);
  out->set_status(static_cast<uint32_t>(message.status_));
  out->set_index(message.index_);
  out->set_current_version(message.current_version_);
  out->set_winner_submission(message.winner_submission_);
  out->set_leader_address(message.leader_address_);
}

void Encoder::operator()(const coordination::EvacuationSubmit& message) const {
  wire::EvacuationSubmit* out = envelope_->mutable_evacuation_submit();
  out->set_call_id(message.call_id_);
  ToWire(message.order_, out->mutable_order());
}

void Encoder::operator()(const coordination::EvacuationReply& message) const {
  wire::EvacuationReply* out = envelope_->mutable_evacuation_reply();
  out->set_call_id(message.call_id_);
  out->set_status(static_cast<uint32_t>(message.status_));
  out->set_index(message.index_);
  out->set_leader_address(message.leader_address_);
}

void Encoder::operator()(const coordination::QuotaReport& message) const {
  ToWire(message, envelope_->mutable_quota_report());
}

void Encoder::operator()(const coordination::QuotaGrant& message) const {
  ToWire(message, envelope_->mutable_quota_grant());
}

void Encoder::operator()(const coordination::JoinRequest& message) const {
  wire::JoinRequest* out = envelope_->mutable_join_request();
  out->set_identity(message.identity_);
  out->set_instance(message.instance_);
  out->set_address(message.address_);
}

void Encoder::operator()(const coordination::LeaveRequest& message) const {
  wire::LeaveRequest* out = envelope_->mutable_leave_request();
  out->set_identity(message.identity_);
  out->set_address(message.address_);
}

void Encoder::operator()(const coordination::WithdrawalSubmit& message) const {
  wire::WithdrawalSubmit* out = envelope_->mutable_withdrawal_submit();
  out->set_instance(message.instance_);
  ToWire(message.withdrawal_, out->mutable_withdrawal());
}

void Encoder::operator()(const coordination::CrashSubmit& message) const {
  wire::CrashSubmit* out = envelope_->mutable_crash_submit();
  for (const coordination::CrashReport& report : message.reports_) {
    ToWire(report, out->add_reports());
  }
}

void Encoder::operator()(const coordination::LeaveReply& message) const {
  envelope_->mutable_leave_reply()->set_identity(message.identity_);
}

PeerMessage ReadRegisterCall(const wire::Envelope& envelope,
                             WireReader* reader) {
  const wire::RegisterCall& in = envelope.register_call();
  return coordination::RegisterCall{.call_id_ = in.call_id(),
                                    .group_ = in.group(),
                                    .command_ = FromWire(in.command(), reader)};
}

PeerMessage ReadRegisterReply(const wire::Envelope& envelope,
                              WireReader* reader) {
  const wire::RegisterReply& in = envelope.register_reply();
  return coordination::RegisterReply{
      .call_id_ = in.call_id(),
      .status_ =
          reader->EnumOf(in.status(), coordination::RegisterStatus::kNoQuorum),
      .result_ = FromWire(in.result(), reader),
      .leader_address_ = in.leader_address()};
}

PeerMessage ReadConfigSubmit(const wire::Envelope& envelope,
                             WireReader* reader) {
  const wire::ConfigSubmit& in = envelope.config_submit();
  return coordination::ConfigSubmit{
      .call_id_ = in.call_id(),
      .submission_ = in.submission(),
      .base_version_ = in.has_base_version()
                           ? std::optional<uint64_t>(in.base_version())
                           : std::nullopt,
      .configuration_ = SharedConfiguration(in.configuration(), reader)};
}

PeerMessage ReadConfigSubmitReply(const wire::Envelope& envelope,
                                  WireReader* reader) {
  const wire::ConfigSubmitReply& in = envelope.config_submit_reply();
  return coordination::ConfigSubmitReply{
      .call_id_ = in.call_id(),
      .status_ =
          reader->EnumOf(in.status(), coordination::SubmitStatus::kNotFormed),
      .index_ = in.index(),
      .current_version_ = in.current_version(),
      .winner_submission_ = in.winner_submission(),
      .leader_address_ = in.leader_address()};
}

PeerMessage ReadJoinRequest(const wire::Envelope& envelope, WireReader*) {
  const wire::JoinRequest& in = envelope.join_request();
  return coordination::JoinRequest{.identity_ = in.identity(),
                                   .instance_ = in.instance(),
                                   .address_ = in.address()};
}

PeerMessage ReadLeaveRequest(const wire::Envelope& envelope, WireReader*) {
  const wire::LeaveRequest& in = envelope.leave_request();
  return coordination::LeaveRequest{.identity_ = in.identity(),
                                    .address_ = in.address()};
}

PeerMessage ReadWithdrawalSubmit(const wire::Envelope& envelope,
                                 WireReader* reader) {
  const wire::WithdrawalSubmit& in = envelope.withdrawal_submit();
  return coordination::WithdrawalSubmit{
      .instance_ = in.instance(),
      .withdrawal_ = FromWire(in.withdrawal(), reader)};
}

PeerMessage ReadCrashSubmit(const wire::Envelope& envelope, WireReader*) {
  return coordination::CrashSubmit{
      .reports_ = CrashesFromWire(envelope.crash_submit().reports())};
}

PeerMessage ReadLeaveReply(const wire::Envelope& envelope, WireReader*) {
  return coordination::LeaveReply{.identity_ =
                                      envelope.leave_reply().identity()};
}

PeerMessage ReadEvacuationSubmit(const wire::Envelope& envelope,
                                 WireReader* reader) {
  const wire::EvacuationSubmit& in = envelope.evacuation_submit();
  return coordination::EvacuationSubmit{.call_id_ = in.call_id(),
                                        .order_ = FromWire(in.order(), reader)};
}

PeerMessage ReadEvacuationReply(const wire::Envelope& envelope,
                                WireReader* reader) {
  const wire::EvacuationReply& in = envelope.evacuation_reply();
  return coordination::EvacuationReply{
      .call_id_ = in.call_id(),
      .status_ = reader->EnumOf(in.status(),
                                coordination::EvacuationStatus::kNotFormed),
      .index_ = in.index(),
      .leader_address_ = in.leader_address()};
}

PeerMessage ReadQuotaReport(const wire::Envelope& envelope,
                            WireReader* reader) {
  return FromWire(envelope.quota_report(), reader);
}

PeerMessage ReadQuotaGrant(const wire::Envelope& envelope, WireReader* reader) {
  return FromWire(envelope.quota_grant(), reader);
}

}  // namespace gooseberrygap::protocol
