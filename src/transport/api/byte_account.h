#ifndef TRANSPORT_API_BYTE_ACCOUNT_H_
#define TRANSPORT_API_BYTE_ACCOUNT_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "absl/container/flat_hash_set.h"
#include "state/state.h"

namespace gooseberrygap::transport {

// What bytes are held for.
enum class HeldKind { kHeads, kBodies, kAnswers, kMessages, kCount };

// Small requests may use the reserve of the account.
enum class ByteUse { kSmall, kLarge };

// Returns the use for a request of that cost. Thread-safe.
ByteUse UseOf(size_t cost);

// The bytes that a process holds for its callers and for other daemons, and
// their limit. All methods are thread-safe.
class ByteAccount {
 public:
  struct Options {
    const size_t limit_bytes_ = 0;
    const size_t reserve_bytes_ = 0;  // Part of the limit.

    friend bool operator==(const Options&, const Options&) = default;
  };

  // Returns the options for a process whose memory is limited to so many MiB;
  // without a limit, those for a constant.
  static Options OptionsFor(std::optional<int> memory_mb);

  explicit ByteAccount(const Options& options = OptionsFor(std::nullopt),
                       state::Counters* counters = nullptr);

  ByteAccount(const ByteAccount&) = delete;
  ByteAccount& operator=(const ByteAccount&) = delete;

  // Charges the bytes if they fit. After a refusal the waiters are called when
  // bytes are given back.
  bool TryTake(HeldKind kind, size_t bytes, ByteUse use);
  // Charges bytes that are held already, also beyond the limit.
  void Take(HeldKind kind, size_t bytes);
  void GiveBack(HeldKind kind, size_t bytes);

  // Returns whether a large use of so many bytes fits while nothing else is
  // held.
  bool CanEverFit(size_t bytes) const;

  // Adds, or takes back, bytes that holders outside the fronts wait for. A
  // front then closes stalled connections as it does for its own requests.
  void AddWanted(size_t bytes);
  void RemoveWanted(size_t bytes);
  size_t wanted() const;

  // Adds, or takes back, bytes by which the holders together may exceed the
  // limit without a refusal of small requests.
  void AddAllowance(size_t bytes);
  void RemoveAllowance(size_t bytes);

  // Returns whether the content comes from ChargedBytes and is charged to this
  // account, so that another holder must not charge it again.
  bool IsCharged(const state::Bytes& content) const;
  // Register where charged content begins; for ChargedBytes.
  void AddCharged(const char* content);
  void RemoveCharged(const char* content);

  size_t held() const;
  // Returns the most bytes that were held at once since the last call.
  size_t TakePeak();
  size_t limit() const { return options_.limit_bytes_; }

  // Adds a function that is called, on any thread, when bytes are given back
  // after a refusal; it must not block. Returns its number for RemoveWaiter,
  // after which it is not called any more.
  uint64_t AddWaiter(std::function<void()> wake);
  void RemoveWaiter(uint64_t waiter);

 private:
  // Precondition of both: `mutex_` is held. Show updates the metric.
  void Add(HeldKind kind, size_t bytes);
  void Show(HeldKind kind);

  const Options options_;
  state::Counters* const counters_;
  mutable std::mutex mutex_;  // Guards all members below.
  std::array<size_t, static_cast<size_t>(HeldKind::kCount)> held_ = {};
  size_t total_ = 0;
  size_t peak_ = 0;  // Of the total, since TakePeak.
  size_t wanted_ = 0;
  size_t allowance_ = 0;
  absl::flat_hash_set<const char*> charged_;
  bool has_refused_ = false;
  uint64_t next_waiter_ = 1;
  std::map<uint64_t, std::function<void()>> waiters_;
};

// Bytes charged to an account, which are given back with the end of this
// object. Not thread-safe, but may end on any thread.
class ByteCharge {
 public:
  ByteCharge(std::shared_ptr<ByteAccount> account, HeldKind kind)
      : account_(std::move(account)), kind_(kind) {}
  ~ByteCharge() { Resize(0); }

  ByteCharge(ByteCharge&& other) noexcept
      : account_(other.account_),
        kind_(other.kind_),
        bytes_(std::exchange(other.bytes_, 0)) {}
  ByteCharge& operator=(ByteCharge&&) = delete;

  // Changes the charge to `bytes` in all; returns false, and changes nothing,
  // when more bytes do not fit.
  bool TryResize(size_t bytes, ByteUse use);
  // Changes the charge, also beyond the limit.
  void Resize(size_t bytes);

  size_t bytes() const { return bytes_; }
  ByteAccount* account() const { return account_.get(); }

 private:
  const std::shared_ptr<ByteAccount> account_;
  const HeldKind kind_;
  size_t bytes_ = 0;
};

// What one request is charged.
struct RequestCharge {
  explicit RequestCharge(const std::shared_ptr<ByteAccount>& account,
                         HeldKind head = HeldKind::kHeads,
                         HeldKind body = HeldKind::kBodies)
      : head_(account, head), body_(account, body) {}

  size_t bytes() const { return head_.bytes() + body_.bytes(); }

  ByteCharge head_;
  ByteCharge body_;
  // Ends with the charge, just before its bytes are given back.
  std::shared_ptr<const void> token_;
};

// Returns content whose charge is given back with its last copy. Thread-safe.
state::Bytes ChargedBytes(std::string content, RequestCharge charge);

// Return what the process holds for a request's head, and for a body of that
// capacity, on its way from the front to a target. Thread-safe.
size_t HeadCost(absl::string_view head);
size_t BodyCost(size_t capacity);

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_BYTE_ACCOUNT_H_
