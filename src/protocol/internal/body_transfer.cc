#include "protocol/api/body_transfer.h"

#include <algorithm>

#include "protocol/internal/body_transfer_wire.h"
#include "protocol/internal/wire_values.h"

namespace gooseberrygap::protocol {

namespace {

// One overload for each message: writes it into the envelope.
struct TransferEncoder {
  wire::Envelope* envelope_;

  void operator()(const BodyOffer& offer) const {
    wire::BodyOffer* out = envelope_->mutable_body_offer();
    out->set_transfer(offer.transfer_);
    out->set_size(offer.size_);
    out->set_message(offer.message_);
  }
  void operator()(const BodyCredit& credit) const {
    wire::BodyCredit* out = envelope_->mutable_body_credit();
    out->set_transfer(credit.transfer_);
    out->set_offset(credit.offset_);
    out->set_refused(credit.refused_);
  }
  void operator()(const BodyChunk& chunk) const {
    wire::BodyChunk* out = envelope_->mutable_body_chunk();
    out->set_transfer(chunk.transfer_);
    out->set_offset(chunk.offset_);
    out->set_content(chunk.content_);
  }
};

}  // namespace

std::string EncodeTransferMessage(const TransferMessage& message) {
  wire::Envelope envelope;
  envelope.set_magic(kMagic);
  std::visit(TransferEncoder{.envelope_ = &envelope}, message);
  return WithOffersMark(envelope);
}

std::string WithOffersMark(const wire::Envelope& envelope, size_t more) {
  wire::Envelope mark;
  mark.set_accepts_offers(true);
  std::string bytes;
  bytes.reserve(mark.ByteSizeLong() + envelope.ByteSizeLong() + more);
  mark.AppendToString(&bytes);
  envelope.AppendToString(&bytes);
  return bytes;
}

std::optional<TransferMessage> TransferFromWire(wire::Envelope* envelope) {
  if (envelope->has_body_offer()) {
    wire::BodyOffer* in = envelope->mutable_body_offer();
    return BodyOffer{.transfer_ = in->transfer(),
                     .size_ = in->size(),
                     .message_ = std::move(*in->mutable_message())};
  }
  if (envelope->has_body_credit()) {
    const wire::BodyCredit& in = envelope->body_credit();
    return BodyCredit{.transfer_ = in.transfer(),
                      .offset_ = in.offset(),
                      .refused_ = in.refused()};
  }
  if (envelope->has_body_chunk()) {
    wire::BodyChunk* in = envelope->mutable_body_chunk();
    return BodyChunk{.transfer_ = in->transfer(),
                     .offset_ = in->offset(),
                     .content_ = std::move(*in->mutable_content())};
  }
  return std::nullopt;
}

void ReduceTimesLeft(state::Millis waited, wire::Attempt* attempt) {
  const auto reduced = [&waited](double left) {
    return std::max(0.0, left - waited.value());
  };
  attempt->set_deadline_left(reduced(attempt->deadline_left()));
  attempt->set_objective_left(reduced(attempt->objective_left()));
  if (attempt->has_authorization_left()) {
    attempt->set_authorization_left(reduced(attempt->authorization_left()));
  }
}

}  // namespace gooseberrygap::protocol
