#include "protocol/internal/wire_values.h"

#include <cmath>

namespace gooseberrygap::protocol {

namespace {

template <class Wire>
void HeadersToWire(const std::vector<state::HttpHeader>& headers, Wire* out) {
  for (const state::HttpHeader& header : headers) {
    wire::HttpHeader* wire_header = out->add_headers();
    wire_header->set_name(header.name_);
    wire_header->set_value(header.value_);
  }
}

template <class Wire>
std::vector<state::HttpHeader> HeadersFromWire(const Wire& in) {
  std::vector<state::HttpHeader> headers;
  headers.reserve(in.headers_size());
  for (const wire::HttpHeader& header : in.headers()) {
    headers.push_back(
        state::HttpHeader{.name_ = header.name(), .value_ = header.value()});
  }
  return headers;
}

void MembersToWire(
    const std::vector<state::ControlMember>& members,
    google::protobuf::RepeatedPtrField<wire::ControlMember>* out) {
  for (const state::ControlMember& member : members) {
    wire::ControlMember* wire_member = out->Add();
    wire_member->set_identity(member.identity_);
    wire_member->set_instance(member.instance_);
    wire_member->set_address(member.address_);
    wire_member->set_voter(member.voter_);
    wire_member->set_leaving(member.leaving_);
  }
}

std::vector<state::ControlMember> MembersFromWire(
    const google::protobuf::RepeatedPtrField<wire::ControlMember>& in) {
  std::vector<state::ControlMember> members;
  members.reserve(in.size());
  for (const wire::ControlMember& member : in) {
    members.push_back(state::ControlMember{.identity_ = member.identity(),
                                           .instance_ = member.instance(),
                                           .address_ = member.address(),
                                           .voter_ = member.voter(),
                                           .leaving_ = member.leaving()});
  }
  return members;
}

}  // namespace

state::Millis WireReader::MillisOf(double value) {
  if (!std::isfinite(value)) {
    valid_ = false;
    return state::Millis();
  }
  return state::Millis(value);
}

void HeadToWire(const state::HttpRequest& value, wire::HttpRequest* out) {
  out->set_method(value.method_);
  out->set_path(value.path_);
  HeadersToWire(value.headers_, out);
}

void HeadToWire(const state::HttpAnswer& value, wire::HttpAnswer* out) {
  out->set_status(value.status_);
  HeadersToWire(value.headers_, out);
}

void ToWire(const state::HttpRequest& value, wire::HttpRequest* out) {
  HeadToWire(value, out);
  out->set_body(value.body_.view().data(), value.body_.size());
}

void ToWire(const state::HttpAnswer& value, wire::HttpAnswer* out) {
  HeadToWire(value, out);
  out->set_body(value.body_.view().data(), value.body_.size());
}

void ToWire(const state::GuardLoad& value, wire::GuardLoad* out) {
  out->set_in_flight(value.in_flight_);
  out->set_queued(value.queued_);
  out->set_slots(value.slots_);
  out->set_latency(static_cast<float>(value.latency_.value()));
  out->set_state(static_cast<uint32_t>(value.state_));
  out->set_pace(value.service_time_percent_);
  out->set_service_time(static_cast<float>(value.service_time_.value()));
  out->set_admissions_per_second(
      static_cast<float>(value.admissions_per_second_));
}

void ToWire(const state::CrashReport& value, wire::CrashReport* out) {
  out->set_fingerprint(value.fingerprint_);
  out->set_crash_id(value.crash_id_);
  out->set_alone(value.alone_);
}

void ToWire(const state::TargetWithdrawal& value, wire::TargetWithdrawal* out) {
  out->set_target(value.target_);
  out->set_incarnation(value.incarnation_);
  out->set_sequence(value.sequence_);
  out->set_state(static_cast<uint32_t>(value.state_));
}

void ToWire(const state::TargetRecord& value, wire::TargetRecord* out) {
  out->set_target(value.target_);
  out->set_service(value.service_);
  out->set_instance(value.instance_);
  out->set_guard_address(value.guard_address_);
  out->set_region(value.region_);
  out->set_failure_domain(value.failure_domain_);
  out->set_slots(value.slots_);
  out->set_state(static_cast<uint32_t>(value.state_));
  out->set_incarnation(value.version_.incarnation_);
  out->set_sequence(value.version_.sequence_);
  if (!value.withdrawal_.target_.empty()) {
    ToWire(value.withdrawal_, out->mutable_withdrawal());
  }
}

void ToWire(const state::RegisterCommand& value, wire::RegisterCommand* out) {
  out->set_operation(static_cast<uint32_t>(value.operation_));
  out->set_key(value.key_);
  out->set_attempt(value.attempt_);
  out->set_digest(value.digest_);
  out->set_guard(value.guard_);
  out->set_incarnation(value.incarnation_);
  out->set_nonce(value.nonce_);
  out->set_request_id(value.request_id_);
  ToWire(value.answer_, out->mutable_answer());
}

void ToWire(const state::RegisterResult& value, wire::RegisterResult* out) {
  out->set_granted(value.granted_);
  out->set_refusal(static_cast<uint32_t>(value.refusal_));
  out->set_state(static_cast<uint32_t>(value.state_));
  out->set_attempt(value.attempt_);
  ToWire(value.answer_, out->mutable_answer());
}

void ToWire(const state::Evacuations& value, wire::Evacuations* out) {
  out->set_index(value.index_);
  for (const state::EvacuationState& domain : value.domains_) {
    wire::EvacuationState* wire_domain = out->add_domains();
    wire_domain->set_failure_domain(domain.failure_domain_);
    wire_domain->set_evacuated(domain.evacuated_);
    wire_domain->set_index(domain.index_);
  }
}

void ToWire(const state::EvacuationOrder& value, wire::EvacuationOrder* out) {
  out->set_failure_domain(value.failure_domain_);
  out->set_evacuates(value.evacuates_);
  out->set_known_index(value.known_index_);
}

void ToWire(const state::LogEntry& value, wire::LogEntry* out) {
  out->set_index(value.index_);
  out->set_term(value.term_);
  out->set_kind(static_cast<uint32_t>(value.kind_));
  out->set_payload(value.payload_.ToString());
  MembersToWire(value.members_, out->mutable_members());
}

void ToWire(const state::LogSnapshot& value, wire::LogSnapshot* out) {
  out->set_index(value.index_);
  out->set_term(value.term_);
  MembersToWire(value.members_, out->mutable_members());
  out->set_content(value.content_.ToString());
}

state::HttpRequest FromWire(const wire::HttpRequest& in, WireReader* reader) {
  return state::HttpRequest{.method_ = in.method(),
                            .path_ = in.path(),
                            .headers_ = HeadersFromWire(in),
                            .body_ = reader->BodyOf(in.body())};
}

state::HttpAnswer FromWire(const wire::HttpAnswer& in, WireReader* reader) {
  return state::HttpAnswer{.status_ = in.status(),
                           .headers_ = HeadersFromWire(in),
                           .body_ = reader->BodyOf(in.body())};
}

state::GuardLoad FromWire(const wire::GuardLoad& in, WireReader* reader) {
  return state::GuardLoad{
      .in_flight_ = in.in_flight(),
      .queued_ = in.queued(),
      .slots_ = in.slots(),
      .latency_ = reader->MillisOf(in.latency()),
      .state_ = reader->EnumOf(in.state(), state::TargetState::kLeft),
      .service_time_percent_ = in.pace(),
      .service_time_ = reader->MillisOf(in.service_time()),
      .admissions_per_second_ = in.admissions_per_second()};
}

state::CrashReport FromWire(const wire::CrashReport& in) {
  return state::CrashReport{.fingerprint_ = in.fingerprint(),
                            .crash_id_ = in.crash_id(),
                            .alone_ = in.alone()};
}

std::vector<state::CrashReport> CrashesFromWire(
    const google::protobuf::RepeatedPtrField<wire::CrashReport>& in) {
  std::vector<state::CrashReport> crashes;
  crashes.reserve(in.size());
  for (const wire::CrashReport& crash : in) {
    crashes.push_back(FromWire(crash));
  }
  return crashes;
}

state::TargetWithdrawal FromWire(const wire::TargetWithdrawal& in,
                                 WireReader* reader) {
  // A message without the field, as earlier builds send it, names no target.
  if (in.target().empty()) {
    return {};
  }
  return state::TargetWithdrawal{
      .target_ = in.target(),
      .incarnation_ = in.incarnation(),
      .sequence_ = in.sequence(),
      .state_ = reader->EnumOf(in.state(), state::TargetState::kLeft)};
}

state::TargetRecord FromWire(const wire::TargetRecord& in, WireReader* reader) {
  return state::TargetRecord{
      .target_ = in.target(),
      .service_ = in.service(),
      .instance_ = in.instance(),
      .guard_address_ = in.guard_address(),
      .region_ = in.region(),
      .failure_domain_ = in.failure_domain(),
      .slots_ = in.slots(),
      .state_ = reader->EnumOf(in.state(), state::TargetState::kLeft),
      .version_ = state::LeaseVersion{.incarnation_ = in.incarnation(),
                                      .sequence_ = in.sequence()},
      .withdrawal_ = FromWire(in.withdrawal(), reader)};
}

state::RegisterCommand FromWire(const wire::RegisterCommand& in,
                                WireReader* reader) {
  return state::RegisterCommand{
      .operation_ =
          reader->EnumOf(in.operation(), state::RegisterOperation::kAbandon),
      .key_ = in.key(),
      .attempt_ = in.attempt(),
      .digest_ = in.digest(),
      .guard_ = in.guard(),
      .incarnation_ = in.incarnation(),
      .nonce_ = in.nonce(),
      .request_id_ = in.request_id(),
      .answer_ = FromWire(in.answer(), reader)};
}

state::RegisterResult FromWire(const wire::RegisterResult& in,
                               WireReader* reader) {
  return state::RegisterResult{
      .granted_ = in.granted(),
      .refusal_ = reader->EnumOf<state::RefusalReason>(in.refusal()),
      .state_ = reader->EnumOf(in.state(), state::ActionState::kUnknown),
      .attempt_ = in.attempt(),
      .answer_ = FromWire(in.answer(), reader)};
}

state::Evacuations FromWire(const wire::Evacuations& in, WireReader*) {
  std::vector<state::EvacuationState> domains;
  domains.reserve(in.domains_size());
  for (const wire::EvacuationState& domain : in.domains()) {
    domains.push_back(
        state::EvacuationState{.failure_domain_ = domain.failure_domain(),
                               .evacuated_ = domain.evacuated(),
                               .index_ = domain.index()});
  }
  return state::Evacuations{.index_ = in.index(),
                            .domains_ = std::move(domains)};
}

state::EvacuationOrder FromWire(const wire::EvacuationOrder& in, WireReader*) {
  return state::EvacuationOrder{.failure_domain_ = in.failure_domain(),
                                .evacuates_ = in.evacuates(),
                                .known_index_ = in.known_index()};
}

state::LogEntry FromWire(const wire::LogEntry& in, WireReader* reader) {
  return state::LogEntry{
      .index_ = in.index(),
      .term_ = in.term(),
      .kind_ = reader->EnumOf(in.kind(), state::LogEntryKind::kMembers),
      .payload_ = state::Bytes(in.payload()),
      .members_ = MembersFromWire(in.members())};
}

state::LogSnapshot FromWire(const wire::LogSnapshot& in, WireReader*) {
  return state::LogSnapshot{.index_ = in.index(),
                            .term_ = in.term(),
                            .members_ = MembersFromWire(in.members()),
                            .content_ = state::Bytes(in.content())};
}

}  // namespace gooseberrygap::protocol
