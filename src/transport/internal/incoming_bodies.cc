#include "transport/internal/incoming_bodies.h"

#include <algorithm>
#include <utility>

namespace gooseberrygap::transport {

namespace {

// Credit is raised in steps of at least this size, so that there are fewer
// messages of credit than chunks.
constexpr size_t kCreditStepBytes = kTransferWindowBytes / 4;

// What a body costs until its last copy is gone: an attempt goes on to the
// target.
size_t CostOf(const IncomingOffer& offer) {
  return offer.owner_.is_answer_ ? offer.size_ : BodyCost(offer.size_);
}

}  // namespace

IncomingBodies::IncomingBodies(const Options& options,
                               std::shared_ptr<ByteAccount> account,
                               state::Counters* counters)
    : options_(options), account_(std::move(account)), counters_(counters) {}

IncomingBodies::Step IncomingBodies::OnOffer(IncomingOffer offer,
                                             state::Millis now) {
  Step step;
  if (transfers_.contains(offer.id_)) {
    return step;
  }
  auto transfer = std::make_unique<Transfer>(std::move(offer), now, account_);
  const state::RefusalReason reason = Check(transfer.get());
  if (reason != state::RefusalReason::kNone) {
    counters_->Add(state::Counter::kBodyTransfersRefused);
    step.refusals_.push_back(Refusal{.id_ = transfer->offer_.id_,
                                     .owner_ = transfer->offer_.owner_,
                                     .reason_ = reason});
    return step;
  }
  transfer->order_ = next_order_++;
  const bool is_answer = transfer->offer_.owner_.is_answer_;
  auto& waiting = is_answer ? waiting_answers_ : waiting_attempts_;
  waiting.emplace(transfer->order_, transfer.get());
  Transfer* added = transfer.get();
  const TransferId id = transfer->offer_.id_;
  transfers_.emplace(id, std::move(transfer));
  GrantWaiting(is_answer, now, &step);
  if (!added->is_granted_) {
    counters_->Add(state::Counter::kBodyTransfersWaited);
  }
  return step;
}

state::RefusalReason IncomingBodies::Check(Transfer* transfer) const {
  const IncomingOffer& offer = transfer->offer_;
  if (offer.size_ > options_.max_body_bytes_) {
    return state::RefusalReason::kMemoryPressure;
  }
  const size_t waiting = waiting_attempts_.size() + waiting_answers_.size();
  if (offer.owner_.is_answer_) {
    return waiting >= 2 * options_.max_waiting_
               ? state::RefusalReason::kMemoryPressure
               : state::RefusalReason::kNone;
  }
  const size_t head = kHeadFactor * offer.head_.size();
  const bool can_fit = account_->CanEverFit(head + CostOf(offer));
  const bool is_accepted = can_fit && waiting < options_.max_waiting_ &&
                           transfer->charge_.head_.TryResize(head, UseOf(head));
  return is_accepted ? state::RefusalReason::kNone
                     : state::RefusalReason::kMemoryPressure;
}

void IncomingBodies::GrantWaiting(bool answers, state::Millis now, Step* step) {
  auto& waiting = answers ? waiting_answers_ : waiting_attempts_;
  while (!waiting.empty()) {
    Transfer* transfer = waiting.begin()->second;
    if (!TryGrant(transfer)) {
      return;
    }
    waiting.erase(waiting.begin());
    counters_->Add(state::Counter::kBodyTransfersGranted);
    transfer->is_granted_ = true;
    transfer->progress_at_ = now;
    transfer->content_.reserve(transfer->offer_.size_);
    RaiseCredit(transfer, now, step);
  }
  ShowReserved();
}

bool IncomingBodies::TryGrant(Transfer* transfer) {
  const size_t cost = CostOf(transfer->offer_);
  if (transfer->charge_.body_.TryResize(cost, ByteUse::kLarge)) {
    return true;
  }
  if (!transfer->offer_.owner_.is_answer_ || has_over_limit_) {
    return false;
  }
  // One answer at a time, so that answers always make progress.
  transfer->charge_.body_.Resize(cost);
  transfer->is_over_limit_ = true;
  has_over_limit_ = true;
  return true;
}

void IncomingBodies::RaiseCredit(Transfer* transfer,
                                 state::Millis now,
                                 Step* step) {
  const size_t size = transfer->offer_.size_;
  const size_t credit =
      std::min(size, transfer->content_.size() + kTransferWindowBytes);
  const bool is_due = credit >= transfer->credit_ + kCreditStepBytes ||
                      (credit == size && credit > transfer->credit_) ||
                      now - transfer->credited_at_ >= kCreditInterval;
  if (!is_due) {
    return;
  }
  transfer->credit_ = credit;
  transfer->credited_at_ = now;
  step->credits_.push_back(
      Credit{.link_ = transfer->offer_.id_.link_,
             .credit_ = {.transfer_ = transfer->offer_.id_.number_,
                         .offset_ = credit}});
}

IncomingBodies::Step IncomingBodies::OnChunk(const TransferLink& link,
                                             const protocol::BodyChunk& chunk,
                                             state::Millis now) {
  Step step;
  const auto found =
      transfers_.find(TransferId{.link_ = link, .number_ = chunk.transfer_});
  if (found == transfers_.end()) {
    return step;
  }
  Transfer* transfer = found->second.get();
  if (chunk.offset_ != transfer->content_.size() || chunk.content_.empty()) {
    return step;
  }
  if (chunk.content_.size() > transfer->credit_ - transfer->content_.size()) {
    counters_->Add(state::Counter::kBodyTransfersAbandoned);
    step.refusals_.push_back(
        Refusal{.id_ = found->first,
                .owner_ = transfer->offer_.owner_,
                .reason_ = state::RefusalReason::kLinkLost});
    Forget(found);
    return step;
  }
  transfer->content_ += chunk.content_;
  transfer->progress_at_ = now;
  if (transfer->content_.size() < transfer->offer_.size_) {
    RaiseCredit(transfer, now, &step);
    return step;
  }
  step.whole_.push_back(Whole{.offer_ = transfer->offer_,
                              .offered_at_ = transfer->offered_at_,
                              .content_ = std::move(transfer->content_),
                              .charge_ = std::move(transfer->charge_)});
  Forget(found);
  return step;
}

IncomingBodies::Step IncomingBodies::Advance(state::Millis now) {
  Step step;
  EndLate(now, &step);
  RepeatCredits(now, &step);
  GrantWaiting(/*answers=*/true, now, &step);
  GrantWaiting(/*answers=*/false, now, &step);
  return step;
}

void IncomingBodies::EndLate(state::Millis now, Step* step) {
  for (auto next = transfers_.begin(); next != transfers_.end();) {
    const auto current = next++;
    const Transfer& transfer = *current->second;
    const IncomingOffer& offer = transfer.offer_;
    const bool is_held_too_long = !transfer.is_granted_ &&
                                  !offer.owner_.is_answer_ &&
                                  now - transfer.offered_at_ >= options_.hold_;
    const bool is_stalled =
        transfer.is_granted_ && now - transfer.progress_at_ >= kTransferStall;
    if (!is_held_too_long && !is_stalled && now < offer.expires_at_) {
      continue;
    }
    counters_->Add(transfer.is_granted_
                       ? state::Counter::kBodyTransfersAbandoned
                       : state::Counter::kBodyTransfersRefused);
    step->refusals_.push_back(Refusal{
        .id_ = offer.id_,
        .owner_ = offer.owner_,
        .reason_ = !transfer.is_granted_ ? state::RefusalReason::kMemoryPressure
                   : is_stalled          ? state::RefusalReason::kLinkLost
                                         : state::RefusalReason::kDeadline});
    Forget(current);
  }
}

void IncomingBodies::RepeatCredits(state::Millis now, Step* step) {
  for (const auto& [id, transfer] : transfers_) {
    const state::Millis last =
        std::max(transfer->progress_at_, transfer->repeated_at_);
    if (now - last >= kCreditRepeat) {
      transfer->repeated_at_ = now;
      step->credits_.push_back(Credit{
          .link_ = id.link_,
          .credit_ = {.transfer_ = id.number_, .offset_ = transfer->credit_}});
    }
  }
}

void IncomingBodies::End(const TransferId& id) {
  const auto found = transfers_.find(id);
  if (found != transfers_.end()) {
    counters_->Add(state::Counter::kBodyTransfersAbandoned);
    Forget(found);
  }
}

void IncomingBodies::EndOf(const TransferOwner& owner) {
  EndIf([&](const Transfer& transfer) {
    return transfer.offer_.owner_.IsSameAs(owner);
  });
}

void IncomingBodies::EndOn(const TransferLink& link) {
  EndIf([&](const Transfer& transfer) {
    return transfer.offer_.id_.link_ == link;
  });
}

void IncomingBodies::EndIf(
    const std::function<bool(const Transfer&)>& matches) {
  for (auto next = transfers_.begin(); next != transfers_.end();) {
    const auto current = next++;
    if (matches(*current->second)) {
      counters_->Add(state::Counter::kBodyTransfersAbandoned);
      Forget(current);
    }
  }
}

void IncomingBodies::Forget(Transfers::iterator transfer) {
  const uint64_t order = transfer->second->order_;
  waiting_attempts_.erase(order);
  waiting_answers_.erase(order);
  has_over_limit_ = has_over_limit_ && !transfer->second->is_over_limit_;
  transfers_.erase(transfer);
  ShowReserved();
}

void IncomingBodies::ShowReserved() const {
  size_t reserved = 0;
  for (const auto& [id, transfer] : transfers_) {
    reserved += transfer->charge_.body_.bytes();
  }
  counters_->gauges().Set(state::Gauge::kReservedBodyBytes,
                          static_cast<double>(reserved));
}

}  // namespace gooseberrygap::transport
