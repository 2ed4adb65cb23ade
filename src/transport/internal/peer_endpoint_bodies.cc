#include <utility>

#include "protocol/protocol.h"
#include "transport/internal/peer_endpoint_impl.h"

namespace gooseberrygap::transport {

namespace {

// Of the probe that makes a peer of an unknown build send something.
constexpr uint64_t kBuildProbe = UINT64_MAX;

// How often a link on which parts of bodies come is reported.
constexpr state::Millis kActivityInterval(50);

// Returns whether the message is that probe or the reply to it. This build
// answers the offer instead of the probe.
bool IsBuildProbe(const coordination::PeerMessage& message) {
  const auto* probe = std::get_if<coordination::Probe>(&message);
  const auto* reply = std::get_if<coordination::ProbeReply>(&message);
  return (probe != nullptr && probe->probe_id_ == kBuildProbe) ||
         (reply != nullptr && reply->probe_id_ == kBuildProbe);
}

}  // namespace

void PeerEndpointImpl::SendTo(Link* link,
                              const coordination::SendToPeer& command) {
  const bool is_whole = !BodyExchange::IsLarge(command.message_) ||
                        link->accepts_offers_ == false;
  if (is_whole) {
    SendOn(link, {}, command.message_);
    return;
  }
  const bool is_unknown = !link->accepts_offers_.has_value();
  bodies_.Offer({.address_ = link->address_}, command.message_,
                command.send_before_, clock_.Now());
  if (is_unknown) {
    // An older build ignores the offer, but answers the probe.
    SendOn(link, {}, coordination::Probe{.probe_id_ = kBuildProbe});
  }
}

void PeerEndpointImpl::ReportActivity(Link* link) {
  const state::Millis now = clock_.Now();
  if (options_.on_activity_ && now - link->reported_at_ >= kActivityInterval) {
    link->reported_at_ = now;
    options_.on_activity_(link->address_);
  }
}

void PeerEndpointImpl::RefuseUnsent(const std::string& address,
                                    const coordination::Attempt& attempt,
                                    state::RefusalReason reason) {
  handler_({.address_ = address,
            .message_ = coordination::AttemptAnswer{
                .request_id_ = attempt.request_id_,
                .attempt_ = attempt.attempt_,
                .result_ = coordination::AttemptResult::kRefused,
                .refusal_ = reason,
                .target_ = attempt.target_}});
}

BodyExchange::Port PeerEndpointImpl::ExchangePort() {
  return {
      .send_transfer_ =
          [this](const TransferLink& to,
                 const protocol::TransferMessage& message) {
            Link* link = LinkOf(to);
            return link != nullptr &&
                   SendEncoded(link, FramesOf(to),
                               protocol::EncodeTransferMessage(message));
          },
      .takes_chunk_ =
          [this](const TransferLink& to) {
            Link* link = LinkOf(to);
            return link != nullptr && link->socket_.QueuedBytes(FramesOf(to)) <
                                          kMaxQueuedChunkBytes;
          },
      .send_ =
          [this](const TransferLink& to,
                 const coordination::PeerMessage& message) {
            Link* link = LinkOf(to);
            if (link != nullptr) {
              SendOn(link, FramesOf(to), message);
            }
          },
      .deliver_ =
          [this](const TransferLink& from, coordination::PeerMessage message) {
            Deliver(from, std::move(message));
          }};
}

PeerEndpointImpl::Link* PeerEndpointImpl::LinkOf(const TransferLink& link) {
  if (link.address_.empty()) {
    return router_;
  }
  const auto found = dealers_.find(link.address_);
  return found == dealers_.end() ? nullptr : found->second;
}

std::vector<absl::string_view> PeerEndpointImpl::FramesOf(
    const TransferLink& link) {
  return link.address_.empty()
             ? std::vector<absl::string_view>{link.connection_}
             : std::vector<absl::string_view>{};
}

void PeerEndpointImpl::Deliver(const TransferLink& from,
                               coordination::PeerMessage message) {
  Link* link = LinkOf(from);
  if (link != nullptr &&
      std::holds_alternative<coordination::AttemptAnswer>(message)) {
    link->OnAttemptEnded();
  }
  handler_({.connection_ = from.connection_.empty()
                               ? std::string()
                               : from.connection_ + kAcceptsOffers,
            .address_ = from.address_,
            .message_ = std::move(message)});
}

void PeerEndpointImpl::SendUnansweredWhole(Link* link) {
  for (const auto& body :
       bodies_.TakeUnanswered({.address_ = link->address_})) {
    const auto& attempt = std::get<coordination::Attempt>(body->message_);
    if (body->send_before_.has_value() && clock_.Now() >= *body->send_before_) {
      link->OnAttemptEnded();
      RefuseUnsent(link->address_, attempt,
                   state::RefusalReason::kAuthorizationExpired);
      continue;
    }
    SendOn(link, {}, body->message_);
  }
}

void PeerEndpointImpl::HandleMessage(Link* link,
                                     const std::string& connection,
                                     coordination::PeerMessage message,
                                     bool has_room) {
  if (IsBuildProbe(message)) {
    return;
  }
  // Without the mark of the build, which follows the routing id.
  const std::string routing_id(connection, 0,
                               connection.empty() ? 0 : connection.size() - 1);
  if (!bodies_.OnReceived(
          {.connection_ = routing_id, .address_ = link->address_}, message,
          clock_.Now())) {
    return;
  }
  if (std::holds_alternative<coordination::AttemptAnswer>(message)) {
    link->OnAttemptEnded();
  }
  const auto* attempt = std::get_if<coordination::Attempt>(&message);
  if (attempt != nullptr && !has_room) {
    counters_->Add(state::RefusalReason::kMemoryPressure);
    Execute(coordination::ReplyToPeer{
        .connection_ = connection,
        .message_ = coordination::AttemptAnswer{
            .request_id_ = attempt->request_id_,
            .attempt_ = attempt->attempt_,
            .result_ = coordination::AttemptResult::kRefused,
            .refusal_ = state::RefusalReason::kMemoryPressure,
            .target_ = attempt->target_}});
    return;
  }
  handler_({.connection_ = connection,
            .address_ = link->address_,
            .message_ = std::move(message)});
}

state::Result<protocol::PeerFrame> PeerEndpointImpl::Decode(
    const std::string& payload,
    bool* has_room) {
  return protocol::DecodePeerFrame(payload, [&](std::string body) {
    RequestCharge charge(options_.account_, HeldKind::kMessages,
                         HeldKind::kMessages);
    const size_t head = kHeadFactor * (payload.size() - body.size());
    const size_t cost = head + BodyCost(body.capacity());
    const ByteUse use = UseOf(cost);
    *has_room = charge.body_.TryResize(cost, use);
    return *has_room ? ChargedBytes(std::move(body), std::move(charge))
                     : state::Bytes();
  });
}

}  // namespace gooseberrygap::transport
