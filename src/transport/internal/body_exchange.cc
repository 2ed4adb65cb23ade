#include "transport/internal/body_exchange.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace gooseberrygap::transport {

namespace {

using coordination::Attempt;
using coordination::AttemptAnswer;
using coordination::Cancel;
using coordination::PeerMessage;
using coordination::ResumeAttempt;

// An answer that the ingress does not take within this time is of no use: no
// call waits for longer. Also for attempts that state no time.
constexpr state::Millis kNoDeadline(60000);

// The attempt that a message belongs to.
struct AttemptName {
  const std::string request_id_;
  const uint32_t attempt_;

  TransferOwner AsRequest() const {
    return {.request_id_ = request_id_, .attempt_ = attempt_};
  }
  TransferOwner AsAnswer() const {
    return {
        .request_id_ = request_id_, .attempt_ = attempt_, .is_answer_ = true};
  }
};

template <class Message>
AttemptName NameOf(const Message& message) {
  return {.request_id_ = message.request_id_, .attempt_ = message.attempt_};
}

TransferOwner OwnerOf(const PeerMessage& message) {
  if (const auto* attempt = std::get_if<Attempt>(&message)) {
    return {.request_id_ = attempt->request_id_,
            .attempt_ = attempt->attempt_,
            .target_ = attempt->target_};
  }
  const auto& answer = std::get<AttemptAnswer>(message);
  return {.request_id_ = answer.request_id_,
          .attempt_ = answer.attempt_,
          .target_ = answer.target_,
          .is_answer_ = true};
}

state::Bytes BodyOf(const PeerMessage& message) {
  if (const auto* attempt = std::get_if<Attempt>(&message)) {
    return attempt->request_.body_;
  }
  const auto* answer = std::get_if<AttemptAnswer>(&message);
  return answer == nullptr ? state::Bytes() : answer->answer_.body_;
}

state::Millis TimeLeft(const PeerMessage& message) {
  const auto* attempt = std::get_if<Attempt>(&message);
  return attempt != nullptr && attempt->deadline_left_ > state::Millis(0)
             ? attempt->deadline_left_
             : kNoDeadline;
}

AttemptAnswer RefusalOf(const TransferOwner& owner,
                        state::RefusalReason reason) {
  return {.request_id_ = owner.request_id_,
          .attempt_ = owner.attempt_,
          .result_ = coordination::AttemptResult::kRefused,
          .refusal_ = reason,
          .target_ = owner.target_};
}

}  // namespace

BodyExchange::BodyExchange(const IncomingBodies::Options& options,
                           const std::shared_ptr<ByteAccount>& account,
                           state::Counters* counters,
                           Port port)
    : counters_(counters),
      port_(std::move(port)),
      incoming_(options, account, counters) {}

bool BodyExchange::IsLarge(const PeerMessage& message) {
  return BodyOf(message).size() > kMaxInlineBodyBytes;
}

void BodyExchange::Offer(const TransferLink& link,
                         const PeerMessage& message,
                         const std::optional<state::Millis>& send_before,
                         state::Millis now) {
  const state::Bytes body = BodyOf(message);
  const uint64_t number =
      outgoing_.Begin(OutgoingBody{.link_ = link,
                                   .owner_ = OwnerOf(message),
                                   .message_ = message,
                                   .body_ = body,
                                   .send_before_ = send_before,
                                   .expires_at_ = now + TimeLeft(message)});
  counters_->Add(state::Counter::kBodyTransfersBegun);
  const bool is_sent = port_.send_transfer_(
      link,
      protocol::BodyOffer{.transfer_ = number,
                          .size_ = body.size(),
                          .message_ = protocol::EncodeWithoutBody(message)});
  if (!is_sent) {
    OnLinkFull(TransferId{.link_ = link, .number_ = number});
  }
}

void BodyExchange::OnLinkFull(const TransferId& id) {
  const auto body = outgoing_.End(id);
  if (body != nullptr) {
    counters_->Add(state::Counter::kBodyTransfersAbandoned);
    DeliverRefusal(*body, state::RefusalReason::kLinkLost);
  }
}

