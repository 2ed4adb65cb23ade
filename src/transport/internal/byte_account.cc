#include "transport/api/byte_account.h"

#include <algorithm>
#include <utility>

namespace gooseberrygap::transport {

namespace {

constexpr size_t kMebibyte = 1 << 20;
// Memory of a process beside what the account counts: 15 MiB without callers,
// and buffers, rings and the allocator's overhead under load.
constexpr size_t kProcessBytes = 26 * kMebibyte;
constexpr size_t kMinLimitBytes = 6 * kMebibyte;
// Without a limit on the process's memory: eight bodies of the largest size.
constexpr size_t kDefaultLimitBytes = 1024 * kMebibyte;
// The reserve for small requests: a part of the limit, and at least so much.
// In a process of 160 MiB it leaves room for a body of 64 MiB and its copy.
constexpr size_t kReserveDivisor = 32;
constexpr size_t kMinReserveBytes = kMebibyte;

// A request with a head of 2 KB and a body of 4 KB is small.
constexpr size_t kMaxSmallBytes = 32768;
// Parser, queues and the values of a request, apart from its headers.
constexpr size_t kRequestBytes = 2048;
// A header line has an element of the parser (about 110 bytes with its
// allocation) and then two strings in each value that holds the request: in the
// event, the call and the attempt.
constexpr size_t kHeaderLineBytes = 256;
// Copies of a head's text, and of a body: the encoding for the guard's link.
constexpr size_t kHeadCopies = 3;
constexpr size_t kBodyCopies = 2;

constexpr std::array<state::Gauge, static_cast<size_t>(HeldKind::kCount)>
    kGauges = {state::Gauge::kHeldHeadBytes, state::Gauge::kHeldBodyBytes,
               state::Gauge::kHeldAnswerBytes, state::Gauge::kHeldMessageBytes};

class ChargedContent {
 public:
  ChargedContent(std::string content, RequestCharge charge)
      : charge_(std::move(charge)), content_(std::move(content)) {
    charge_.body_.account()->AddCharged(content_.data());
  }
  ~ChargedContent() { charge_.body_.account()->RemoveCharged(content_.data()); }

  ChargedContent(const ChargedContent&) = delete;
  ChargedContent& operator=(const ChargedContent&) = delete;

  const std::string& content() const { return content_; }

