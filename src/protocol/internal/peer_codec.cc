#include <memory>

#include "protocol/internal/body_transfer_wire.h"
#include "protocol/internal/large_body.h"
#include "protocol/internal/message_wire.h"
#include "protocol/protocol.h"

namespace gooseberrygap::protocol {

namespace {

using coordination::PeerMessage;

struct DecoderRow {
  const wire::Envelope::MessageCase kind_;
  PeerMessage (*const read_)(const wire::Envelope&, WireReader*);
};

constexpr DecoderRow kDecoders[] = {
    {wire::Envelope::kAttempt, ReadAttempt},
    {wire::Envelope::kAttemptAnswer, ReadAttemptAnswer},
    {wire::Envelope::kCancel, ReadCancel},
    {wire::Envelope::kProbe, ReadProbe},
    {wire::Envelope::kProbeReply, ReadProbeReply},
    {wire::Envelope::kLeaseRenew, ReadLeaseRenew},
    {wire::Envelope::kLeaseReply, ReadLeaseReply},
    {wire::Envelope::kRegisterCall, ReadRegisterCall},
    {wire::Envelope::kRegisterReply, ReadRegisterReply},
    {wire::Envelope::kMembershipSync, ReadMembershipSync},
    {wire::Envelope::kMembershipSyncAck, ReadMembershipSyncAck},
    {wire::Envelope::kConfigSubmit, ReadConfigSubmit},
    {wire::Envelope::kConfigSubmitReply, ReadConfigSubmitReply},
    {wire::Envelope::kVoteRequest, ReadVoteRequest},
    {wire::Envelope::kVoteReply, ReadVoteReply},
    {wire::Envelope::kAppendRequest, ReadAppendRequest},
    {wire::Envelope::kAppendReply, ReadAppendReply},
    {wire::Envelope::kInstallSnapshot, ReadInstallSnapshot},
    {wire::Envelope::kReadIndexRequest, ReadReadIndexRequest},
    {wire::Envelope::kReadIndexReply, ReadReadIndexReply},
    {wire::Envelope::kJoinRequest, ReadJoinRequest},
    {wire::Envelope::kLeaveRequest, ReadLeaveRequest},
    {wire::Envelope::kLeaveReply, ReadLeaveReply},
    {wire::Envelope::kWithdrawalSubmit, ReadWithdrawalSubmit},
    {wire::Envelope::kCrashSubmit, ReadCrashSubmit},
    {wire::Envelope::kLoadNotice, ReadLoadNotice},
    {wire::Envelope::kResumeAttempt, ReadResumeAttempt},
    {wire::Envelope::kEvacuationSubmit, ReadEvacuationSubmit},
    {wire::Envelope::kEvacuationReply, ReadEvacuationReply},
    {wire::Envelope::kQuotaReport, ReadQuotaReport},
    {wire::Envelope::kQuotaGrant, ReadQuotaGrant},
};

// Moves the body of an attempt or an answer to the reader.
void MoveBody(wire::Envelope* envelope,
              const MakeBody& make_body,
              WireReader* reader) {
  if (envelope->has_attempt()) {
    std::string body = std::move(
        *envelope->mutable_attempt()->mutable_request()->mutable_body());
    reader->SetBody(make_body ? make_body(std::move(body))
                              : state::Bytes(std::move(body)));
  } else if (envelope->has_attempt_answer()) {
    reader->SetBody(state::Bytes(std::move(*envelope->mutable_attempt_answer()
                                                ->mutable_answer()
                                                ->mutable_body())));
  }
}

state::Error Malformed(absl::string_view what) {
  return state::MakeError(state::ErrorKind::kMalformedMessage, what);
}

state::Result<wire::Envelope> ParseEnvelope(absl::string_view bytes) {
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Malformed("The peer message is not a whole envelope");
  }
  if (envelope.magic() != kMagic) {
    return Malformed("The peer message is not of this protocol");
  }
  return envelope;
}

// Precondition: a body that is to be used instead of the field is set in
// `reader`.
state::Result<PeerMessage> ReadMessage(const wire::Envelope& envelope,
                                       WireReader* reader) {
  for (const DecoderRow& row : kDecoders) {
    if (row.kind_ != envelope.message_case()) {
      continue;
    }
    PeerMessage message = row.read_(envelope, reader);
    if (!reader->valid()) {
      return Malformed("The peer message has a field that is out of range");
    }
    return message;
  }
  return Malformed("The peer message is of no known kind");
}

}  // namespace

std::string EncodePeerMessage(const coordination::PeerMessage& message) {
  const std::optional<LargeBody> large = LargeBodyOf(message);
  wire::Envelope envelope;
  std::visit(
      Encoder{.envelope_ = &envelope, .leaves_out_body_ = large.has_value()},
      message);
  if (!large.has_value()) {
    envelope.set_magic(kMagic);
    return WithOffersMark(envelope);
  }
  std::string bytes =
      WithOffersMark(envelope, large->content_.size() + kLargeBodyOverhead);
  AppendLargeBody(*large, &bytes);
  // Behind the body, so that a message that is cut off before it is refused.
  wire::Envelope end;
  end.set_magic(kMagic);
  end.AppendToString(&bytes);
  return bytes;
}

std::string EncodeWithoutBody(const coordination::PeerMessage& message) {
  wire::Envelope envelope;
  std::visit(Encoder{.envelope_ = &envelope, .leaves_out_body_ = true},
             message);
  envelope.set_magic(kMagic);
  return envelope.SerializeAsString();
}

state::Result<coordination::PeerMessage> DecodeWithBody(
    absl::string_view encoding,
    const state::Bytes& body,
    state::Millis waited) {
  BOOST_OUTCOME_TRY(envelope, ParseEnvelope(encoding));
  if (!envelope.has_attempt() && !envelope.has_attempt_answer()) {
    return Malformed("The peer message is of a kind without a body");
  }
  if (envelope.has_attempt()) {
    ReduceTimesLeft(waited, envelope.mutable_attempt());
  }
  WireReader reader;
  reader.SetBody(body);
  return ReadMessage(envelope, &reader);
}

state::Result<PeerFrame> DecodePeerFrame(absl::string_view bytes,
                                         const MakeBody& make_body) {
  BOOST_OUTCOME_TRY(envelope, ParseEnvelope(bytes));
  std::optional<TransferMessage> transfer = TransferFromWire(&envelope);
  if (transfer.has_value()) {
    return PeerFrame{.content_ = *std::move(transfer),
                     .accepts_offers_ = envelope.accepts_offers()};
  }
  WireReader reader;
  MoveBody(&envelope, make_body, &reader);
  BOOST_OUTCOME_TRY(message, ReadMessage(envelope, &reader));
  return PeerFrame{.content_ = std::move(message),
                   .accepts_offers_ = envelope.accepts_offers()};
}

state::Result<coordination::PeerMessage> DecodePeerMessage(
    absl::string_view bytes,
    const MakeBody& make_body) {
  BOOST_OUTCOME_TRY(envelope, ParseEnvelope(bytes));
  WireReader reader;
  MoveBody(&envelope, make_body, &reader);
  return ReadMessage(envelope, &reader);
}

}  // namespace gooseberrygap::protocol
