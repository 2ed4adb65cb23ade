#include <utility>

#include "protocol/internal/message_wire.h"

namespace gooseberrygap::protocol {

namespace {

using coordination::PeerMessage;

void RefusedToWire(const coordination::RefusedFingerprint& value,
                   wire::RefusedFingerprint* out) {
  out->set_fingerprint(value.fingerprint_);
  out->set_left(value.left_.value());
  out->set_convicted(value.convicted_);
}

template <class Repeated>
std::vector<coordination::RefusedFingerprint> RefusedFromWire(
    const Repeated& in,
    WireReader* reader) {
  std::vector<coordination::RefusedFingerprint> refused;
  refused.reserve(in.size());
  for (const wire::RefusedFingerprint& entry : in) {
    refused.push_back(coordination::RefusedFingerprint{
        .fingerprint_ = entry.fingerprint(),
        .left_ = reader->MillisOf(entry.left()),
        .convicted_ = entry.convicted()});
  }
  return refused;
}

}  // namespace

void Encoder::operator()(const coordination::LeaseRenew& message) const {
  wire::LeaseRenew* out = envelope_->mutable_lease_renew();
  out->set_instance(message.instance_);
  ToWire(message.record_, out->mutable_record());
  out->set_configuration_index(message.configuration_index_);
  out->set_wants_vouched(message.requires_confirmed_);
  out->set_membership_epoch(message.membership_epoch_);
  out->set_membership_version(message.membership_version_);
  for (const std::string& service : message.services_) {
    out->add_services(service);
  }
  for (const coordination::CrashReport& crash : message.crashes_) {
    ToWire(crash, out->add_crashes());
  }
  out->set_renewal(message.renewal_);
  out->set_requires_confirmed_keys(message.requires_confirmed_keys_);
  if (message.received_reply_.has_value()) {
    out->set_received_reply(*message.received_reply_);
  }
}

void Encoder::operator()(const coordination::LeaseReply& message) const {
  wire::LeaseReply* out = envelope_->mutable_lease_reply();
  out->set_control_instance(message.control_instance_);
  out->set_granted(message.granted_);
  out->set_known_incarnation(message.known_incarnation_);
  out->set_configuration_index(message.configuration_index_);
  out->set_configuration_vouched(message.configuration_confirmed_);
  out->set_delta_base_index(message.delta_base_index_);
  for (const std::string& service : message.removed_.services_) {
    out->add_removed_services(service);
  }
  for (const std::string& route : message.removed_.routes_) {
    out->add_removed_routes(route);
  }
  for (const std::string& tenant : message.removed_.tenants_) {
    out->add_removed_tenants(tenant);
  }
  if (message.configuration_ != nullptr) {
    ToWire(*message.configuration_, out->mutable_configuration());
  }
  out->set_membership_epoch(message.membership_epoch_);
  out->set_membership_version(message.membership_version_);
  out->set_membership_full(message.membership_full_);
  for (const state::TargetRecord& record : message.membership_) {
    ToWire(record, out->add_membership());
  }
  for (const auto& refused : message.refused_fingerprints_) {
    RefusedToWire(refused, out->add_refused_fingerprints());
  }
  out->set_knowledge_age(message.staleness_.value());
  out->set_leader_address(message.leader_address_);
  for (const coordination::ControlAddress& member : message.control_members_) {
    wire::ControlAddress* wire_member = out->add_control_members();
    wire_member->set_instance(member.instance_);
    wire_member->set_address(member.address_);
    wire_member->set_region(member.region_);
  }
  if (!message.withdrawal_.target_.empty()) {
    ToWire(message.withdrawal_, out->mutable_withdrawal());
  }
  if (!message.stored_withdrawal_.target_.empty()) {
    ToWire(message.stored_withdrawal_, out->mutable_stored_withdrawal());
  }
  out->set_renewal(message.renewal_);
  out->set_confirmed_index(message.confirmed_index_);
  out->set_confirmed_age(message.confirmed_age_.value());
  if (message.evacuations_.index_ > 0) {
    ToWire(message.evacuations_, out->mutable_evacuations());
  }
  for (const std::string& crash_id : message.stored_crashes_) {
    out->add_stored_crashes(crash_id);
  }
  out->set_number(message.number_);
  out->set_membership_base_version(message.membership_base_version_);
}

void Encoder::operator()(const coordination::MembershipSync& message) const {
  wire::MembershipSync* out = envelope_->mutable_membership_sync();
  out->set_instance(message.instance_);
  out->set_epoch(message.epoch_);
  out->set_from_version(message.from_version_);
  out->set_to_version(message.to_version_);
  for (const coordination::LeasedRecord& change : message.changes_) {
    wire::LeasedRecord* wire_change = out->add_changes();
    ToWire(change.record_, wire_change->mutable_record());
    wire_change->set_holder(change.holder_);
  }
  for (const auto& refused : message.refused_fingerprints_) {
    RefusedToWire(refused, out->add_refused_fingerprints());
  }
  for (const coordination::CrashReport& crash : message.crashes_) {
    ToWire(crash, out->add_crashes());
  }
}

void Encoder::operator()(const coordination::MembershipSyncAck& message) const {
  wire::MembershipSyncAck* out = envelope_->mutable_membership_sync_ack();
  out->set_instance(message.instance_);
  out->set_epoch(message.epoch_);
  out->set_version(message.version_);
}

std::shared_ptr<const state::Configuration> SharedConfiguration(
    const wire::Configuration& in,
    WireReader* reader) {
  return std::make_shared<const state::Configuration>(FromWire(in, reader));
}

PeerMessage ReadLeaseRenew(const wire::Envelope& envelope, WireReader* reader) {
  const wire::LeaseRenew& in = envelope.lease_renew();
  return coordination::LeaseRenew{
      .instance_ = in.instance(),
      .record_ = FromWire(in.record(), reader),
      .configuration_index_ = in.configuration_index(),
      .requires_confirmed_ = in.wants_vouched(),
      .membership_epoch_ = in.membership_epoch(),
      .membership_version_ = in.membership_version(),
      .services_ = {in.services().begin(), in.services().end()},
      .crashes_ = CrashesFromWire(in.crashes()),
      .renewal_ = in.renewal(),
      .requires_confirmed_keys_ = in.requires_confirmed_keys(),
      .received_reply_ = in.has_received_reply()
                             ? std::optional(in.received_reply())
                             : std::nullopt};
}

PeerMessage ReadLeaseReply(const wire::Envelope& envelope, WireReader* reader) {
  const wire::LeaseReply& in = envelope.lease_reply();
  std::vector<state::TargetRecord> membership;
  membership.reserve(in.membership_size());
  for (const wire::TargetRecord& record : in.membership()) {
    membership.push_back(FromWire(record, reader));
  }
  std::vector<coordination::ControlAddress> control_members;
  control_members.reserve(in.control_members_size());
  for (const wire::ControlAddress& member : in.control_members()) {
    control_members.push_back(
        coordination::ControlAddress{.instance_ = member.instance(),
                                     .address_ = member.address(),
                                     .region_ = member.region()});
  }
  return coordination::LeaseReply{
      .control_instance_ = in.control_instance(),
      .granted_ = in.granted(),
      .known_incarnation_ = in.known_incarnation(),
      .configuration_index_ = in.configuration_index(),
      .configuration_confirmed_ = in.configuration_vouched(),
      .delta_base_index_ = in.delta_base_index(),
      .removed_ =
          state::RemovedItems{.services_ = {in.removed_services().begin(),
                                            in.removed_services().end()},
                              .routes_ = {in.removed_routes().begin(),
                                          in.removed_routes().end()},
                              .tenants_ = {in.removed_tenants().begin(),
                                           in.removed_tenants().end()}},
      .configuration_ = in.has_configuration()
                            ? SharedConfiguration(in.configuration(), reader)
                            : nullptr,
      .membership_epoch_ = in.membership_epoch(),
      .membership_version_ = in.membership_version(),
      .membership_base_version_ = in.membership_base_version(),
      .membership_full_ = in.membership_full(),
      .membership_ = membership,
      .refused_fingerprints_ =
          RefusedFromWire(in.refused_fingerprints(), reader),
      .staleness_ = reader->MillisOf(in.knowledge_age()),
      .leader_address_ = in.leader_address(),
      .control_members_ = std::move(control_members),
      .withdrawal_ = FromWire(in.withdrawal(), reader),
      .stored_withdrawal_ = FromWire(in.stored_withdrawal(), reader),
      .renewal_ = in.renewal(),
      .confirmed_index_ = in.confirmed_index(),
      .confirmed_age_ = reader->MillisOf(in.confirmed_age()),
      .evacuations_ = FromWire(in.evacuations(), reader),
      .stored_crashes_ = {in.stored_crashes().begin(),
                          in.stored_crashes().end()},
      .number_ = in.number()};
}

PeerMessage ReadMembershipSync(const wire::Envelope& envelope,
                               WireReader* reader) {
  const wire::MembershipSync& in = envelope.membership_sync();
  std::vector<coordination::LeasedRecord> changes;
  changes.reserve(in.changes_size());
  for (const wire::LeasedRecord& change : in.changes()) {
    changes.push_back(
        coordination::LeasedRecord{.record_ = FromWire(change.record(), reader),
                                   .holder_ = change.holder()});
  }
  return coordination::MembershipSync{
      .instance_ = in.instance(),
      .epoch_ = in.epoch(),
      .from_version_ = in.from_version(),
      .to_version_ = in.to_version(),
      .changes_ = changes,
      .refused_fingerprints_ =
          RefusedFromWire(in.refused_fingerprints(), reader),
      .crashes_ = CrashesFromWire(in.crashes())};
}

PeerMessage ReadMembershipSyncAck(const wire::Envelope& envelope, WireReader*) {
  const wire::MembershipSyncAck& in = envelope.membership_sync_ack();
  return coordination::MembershipSyncAck{.instance_ = in.instance(),
                                         .epoch_ = in.epoch(),
                                         .version_ = in.version()};
}

}  // namespace gooseberrygap::protocol
