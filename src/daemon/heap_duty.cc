#include "daemon/heap_duty.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

#include "absl/time/time.h"

namespace gooseberrygap::daemon {

namespace {

// Short against the time in which callers bring as many bytes again over a
// network, and long against the few milliseconds that the heap is locked.
constexpr absl::Duration kCheckInterval = absl::Milliseconds(100);

}  // namespace

bool FreedMemory::IsReturnDue(size_t peak, size_t held) {
  peak_ = std::max(peak_, peak);
  if (peak_ < held + kMinFreedBytes) {
    return false;
  }
  peak_ = held;
  return true;
}

HeapDuty::HeapDuty(std::shared_ptr<transport::ByteAccount> account)
    : account_(std::move(account)), thread_("heap", [this] { Run(); }) {}

HeapDuty::~HeapDuty() {
  stop_.Notify();
  thread_.Join();
}

void HeapDuty::Run() {
  FreedMemory freed;
  while (!stop_.WaitForNotificationWithTimeout(kCheckInterval)) {
    const size_t peak = account_->TakePeak();
    if (freed.IsReturnDue(peak, account_->held())) {
      malloc_trim(0);
    }
  }
}

}  // namespace gooseberrygap::daemon
