#include "integration/raw_callers.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "absl/time/clock.h"

namespace gooseberrygap::integration {

namespace {

// Callers count as held back when none has got further for so long. Meanwhile
// the daemon reads what the system has buffered.
constexpr state::Millis kQuietTime(3000);
constexpr absl::Duration kPause = absl::Milliseconds(2);
constexpr size_t kReadBytes = 65536;

int OpenConnection(const test_support::Address& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = test_support::ToSocketAddress(address);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&name),
              sizeof(name)) == 0) {
    return descriptor;
  }
  close(descriptor);
  return -1;
}

bool CanWait() {
  return errno == EAGAIN || errno == EINTR;
}

}  // namespace

RawCallers::RawCallers(const test_support::Address& address,
                       const std::vector<RawRequest>& requests)
    : requests_(requests) {
  for (size_t i = 0; i < requests_.size(); ++i) {
    connections_.push_back(Connection{.descriptor_ = OpenConnection(address)});
  }
}

RawCallers::~RawCallers() {
  for (size_t i = 0; i < connections_.size(); ++i) {
    Close(i);
  }
}

void RawCallers::SendAll() {
  const state::SteadyClock clock;
  state::Millis progress_at = clock.Now();
  while (clock.Now() - progress_at < kQuietTime) {
    bool progressed = false;
    for (size_t i = 0; i < connections_.size(); ++i) {
      progressed = SendPiece(i) || progressed;
      progressed = ReceiveSome(i) || progressed;
    }
    if (progressed) {
      progress_at = clock.Now();
    } else {
      absl::SleepFor(kPause);
    }
  }
}

bool RawCallers::SendPiece(size_t caller) {
  if (!IsSending(caller)) {
    return false;
  }
  const RawRequest& request = requests_[caller];
  Connection& connection = connections_[caller];
  const size_t size =
      std::min(request.piece_bytes_, request.sent_bytes_ - connection.sent_);
  const ssize_t count =
      send(connection.descriptor_, request.text_->data() + connection.sent_,
           size, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (count > 0) {
    connection.sent_ += count;
  } else if (!CanWait()) {
    Close(caller);
  }
  return count > 0;
}

bool RawCallers::ReceiveSome(size_t caller) {
  Connection& connection = connections_[caller];
  if (connection.descriptor_ < 0 || !requests_[caller].reads_answer_) {
    return false;
  }
  std::array<char, kReadBytes> buffer;
  const ssize_t count =
      recv(connection.descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count == 0 || (count < 0 && !CanWait())) {
    Close(caller);
  }
  return count > 0;
}

void RawCallers::Close(size_t caller) {
  Connection& connection = connections_[caller];
  if (connection.descriptor_ >= 0) {
    close(connection.descriptor_);
    connection.descriptor_ = -1;
  }
}

bool RawCallers::IsSending(size_t caller) const {
  const Connection& connection = connections_[caller];
  return connection.descriptor_ >= 0 &&
         connection.sent_ < requests_[caller].sent_bytes_;
}

int RawCallers::CountSent() const {
  int count = 0;
  for (size_t i = 0; i < connections_.size(); ++i) {
    count += connections_[i].sent_ == requests_[i].sent_bytes_ ? 1 : 0;
  }
  return count;
}

int RawCallers::CountOpen() const {
  return static_cast<int>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const Connection& each) { return each.descriptor_ >= 0; }));
}

}  // namespace gooseberrygap::integration
