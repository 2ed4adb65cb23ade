#include "transport/internal/outgoing_bodies.h"

#include <algorithm>
#include <utility>

namespace gooseberrygap::transport {

uint64_t OutgoingBodies::Begin(OutgoingBody body) {
  const uint64_t number = next_number_++;
  const TransferId id{.link_ = body.link_, .number_ = number};
  transfers_.emplace(
      id,
      Transfer{.body_ = std::make_shared<const OutgoingBody>(std::move(body))});
  return number;
}

void OutgoingBodies::OnCredit(const TransferLink& link,
                              const protocol::BodyCredit& credit,
                              state::Millis now) {
  const auto found =
      transfers_.find(TransferId{.link_ = link, .number_ = credit.transfer_});
  if (found == transfers_.end()) {
    return;
  }
  if (credit.refused_) {
    transfers_.erase(found);
    return;
  }
  Transfer& transfer = found->second;
  const size_t size = transfer.body_->body_.size();
  const size_t offset = std::min<uint64_t>(credit.offset_, size);
  transfer.credit_ = std::max(transfer.credit_, offset);
  transfer.heard_at_ = now;
}

std::vector<TransferId> OutgoingBodies::Sendable() const {
  std::vector<TransferId> ids;
  for (const auto& [id, transfer] : transfers_) {
    if (transfer.sent_ < transfer.credit_) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::optional<protocol::BodyChunk> OutgoingBodies::NextChunk(
    const TransferId& id,
    state::Millis now) const {
  const auto found = transfers_.find(id);
  if (found == transfers_.end()) {
    return std::nullopt;
  }
  const Transfer& transfer = found->second;
  if (transfer.sent_ >= transfer.credit_ || IsTooLate(transfer, now)) {
    return std::nullopt;
  }
  const size_t size =
      std::min(kTransferChunkBytes, transfer.credit_ - transfer.sent_);
  return protocol::BodyChunk{
      .transfer_ = id.number_,
      .offset_ = transfer.sent_,
      .content_ = std::string(
          transfer.body_->body_.view().substr(transfer.sent_, size))};
}

void OutgoingBodies::OnSent(const TransferId& id) {
  const auto found = transfers_.find(id);
  if (found == transfers_.end()) {
    return;
  }
  Transfer& transfer = found->second;
  transfer.sent_ +=
      std::min(kTransferChunkBytes, transfer.credit_ - transfer.sent_);
  if (transfer.sent_ == transfer.body_->body_.size()) {
    transfers_.erase(found);
  }
}

bool OutgoingBodies::Has(const TransferOwner& owner) const {
  return std::any_of(transfers_.begin(), transfers_.end(),
                     [&owner](const auto& entry) {
                       return entry.second.body_->owner_.IsSameAs(owner);
                     });
}

std::shared_ptr<const OutgoingBody> OutgoingBodies::End(const TransferId& id) {
  const auto found = transfers_.find(id);
  if (found == transfers_.end()) {
    return nullptr;
  }
  std::shared_ptr<const OutgoingBody> body = found->second.body_;
  transfers_.erase(found);
  return body;
}

OutgoingBodies::Ended OutgoingBodies::EndOf(const TransferOwner& owner) {
  return EndIf([&](const TransferId&, const Transfer& transfer) {
    return transfer.body_->owner_.IsSameAs(owner);
  });
}

OutgoingBodies::Ended OutgoingBodies::EndOn(const TransferLink& link) {
  return EndIf(
      [&](const TransferId& id, const Transfer&) { return id.link_ == link; });
}

OutgoingBodies::Ended OutgoingBodies::EndUnanswered(const TransferLink& link) {
  return EndIf([&](const TransferId& id, const Transfer& transfer) {
    return id.link_ == link && !transfer.heard_at_.has_value();
  });
}

std::vector<OutgoingBodies::Failure> OutgoingBodies::Expire(state::Millis now) {
  std::vector<Failure> failures;
  for (auto next = transfers_.begin(); next != transfers_.end();) {
    const auto [id, transfer] = *next;
    const bool is_too_late = IsTooLate(transfer, now);
    if (!is_too_late && !IsExpired(transfer, now)) {
      ++next;
      continue;
    }
    failures.push_back(
        Failure{.id_ = id,
                .body_ = transfer.body_,
                .end_ = is_too_late ? End::kTooLateToSend : End::kExpired});
    next = transfers_.erase(next);
  }
  return failures;
}

OutgoingBodies::Ended OutgoingBodies::EndIf(
    const std::function<bool(const TransferId&, const Transfer&)>& matches) {
  Ended ended;
  for (auto next = transfers_.begin(); next != transfers_.end();) {
    if (!matches(next->first, next->second)) {
      ++next;
      continue;
    }
    ended.push_back(next->second.body_);
    next = transfers_.erase(next);
  }
  return ended;
}

bool OutgoingBodies::IsTooLate(const Transfer& transfer, state::Millis now) {
  const std::optional<state::Millis>& before = transfer.body_->send_before_;
  return before.has_value() && now >= *before;
}

bool OutgoingBodies::IsExpired(const Transfer& transfer, state::Millis now) {
  return now >= transfer.body_->expires_at_ ||
         (transfer.heard_at_.has_value() &&
          now - *transfer.heard_at_ >= kCreditStall);
}

}  // namespace gooseberrygap::transport