 private:
  RequestCharge charge_;
  const std::string content_;
};

}  // namespace

ByteUse UseOf(size_t cost) {
  return cost <= kMaxSmallBytes ? ByteUse::kSmall : ByteUse::kLarge;
}

ByteAccount::Options ByteAccount::OptionsFor(std::optional<int> memory_mb) {
  const size_t memory =
      memory_mb.has_value() ? static_cast<size_t>(*memory_mb) * kMebibyte : 0;
  const size_t limit = !memory_mb.has_value() ? kDefaultLimitBytes
                       : memory > kProcessBytes + kMinLimitBytes
                           ? memory - kProcessBytes
                           : kMinLimitBytes;
  return Options{
      .limit_bytes_ = limit,
      .reserve_bytes_ = std::max(kMinReserveBytes, limit / kReserveDivisor)};
}

ByteAccount::ByteAccount(const Options& options, state::Counters* counters)
    : options_(options), counters_(counters) {
  if (counters_ != nullptr) {
    counters_->gauges().Set(state::Gauge::kHeldByteLimit,
                            static_cast<double>(options_.limit_bytes_));
  }
}

bool ByteAccount::TryTake(HeldKind kind, size_t bytes, ByteUse use) {
  const std::lock_guard lock(mutex_);
  const size_t limit = use == ByteUse::kLarge
                           ? options_.limit_bytes_ - options_.reserve_bytes_
                           : options_.limit_bytes_ + allowance_;
  if (bytes > limit || total_ > limit - bytes) {
    has_refused_ = true;
    return false;
  }
  Add(kind, bytes);
  return true;
}

void ByteAccount::Take(HeldKind kind, size_t bytes) {
  const std::lock_guard lock(mutex_);
  Add(kind, bytes);
}

void ByteAccount::GiveBack(HeldKind kind, size_t bytes) {
  const std::lock_guard lock(mutex_);
  held_.at(static_cast<size_t>(kind)) -= bytes;
  total_ -= bytes;
  Show(kind);
  if (std::exchange(has_refused_, false)) {
    for (const auto& [number, wake] : waiters_) {
      wake();
    }
  }
}

void ByteAccount::Add(HeldKind kind, size_t bytes) {
  held_.at(static_cast<size_t>(kind)) += bytes;
  total_ += bytes;
  peak_ = std::max(peak_, total_);
  Show(kind);
}

void ByteAccount::Show(HeldKind kind) {
  const auto index = static_cast<size_t>(kind);
  if (counters_ != nullptr) {
    counters_->gauges().Set(kGauges.at(index),
                            static_cast<double>(held_.at(index)));
  }
}

bool ByteAccount::CanEverFit(size_t bytes) const {
  return bytes <= options_.limit_bytes_ - options_.reserve_bytes_;
}

size_t ByteAccount::held() const {
  const std::lock_guard lock(mutex_);
  return total_;
}

size_t ByteAccount::TakePeak() {
  const std::lock_guard lock(mutex_);
  return std::exchange(peak_, total_);
}

void ByteAccount::AddWanted(size_t bytes) {
  const std::lock_guard lock(mutex_);
  wanted_ += bytes;
}

void ByteAccount::RemoveWanted(size_t bytes) {
  const std::lock_guard lock(mutex_);
  wanted_ -= bytes;
}

void ByteAccount::AddAllowance(size_t bytes) {
  const std::lock_guard lock(mutex_);
  allowance_ += bytes;
}

void ByteAccount::RemoveAllowance(size_t bytes) {
  const std::lock_guard lock(mutex_);
  allowance_ -= bytes;
}

size_t ByteAccount::wanted() const {
  const std::lock_guard lock(mutex_);
  return wanted_;
}

bool ByteAccount::IsCharged(const state::Bytes& content) const {
  const std::lock_guard lock(mutex_);
  return charged_.contains(content.view().data());
}

void ByteAccount::AddCharged(const char* content) {
  const std::lock_guard lock(mutex_);
  charged_.insert(content);
}

void ByteAccount::RemoveCharged(const char* content) {
  const std::lock_guard lock(mutex_);
  charged_.erase(content);
}

uint64_t ByteAccount::AddWaiter(std::function<void()> wake) {
  const std::lock_guard lock(mutex_);
  waiters_.emplace(next_waiter_, std::move(wake));
  return next_waiter_++;
}

void ByteAccount::RemoveWaiter(uint64_t waiter) {
  const std::lock_guard lock(mutex_);
  waiters_.erase(waiter);
}

bool ByteCharge::TryResize(size_t bytes, ByteUse use) {
  if (bytes > bytes_ && !account_->TryTake(kind_, bytes - bytes_, use)) {
    return false;
  }
  if (bytes < bytes_) {
    account_->GiveBack(kind_, bytes_ - bytes);
  }
  bytes_ = bytes;
  return true;
}

void ByteCharge::Resize(size_t bytes) {
  if (bytes > bytes_) {
    account_->Take(kind_, bytes - bytes_);
  } else if (bytes < bytes_) {
    account_->GiveBack(kind_, bytes_ - bytes);
  }
  bytes_ = bytes;
}

state::Bytes ChargedBytes(std::string content, RequestCharge charge) {
  const auto owner = std::make_shared<const ChargedContent>(std::move(content),
                                                            std::move(charge));
  return state::Bytes(
      std::shared_ptr<const std::string>(owner, &owner->content()));
}

size_t HeadCost(absl::string_view head) {
  const auto lines = std::count(head.begin(), head.end(), '\n');
  return kRequestBytes + kHeadCopies * head.size() +
         kHeaderLineBytes * static_cast<size_t>(lines);
}

size_t BodyCost(size_t capacity) {
  return kBodyCopies * capacity;
}

}  // namespace gooseberrygap::transport
