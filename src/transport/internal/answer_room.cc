#include "transport/internal/answer_room.h"

#include <algorithm>
#include <utility>

namespace gooseberrygap::transport {

namespace {

// An answer up to this size is never held back: as many of them as there are
// deliveries in progress are a small part of every limit.
constexpr size_t kSmallAnswerBytes = 65536;

// Token of the charge that may exceed the limits. Its bytes must not use up the
// reserve for small requests.
class Exceeding {
 public:
  Exceeding(std::shared_ptr<ByteAccount> account, size_t bytes)
      : account_(std::move(account)), bytes_(bytes) {
    account_->AddAllowance(bytes_);
  }
  ~Exceeding() { account_->RemoveAllowance(bytes_); }

  Exceeding(const Exceeding&) = delete;
  Exceeding& operator=(const Exceeding&) = delete;

 private:
  const std::shared_ptr<ByteAccount> account_;
  const size_t bytes_;
};

}  // namespace

AnswerRoom::AnswerRoom(std::shared_ptr<ByteAccount> account, size_t max_bytes)
    : account_(std::move(account)), max_bytes_(max_bytes) {}

AnswerRoom::~AnswerRoom() {
  account_->RemoveWanted(wanted_);
}

RequestCharge AnswerRoom::NewCharge() const {
  return RequestCharge(account_, HeldKind::kAnswers, HeldKind::kAnswers);
}

bool AnswerRoom::TryReserve(int link, RequestCharge* charge, size_t bytes) {
  ByteCharge* const body = &charge->body_;
  const bool is_small = bytes <= std::max(kSmallAnswerBytes, body->bytes());
  // Newcomers queue behind those that wait.
  const bool is_next = waiting_.empty() || waiting_.front() == link;
  const bool has_room =
      is_small || charge->token_ != nullptr ||
      (is_next && (Fits(body, bytes) || MayExceed(charge, bytes)));
  if (!has_room) {
    SetMissing(link, bytes - body->bytes());
    return false;
  }
  SetMissing(link, 0);
  body->Resize(bytes);
  SetReserved(link, bytes);
  return true;
}

void AnswerRoom::Reduce(int link, RequestCharge* charge, size_t bytes) {
  charge->body_.Resize(bytes);
  SetReserved(link, bytes);
}

void AnswerRoom::Finish(int link) {
  SetMissing(link, 0);
  SetReserved(link, 0);
  incomplete_.erase(link);
}

bool AnswerRoom::Fits(ByteCharge* charge, size_t bytes) const {
  return reserved_ + bytes - charge->bytes() <= max_bytes_ &&
         charge->TryResize(bytes, ByteUse::kLarge);
}

bool AnswerRoom::MayExceed(RequestCharge* charge, size_t bytes) {
  if (!exceeding_.expired()) {
    return false;
  }
  charge->token_ = std::make_shared<const Exceeding>(account_, bytes);
  exceeding_ = charge->token_;
  return true;
}

void AnswerRoom::SetReserved(int link, size_t bytes) {
  size_t& reserved = incomplete_[link].reserved_;
  reserved_ = reserved_ - reserved + bytes;
  reserved = bytes;
}

void AnswerRoom::SetMissing(int link, size_t bytes) {
  size_t& missing = incomplete_[link].missing_;
  if (missing == 0 && bytes > 0) {
    waiting_.push_back(link);
  } else if (missing > 0 && bytes == 0) {
    waiting_.erase(std::find(waiting_.begin(), waiting_.end(), link));
  }
  account_->AddWanted(bytes);
  account_->RemoveWanted(missing);
  wanted_ = wanted_ - missing + bytes;
  missing = bytes;
}

}  // namespace gooseberrygap::transport