bool BodyExchange::OnSending(const PeerMessage& message) {
  if (const auto* cancel = std::get_if<Cancel>(&message)) {
    outgoing_.EndOf(NameOf(*cancel).AsRequest());
    incoming_.EndOf(NameOf(*cancel).AsAnswer());
  }
  const auto* resume = std::get_if<ResumeAttempt>(&message);
  return resume == nullptr || !outgoing_.Has(NameOf(*resume).AsRequest());
}

void BodyExchange::OnTransfer(const TransferLink& link,
                              protocol::TransferMessage message,
                              state::Millis now) {
  if (const auto* offer = std::get_if<protocol::BodyOffer>(&message)) {
    HandleOffer(link, *offer, now);
  } else if (const auto* chunk = std::get_if<protocol::BodyChunk>(&message)) {
    Apply(incoming_.OnChunk(link, *chunk, now), now);
  } else {
    outgoing_.OnCredit(link, std::get<protocol::BodyCredit>(message), now);
  }
}

void BodyExchange::HandleOffer(const TransferLink& link,
                               const protocol::BodyOffer& offer,
                               state::Millis now) {
  // Decoded again when the body is complete: the encoding takes least memory.
  const state::Result<PeerMessage> message = protocol::DecodeWithBody(
      offer.message_, state::Bytes(), state::Millis(0));
  if (!message || offer.transfer_ == 0 || offer.size_ == 0) {
    counters_->Add(state::Counter::kPeerMessagesMalformed);
    return;
  }
  Apply(incoming_.OnOffer(
            IncomingOffer{.id_ = {.link_ = link, .number_ = offer.transfer_},
                          .owner_ = OwnerOf(message.value()),
                          .size_ = offer.size_,
                          .head_ = offer.message_,
                          .expires_at_ = now + TimeLeft(message.value())},
            now),
        now);
}

void BodyExchange::Apply(IncomingBodies::Step step, state::Millis now) {
  for (const IncomingBodies::Credit& credit : step.credits_) {
    if (!port_.send_transfer_(credit.link_, credit.credit_)) {
      // The sender is gone.
      incoming_.End(
          {.link_ = credit.link_, .number_ = credit.credit_.transfer_});
    }
  }
  for (const IncomingBodies::Refusal& refusal : step.refusals_) {
    Refuse(refusal);
  }
  for (IncomingBodies::Whole& whole : step.whole_) {
    const bool is_answer = whole.offer_.owner_.is_answer_;
    const state::Bytes body =
        is_answer
            ? state::Bytes(std::move(whole.content_))
            : ChargedBytes(std::move(whole.content_), std::move(whole.charge_));
    state::Result<PeerMessage> message = protocol::DecodeWithBody(
        whole.offer_.head_, body, now - whole.offered_at_);
    if (message) {
      port_.deliver_(whole.offer_.id_.link_, std::move(message).value());
    }
  }
}

void BodyExchange::Refuse(const IncomingBodies::Refusal& refusal) {
  if (refusal.owner_.is_answer_) {
    port_.send_transfer_(refusal.id_.link_,
                         protocol::BodyCredit{.transfer_ = refusal.id_.number_,
                                              .refused_ = true});
    // The request has run, and nothing else will tell its call.
    port_.deliver_(
        refusal.id_.link_,
        AttemptAnswer{.request_id_ = refusal.owner_.request_id_,
                      .attempt_ = refusal.owner_.attempt_,
                      .result_ = coordination::AttemptResult::kUnknown,
                      .refusal_ = refusal.reason_,
                      .target_ = refusal.owner_.target_});
    return;
  }
  counters_->Add(refusal.reason_);
  port_.send_(refusal.id_.link_, RefusalOf(refusal.owner_, refusal.reason_));
}

