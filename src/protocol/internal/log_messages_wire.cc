#include "protocol/internal/message_wire.h"

namespace gooseberrygap::protocol {

namespace {

using coordination::PeerMessage;

template <class Message>
void RouteToWire(const Message& message, wire::LogRoute* out) {
  out->set_group(message.group_);
  out->set_from(message.from_);
  out->set_to(message.to_);
  out->set_term(message.term_);
}

// Messages of the log that carry no term.
template <class Message>
void RouteWithoutTermToWire(const Message& message, wire::LogRoute* out) {
  out->set_group(message.group_);
  out->set_from(message.from_);
  out->set_to(message.to_);
}

}  // namespace

void Encoder::operator()(const coordination::VoteRequest& message) const {
  wire::VoteRequest* out = envelope_->mutable_vote_request();
  RouteToWire(message, out->mutable_route());
  out->set_pre_vote(message.pre_vote_);
  out->set_last_index(message.last_index_);
  out->set_last_term(message.last_term_);
}

void Encoder::operator()(const coordination::VoteReply& message) const {
  wire::VoteReply* out = envelope_->mutable_vote_reply();
  RouteToWire(message, out->mutable_route());
  out->set_pre_vote(message.pre_vote_);
  out->set_granted(message.granted_);
}

void Encoder::operator()(const coordination::AppendRequest& message) const {
  wire::AppendRequest* out = envelope_->mutable_append_request();
  RouteToWire(message, out->mutable_route());
  out->set_previous_index(message.previous_index_);
  out->set_previous_term(message.previous_term_);
  out->set_commit_index(message.commit_index_);
  out->set_round(message.round_);
  for (const state::LogEntry& entry : message.entries_) {
    ToWire(entry, out->add_entries());
  }
  out->set_echoed_reply(message.echoed_reply_);
  out->set_echo_age_ms(message.echo_age_.value());
}

void Encoder::operator()(const coordination::AppendReply& message) const {
  wire::AppendReply* out = envelope_->mutable_append_reply();
  RouteToWire(message, out->mutable_route());
  out->set_success(message.success_);
  out->set_index(message.index_);
  out->set_round(message.round_);
  out->set_reply(message.reply_);
}

void Encoder::operator()(const coordination::InstallSnapshot& message) const {
  wire::InstallSnapshot* out = envelope_->mutable_install_snapshot();
  RouteToWire(message, out->mutable_route());
  out->set_round(message.round_);
  ToWire(message.snapshot_, out->mutable_snapshot());
}

void Encoder::operator()(const coordination::ReadIndexRequest& message) const {
  wire::ReadIndexRequest* out = envelope_->mutable_read_index_request();
  RouteWithoutTermToWire(message, out->mutable_route());
  out->set_read_id(message.read_id_);
}

void Encoder::operator()(const coordination::ReadIndexReply& message) const {
  wire::ReadIndexReply* out = envelope_->mutable_read_index_reply();
  RouteWithoutTermToWire(message, out->mutable_route());
  out->set_read_id(message.read_id_);
  out->set_confirmed(message.confirmed_);
  out->set_index(message.index_);
}

PeerMessage ReadVoteRequest(const wire::Envelope& envelope, WireReader*) {
  const wire::VoteRequest& in = envelope.vote_request();
  return coordination::VoteRequest{.group_ = in.route().group(),
                                   .from_ = in.route().from(),
                                   .to_ = in.route().to(),
                                   .term_ = in.route().term(),
                                   .pre_vote_ = in.pre_vote(),
                                   .last_index_ = in.last_index(),
                                   .last_term_ = in.last_term()};
}

PeerMessage ReadVoteReply(const wire::Envelope& envelope, WireReader*) {
  const wire::VoteReply& in = envelope.vote_reply();
  return coordination::VoteReply{.group_ = in.route().group(),
                                 .from_ = in.route().from(),
                                 .to_ = in.route().to(),
                                 .term_ = in.route().term(),
                                 .pre_vote_ = in.pre_vote(),
                                 .granted_ = in.granted()};
}

PeerMessage ReadAppendRequest(const wire::Envelope& envelope,
                              WireReader* reader) {
  const wire::AppendRequest& in = envelope.append_request();
  std::vector<state::LogEntry> entries;
  entries.reserve(in.entries_size());
  for (const wire::LogEntry& entry : in.entries()) {
    entries.push_back(FromWire(entry, reader));
  }
  return coordination::AppendRequest{
      .group_ = in.route().group(),
      .from_ = in.route().from(),
      .to_ = in.route().to(),
      .term_ = in.route().term(),
      .previous_index_ = in.previous_index(),
      .previous_term_ = in.previous_term(),
      .commit_index_ = in.commit_index(),
      .round_ = in.round(),
      .entries_ = entries,
      .echoed_reply_ = in.echoed_reply(),
      .echo_age_ = reader->MillisOf(in.echo_age_ms())};
}

PeerMessage ReadAppendReply(const wire::Envelope& envelope, WireReader*) {
  const wire::AppendReply& in = envelope.append_reply();
  return coordination::AppendReply{.group_ = in.route().group(),
                                   .from_ = in.route().from(),
                                   .to_ = in.route().to(),
                                   .term_ = in.route().term(),
                                   .success_ = in.success(),
                                   .index_ = in.index(),
                                   .round_ = in.round(),
                                   .reply_ = in.reply()};
}

PeerMessage ReadInstallSnapshot(const wire::Envelope& envelope,
                                WireReader* reader) {
  const wire::InstallSnapshot& in = envelope.install_snapshot();
  return coordination::InstallSnapshot{
      .group_ = in.route().group(),
      .from_ = in.route().from(),
      .to_ = in.route().to(),
      .term_ = in.route().term(),
      .round_ = in.round(),
      .snapshot_ = FromWire(in.snapshot(), reader)};
}

PeerMessage ReadReadIndexRequest(const wire::Envelope& envelope, WireReader*) {
  const wire::ReadIndexRequest& in = envelope.read_index_request();
  return coordination::ReadIndexRequest{.group_ = in.route().group(),
                                        .from_ = in.route().from(),
                                        .to_ = in.route().to(),
                                        .read_id_ = in.read_id()};
}

PeerMessage ReadReadIndexReply(const wire::Envelope& envelope, WireReader*) {
  const wire::ReadIndexReply& in = envelope.read_index_reply();
  return coordination::ReadIndexReply{.group_ = in.route().group(),
                                      .from_ = in.route().from(),
                                      .to_ = in.route().to(),
                                      .read_id_ = in.read_id(),
                                      .confirmed_ = in.confirmed(),
                                      .index_ = in.index()};
}

}  // namespace gooseberrygap::protocol
