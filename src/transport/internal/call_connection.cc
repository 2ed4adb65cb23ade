#include "transport/internal/call_connection.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "absl/strings/str_cat.h"
#include "transport/internal/release_buffer.h"

namespace gooseberrygap::transport {

namespace {

constexpr size_t kReadBytes = 16384;
// Bytes read before they are parsed and other connections get their turn: a
// caller that sends without end must not keep the thread.
constexpr size_t kMaxReadBytesPerTurn = 65536;
// Requests read ahead of answers on one connection.
constexpr size_t kMaxPending = 64;
// How long a closed connection is read further, so that bytes in flight do not
// reset it before the caller has read the last answer.
constexpr state::Millis kLingerTime(1000);

// An input buffer that is larger than its content by this factor is shrunk.
constexpr size_t kMaxInputSlack = 2;

constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;

}  // namespace

CallConnection::CallConnection(Descriptor socket,
                               const Options& options,
                               state::Millis now)
    : socket_(std::move(socket)),
      number_(options.number_),
      listener_(options.listener_),
      account_(options.account_),
      hold_(options.hold_),
      input_charge_(account_, HeldKind::kHeads),
      output_charge_(account_, HeldKind::kAnswers),
      last_used_(now) {}

void CallConnection::Read(const state::CallerLimits& limits,
                          const Take& take,
                          state::Millis now) {
  if (held_since_.has_value()) {
    return;
  }
  const bool is_open = Receive();
  if (stopped_reading_) {
    ReleaseBuffer(&input_);
  }
  if (lingering_) {
    done_ = done_ || !is_open;
    return;
  }
  if (!input_.empty()) {
    last_used_ = now;
  }
  if (is_open) {
    Parse(limits, take, now);
    return;
  }
  OnCallerLeft();
}

void CallConnection::ReadHeld(const state::CallerLimits& limits,
                              const Take& take,
                              state::Millis now) {
  Parse(limits, take, now);
}

void CallConnection::CheckHeld() {
  pollfd entry = {.fd = socket_.get(), .events = POLLRDHUP, .revents = 0};
  if (poll(&entry, 1, 0) > 0) {
    OnCallerLeft();
  }
}

void CallConnection::OnCallerLeft() {
  // What was sent ahead of a close is not wanted any more.
  caller_left_ = !pending_.empty();
  done_ = true;
}

bool CallConnection::Receive() {
  std::array<char, kReadBytes> buffer;
  // Before the body has room, no more than a head is read.
  const bool reads_body = reader_ != nullptr && reader_->is_head_done();
  const size_t limit = reads_body ? kMaxReadBytesPerTurn : kReadBytes;
  for (size_t received = 0; received < limit;) {
    const ssize_t count = recv(socket_.get(), buffer.data(), buffer.size(), 0);
    if (count > 0) {
      received += count;
      moved_bytes_ += count;
      input_.append(buffer.data(), count);
      if (static_cast<size_t>(count) < buffer.size()) {
        return true;
      }
      continue;
    }
    if (count < 0 && errno == EINTR) {
      continue;
    }
    return count < 0 && errno == EAGAIN;
  }
  return true;
}

void CallConnection::Parse(const state::CallerLimits& limits,
                           const Take& take,
                           state::Millis now) {
  while (!input_.empty() && !stopped_reading_ &&
         pending_.size() < kMaxPending) {
    if (reader_ == nullptr) {
      reader_ = std::make_unique<RequestReader>(limits, account_);
      sent_continue_ = false;
      message_began_ = now;
    }
    const ReadStep step = reader_->Put(&input_);
    if (step == ReadStep::kFailed) {
      Refuse(reader_->status());
      return;
    }
    if (step == ReadStep::kNoRoom) {
      Hold(now);
      break;
    }
    held_since_.reset();
    if (step == ReadStep::kComplete) {
      TakeRequest(take);
      continue;
    }
    if (!sent_continue_ && pending_.empty() && reader_->wants_continue()) {
      sent_continue_ = true;
      output_.emplace_back(std::string("HTTP/1.1 100 Continue\r\n\r\n"));
    }
    break;
  }
  if (!ChargeInput()) {
    RefuseForRoom();
  }
}

bool CallConnection::ChargeInput() {
  if (input_.empty() || stopped_reading_) {
    ReleaseBuffer(&input_);
  } else if (input_.capacity() > kMaxInputSlack * input_.size()) {
    input_.shrink_to_fit();
  }
  const size_t bytes = input_.empty() ? 0 : input_.capacity();
  return input_charge_.TryResize(bytes, UseOf(bytes));
}

void CallConnection::Hold(state::Millis now) {
  if (reader_->is_small()) {
    RefuseForRoom();
  } else if (!held_since_.has_value()) {
    held_since_ = now;
  }
}

void CallConnection::TakeRequest(const Take& take) {
  const std::unique_ptr<RequestReader> reader = std::move(reader_);
  Pending pending{.has_body_ = reader->answer_has_body(),
                  .closes_ = reader->closes()};
  stopped_reading_ = pending.closes_ || closes_after_pending_;
  pending.request_id_ = take(reader->Take());
  pending_.push_back(std::move(pending));
}

void CallConnection::Refuse(int status) {
  reader_.reset();
  held_since_.reset();
  ReleaseBuffer(&input_);
  input_charge_.Resize(0);
  stopped_reading_ = true;
  Pending refused{.closes_ = true};
  if (status == kUnavailable) {
    Give({.status_ = status,
          .headers_ = {{.name_ = "Retry-After", .value_ = "1"}},
          .body_ = state::Bytes(absl::StrCat(
              state::NameOf(state::RefusalReason::kMemoryPressure), "\n"))},
         &refused);
  } else {
    Give({.status_ = status}, &refused);
  }
  pending_.push_back(std::move(refused));
}

void CallConnection::RefuseForRoom() {
  ++room_refusals_;
  Refuse(kUnavailable);
}

void CallConnection::CloseForRoom() {
  if (waits_to_write()) {
    ++room_refusals_;
    OnCallerLeft();
    return;
  }
  RefuseForRoom();
}

void CallConnection::CheckTime(const state::CallerLimits& limits,
                               state::Millis now) {
  if (lingering_) {
    done_ = done_ || now - last_used_ >= kLingerTime;
    return;
  }
  if (held_since_.has_value()) {
    if (now - *held_since_ >= hold_) {
      RefuseForRoom();
    }
    return;
  }
  const bool reads_head = reader_ != nullptr && !reader_->is_head_done();
  const bool is_late =
      (reads_head && now - message_began_ >= limits.header_timeout_) ||
      (reader_ != nullptr && reading_limit_.has_value() &&
       now >= *reading_limit_);
  if (is_late) {
    Refuse(kRequestTimeout);
    return;
  }
  if (!is_busy() && now - last_used_ >= limits.idle_timeout_) {
    done_ = true;
  }
}

void CallConnection::CloseAfterPending() {
  closes_after_pending_ = true;
  if (!pending_.empty()) {
    reader_.reset();
    held_since_.reset();
    ReleaseBuffer(&input_);
    input_charge_.Resize(0);
    stopped_reading_ = true;
  }
}

void CallConnection::LimitReading(state::Millis limit) {
  reading_limit_ = limit;
}

void CallConnection::CloseIfIdle() {
  if (!is_busy() && reader_ == nullptr && input_.empty() && !lingering_) {
    done_ = true;
  }
}

bool CallConnection::waits_to_read() const {
  return lingering_ || (!stopped_reading_ && !held_since_.has_value() &&
                        pending_.size() < kMaxPending);
}

size_t CallConnection::missing_bytes() const {
  return held_since_.has_value() ? reader_->missing_bytes() : 0;
}

MemoryRelief::Load CallConnection::load() const {
  return MemoryRelief::Load{.connection_ = number_,
                            .held_bytes_ = held_bytes(),
                            .moved_bytes_ = moved_bytes_,
                            .waits_for_caller_ = waits_for_caller()};
}

size_t CallConnection::held_bytes() const {
  size_t held = input_charge_.bytes() + output_cost_;
  held += reader_ == nullptr ? 0 : reader_->held_bytes();
  for (const Pending& pending : pending_) {
    held += pending.cost_;
  }
  return held;
}

bool CallConnection::waits_for_caller() const {
  return waits_to_write() || (reader_ != nullptr && !held_since_.has_value());
}

std::vector<uint64_t> CallConnection::Unanswered() const {
  std::vector<uint64_t> requests;
  for (const Pending& pending : pending_) {
    if (!pending.answer_.has_value()) {
      requests.push_back(pending.request_id_);
    }
  }
  return requests;
}

std::vector<CallConnection*> HeldByAge(
    const std::vector<CallConnection*>& connections) {
  std::vector<CallConnection*> held;
  for (CallConnection* connection : connections) {
    if (connection->held_since().has_value()) {
      held.push_back(connection);
    }
  }
  std::sort(held.begin(), held.end(),
            [](const CallConnection* left, const CallConnection* right) {
              return *left->held_since() < *right->held_since();
            });
  return held;
}

}  // namespace gooseberrygap::transport