bool BodyExchange::OnReceived(const TransferLink& link,
                              const PeerMessage& message,
                              state::Millis now) {
  if (const auto* attempt = std::get_if<Attempt>(&message)) {
    // Sent whole after its offer, by a sender that took this build for an
    // older one.
    incoming_.EndOf(NameOf(*attempt).AsRequest());
  } else if (const auto* answer = std::get_if<AttemptAnswer>(&message)) {
    outgoing_.EndOf(NameOf(*answer).AsRequest());
    incoming_.EndOf(NameOf(*answer).AsAnswer());
  } else if (const auto* cancel = std::get_if<Cancel>(&message)) {
    incoming_.EndOf(NameOf(*cancel).AsRequest());
    outgoing_.EndOf(NameOf(*cancel).AsAnswer());
  } else if (const auto* resume = std::get_if<ResumeAttempt>(&message)) {
    // The link of the attempt has been replaced. The guard now refuses the
    // attempt if it has not got it, and sends its answer on the new link.
    incoming_.EndOf(NameOf(*resume).AsRequest());
    return !SendAgain(link, *resume, now);
  }
  return true;
}

bool BodyExchange::SendAgain(const TransferLink& link,
                             const ResumeAttempt& resume,
                             state::Millis now) {
  const OutgoingBodies::Ended ended =
      outgoing_.EndOf(NameOf(resume).AsAnswer());
  if (ended.empty()) {
    return false;
  }
  Offer(link, ended.front()->message_, std::nullopt, now);
  return true;
}

void BodyExchange::OnLinkClosed(const TransferLink& link) {
  incoming_.EndOn(link);
  for (const auto& body : outgoing_.EndOn(link)) {
    counters_->Add(state::Counter::kBodyTransfersAbandoned);
    DeliverRefusal(*body, state::RefusalReason::kLinkLost);
  }
}

OutgoingBodies::Ended BodyExchange::TakeUnanswered(const TransferLink& link) {
  return outgoing_.EndUnanswered(link);
}

void BodyExchange::Advance(state::Millis now) {
  if (empty()) {
    return;
  }
  Apply(incoming_.Advance(now), now);
  EndFailed(now);
  SendChunks(now);
}

void BodyExchange::SendChunks(state::Millis now) {
  bool has_sent = true;
  while (has_sent) {
    has_sent = false;
    const std::vector<TransferId> ids = outgoing_.Sendable();
    // Goes on behind the transfer that sent last, so that none waits for as
    // long as its connection is full of the others.
    const size_t first =
        last_sent_.has_value()
            ? std::upper_bound(ids.begin(), ids.end(), *last_sent_) -
                  ids.begin()
            : 0;
    for (size_t i = 0; i < ids.size(); ++i) {
      const TransferId& id = ids[(first + i) % ids.size()];
      if (port_.takes_chunk_(id.link_) && SendChunk(id, now)) {
        last_sent_.emplace(id);
        has_sent = true;
      }
    }
  }
}

bool BodyExchange::SendChunk(const TransferId& id, state::Millis now) {
  const std::optional<protocol::BodyChunk> chunk = outgoing_.NextChunk(id, now);
  if (!chunk.has_value() || !port_.send_transfer_(id.link_, *chunk)) {
    return false;
  }
  outgoing_.OnSent(id);
  return true;
}

void BodyExchange::EndFailed(state::Millis now) {
  for (const OutgoingBodies::Failure& failure : outgoing_.Expire(now)) {
    const OutgoingBody& body = *failure.body_;
    counters_->Add(state::Counter::kBodyTransfersAbandoned);
    if (body.owner_.is_answer_) {
      continue;
    }
    // Ends the transfer at the receiver.
    port_.send_(body.link_, Cancel{.request_id_ = body.owner_.request_id_,
                                   .attempt_ = body.owner_.attempt_});
    DeliverRefusal(body, failure.end_ == OutgoingBodies::End::kTooLateToSend
                             ? state::RefusalReason::kAuthorizationExpired
                             : state::RefusalReason::kLinkLost);
  }
}

void BodyExchange::DeliverRefusal(const OutgoingBody& body,
                                  state::RefusalReason reason) {
  if (!body.owner_.is_answer_) {
    port_.deliver_(body.link_, RefusalOf(body.owner_, reason));
  }
}

}  // namespace gooseberrygap::transport
