#ifndef DAEMON_HEAP_DUTY_H_
#define DAEMON_HEAP_DUTY_H_

#include <memory>

#include "absl/synchronization/notification.h"
#include "transport/transport.h"

namespace gooseberrygap::daemon {

// Decides when freed memory of the heap is returned to the system. Uses no
// clock. Not thread-safe.
class FreedMemory {
 public:
  // Takes the most bytes that have been held since the last call, and those
  // that are held now. Returns whether so many have been freed since memory was
  // last returned that it is to be done again.
  bool IsReturnDue(size_t peak, size_t held);

  // Small against the memory that the account leaves to the rest of the
  // process, and large against what ordinary calls hold.
  static constexpr size_t kMinFreedBytes = 4 << 20;

 private:
  size_t peak_ = 0;
};

// Returns freed memory of the heap to the system. Buffers below the size from
// which the allocator maps them stay in the process when they are freed, also
// when the account admits as many bytes again that are mapped.
class HeapDuty {
 public:
  explicit HeapDuty(std::shared_ptr<transport::ByteAccount> account);
  ~HeapDuty();

  HeapDuty(const HeapDuty&) = delete;
  HeapDuty& operator=(const HeapDuty&) = delete;

 private:
  void Run();

  const std::shared_ptr<transport::ByteAccount> account_;
  absl::Notification stop_;
  transport::DutyThread thread_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_HEAP_DUTY_H_
