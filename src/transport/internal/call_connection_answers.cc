#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "transport/internal/call_connection.h"
#include "transport/internal/http_message.h"

namespace gooseberrygap::transport {

namespace {

// Bytes of printed answers that wait to be sent before more are printed.
constexpr size_t kMaxPrintedBytes = 65536;
// A body up to this size is sent in one piece with its head.
constexpr size_t kMaxCopiedBytes = 16384;

size_t CostOfHeaders(const state::HttpAnswer& answer) {
  size_t cost = 0;
  for (const state::HttpHeader& header : answer.headers_) {
    cost += sizeof header + header.name_.size() + header.value_.size();
  }
  return cost;
}

}  // namespace

void CallConnection::Answer(uint64_t request_id,
                            const state::HttpAnswer& answer) {
  for (Pending& pending : pending_) {
    if (pending.request_id_ == request_id && !pending.answer_.has_value()) {
      Give(answer, &pending);
      return;
    }
  }
}

void CallConnection::Give(const state::HttpAnswer& answer, Pending* pending) {
  const size_t headers = CostOfHeaders(answer);
  pending->answer_.emplace(answer);
  pending->cost_ = headers + answer.body_.size();
  pending->charge_.emplace(account_, HeldKind::kAnswers);
  pending->charge_->Resize(account_->IsCharged(answer.body_) ? headers
                                                             : pending->cost_);
}

void CallConnection::Flush(state::Millis now) {
  do {
    PrintAnswers(now);
    if (!SendOutput()) {
      return;
    }
  } while (!closing_ && !pending_.empty() &&
           pending_.front().answer_.has_value());
  if (closing_ && !lingering_) {
    shutdown(socket_.get(), SHUT_WR);
    lingering_ = true;
    stopped_reading_ = true;
    last_used_ = now;
  }
}

void CallConnection::PrintAnswers(state::Millis now) {
  while (!pending_.empty() && pending_.front().answer_.has_value() &&
         !closing_ && output_cost_ < kMaxPrintedBytes) {
    const bool is_last = closes_after_pending_ && pending_.size() == 1;
    closing_ = pending_.front().closes_ || is_last;
    Print(std::move(pending_.front()));
    pending_.pop_front();
    last_used_ = now;
  }
}

void CallConnection::Print(Pending answered) {
  const state::HttpAnswer& answer = *answered.answer_;
  const bool has_body = answered.has_body_ && !IsBodiless(answer.status_);
  const bool is_copied = answer.body_.size() <= kMaxCopiedBytes;
  output_.emplace_back(
      PrintAnswer(answer, has_body && is_copied,
                  closing_ ? AfterAnswer::kClose : AfterAnswer::kKeepOpen));
  if (has_body && !is_copied) {
    output_.push_back(answer.body_);
  }
  output_cost_ += answered.cost_;
  // The charge of a body that was copied ends with the original.
  const size_t added = is_copied ? answered.cost_ : answered.charge_->bytes();
  output_charge_.Resize(output_charge_.bytes() + added);
}

bool CallConnection::SendOutput() {
  while (!output_.empty()) {
    const absl::string_view piece = output_.front().view().substr(sent_);
    const ssize_t count =
        send(socket_.get(), piece.data(), piece.size(), MSG_NOSIGNAL);
    if (count < 0) {
      const bool can_wait = errno == EAGAIN || errno == EINTR;
      caller_left_ = caller_left_ || (!can_wait && !pending_.empty());
      done_ = done_ || !can_wait;
      return false;
    }
    moved_bytes_ += count;
    sent_ += count;
    if (sent_ == output_.front().size()) {
      output_.pop_front();
      sent_ = 0;
    }
  }
  output_charge_.Resize(0);
  output_cost_ = 0;
  return true;
}

}  // namespace gooseberrygap::transport
