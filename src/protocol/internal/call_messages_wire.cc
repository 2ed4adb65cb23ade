#include "protocol/internal/message_wire.h"

namespace gooseberrygap::protocol {

namespace {

using coordination::PeerMessage;

template <class Part>
void SetBody(const state::Bytes& body, Part* out) {
  out->set_body(body.view().data(), body.size());
}

}  // namespace

void Encoder::operator()(const coordination::Attempt& message) const {
  wire::Attempt* out = envelope_->mutable_attempt();
  out->set_request_id(message.request_id_);
  out->set_attempt(message.attempt_);
  out->set_service(message.service_);
  out->set_target(message.target_);
  HeadToWire(message.request_, out->mutable_request());
  if (!leaves_out_body_) {
    SetBody(message.request_.body_, out->mutable_request());
  }
  out->set_deadline_left(message.deadline_left_.value());
  out->set_depth(message.depth_);
  out->set_request_class(static_cast<uint32_t>(message.request_class_));
  out->set_configuration_index(message.configuration_index_);
  out->set_may_queue(message.may_queue_);
  out->set_has_twin(message.is_hedged_);
  out->set_cross_region(message.cross_region_);
  out->set_run_alone(message.run_alone_);
  out->set_key(message.key_);
  out->set_digest(message.digest_);
  out->set_register_group(message.register_group_);
  out->set_register_attempt(message.register_attempt_);
  out->set_objective_left(message.objective_left_.value());
  out->set_priority(message.priority_);
  out->set_origin_service(message.origin_service_);
  out->set_host(message.host_);
  out->set_route(message.route_);
  out->set_unkeyed(message.unkeyed_);
  out->set_tenant(message.tenant_);
  out->set_tenant_priority(message.tenant_priority_);
  if (message.authorization_left_.has_value()) {
    out->set_authorization_left(message.authorization_left_->value());
  }
}

void Encoder::operator()(const coordination::AttemptAnswer& message) const {
  wire::AttemptAnswer* out = envelope_->mutable_attempt_answer();
  out->set_request_id(message.request_id_);
  out->set_attempt(message.attempt_);
  out->set_result(static_cast<uint32_t>(message.result_));
  out->set_refusal(static_cast<uint32_t>(message.refusal_));
  HeadToWire(message.answer_, out->mutable_answer());
  if (!leaves_out_body_) {
    SetBody(message.answer_.body_, out->mutable_answer());
  }
  ToWire(message.load_, out->mutable_load());
  out->set_target(message.target_);
  out->set_guard_time(message.guard_time_.value());
  out->set_run_time(message.run_time_.value());
}

void Encoder::operator()(const coordination::Cancel& message) const {
  wire::Cancel* out = envelope_->mutable_cancel();
  out->set_request_id(message.request_id_);
  out->set_attempt(message.attempt_);
}

void Encoder::operator()(const coordination::ResumeAttempt& message) const {
  wire::ResumeAttempt* out = envelope_->mutable_resume_attempt();
  out->set_request_id(message.request_id_);
  out->set_attempt(message.attempt_);
  out->set_incarnation(message.incarnation_);
}

void Encoder::operator()(const coordination::Probe& message) const {
  envelope_->mutable_probe()->set_probe_id(message.probe_id_);
}

void Encoder::operator()(const coordination::ProbeReply& message) const {
  wire::ProbeReply* out = envelope_->mutable_probe_reply();
  out->set_probe_id(message.probe_id_);
  out->set_target(message.target_);
  ToWire(message.load_, out->mutable_load());
}

void Encoder::operator()(const coordination::LoadNotice& message) const {
  wire::LoadNotice* out = envelope_->mutable_load_notice();
  out->set_target(message.target_);
  ToWire(message.load_, out->mutable_load());
}

PeerMessage ReadAttempt(const wire::Envelope& envelope, WireReader* reader) {
  const wire::Attempt& in = envelope.attempt();
  return coordination::Attempt{
      .request_id_ = in.request_id(),
      .attempt_ = in.attempt(),
      .service_ = in.service(),
      .target_ = in.target(),
      .request_ = FromWire(in.request(), reader),
      .deadline_left_ = reader->MillisOf(in.deadline_left()),
      .depth_ = in.depth(),
      .request_class_ =
          reader->EnumOf(in.request_class(), state::RequestClass::kAction),
      .configuration_index_ = in.configuration_index(),
      .may_queue_ = in.may_queue(),
      .is_hedged_ = in.has_twin(),
      .cross_region_ = in.cross_region(),
      .run_alone_ = in.run_alone(),
      .objective_left_ = reader->MillisOf(in.objective_left()),
      .priority_ = in.priority(),
      .origin_service_ = in.origin_service(),
      .host_ = in.host(),
      .route_ = in.route(),
      .tenant_ = in.tenant(),
      .tenant_priority_ = in.tenant_priority(),
      .authorization_left_ =
          in.has_authorization_left()
              ? std::optional(reader->MillisOf(in.authorization_left()))
              : std::nullopt,
      .unkeyed_ = in.unkeyed(),
      .key_ = in.key(),
      .digest_ = in.digest(),
      .register_group_ = in.register_group(),
      .register_attempt_ = in.register_attempt()};
}

PeerMessage ReadAttemptAnswer(const wire::Envelope& envelope,
                              WireReader* reader) {
  const wire::AttemptAnswer& in = envelope.attempt_answer();
  return coordination::AttemptAnswer{
      .request_id_ = in.request_id(),
      .attempt_ = in.attempt(),
      .result_ =
          reader->EnumOf(in.result(), coordination::AttemptResult::kUnknown),
      .refusal_ = reader->EnumOf<state::RefusalReason>(in.refusal()),
      .answer_ = FromWire(in.answer(), reader),
      .load_ = FromWire(in.load(), reader),
      .target_ = in.target(),
      .guard_time_ = reader->MillisOf(in.guard_time()),
      .run_time_ = reader->MillisOf(in.run_time())};
}

PeerMessage ReadCancel(const wire::Envelope& envelope, WireReader*) {
  const wire::Cancel& in = envelope.cancel();
  return coordination::Cancel{.request_id_ = in.request_id(),
                              .attempt_ = in.attempt()};
}

PeerMessage ReadProbe(const wire::Envelope& envelope, WireReader*) {
  return coordination::Probe{.probe_id_ = envelope.probe().probe_id()};
}

PeerMessage ReadProbeReply(const wire::Envelope& envelope, WireReader* reader) {
  const wire::ProbeReply& in = envelope.probe_reply();
  return coordination::ProbeReply{.probe_id_ = in.probe_id(),
                                  .target_ = in.target(),
                                  .load_ = FromWire(in.load(), reader)};
}

PeerMessage ReadLoadNotice(const wire::Envelope& envelope, WireReader* reader) {
  const wire::LoadNotice& in = envelope.load_notice();
  return coordination::LoadNotice{.target_ = in.target(),
                                  .load_ = FromWire(in.load(), reader)};
}

PeerMessage ReadResumeAttempt(const wire::Envelope& envelope, WireReader*) {
  const wire::ResumeAttempt& in = envelope.resume_attempt();
  return coordination::ResumeAttempt{.request_id_ = in.request_id(),
                                     .attempt_ = in.attempt(),
                                     .incarnation_ = in.incarnation()};
}

}  // namespace gooseberrygap::protocol
