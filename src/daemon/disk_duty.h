#ifndef DAEMON_DISK_DUTY_H_
#define DAEMON_DISK_DUTY_H_

#include <functional>
#include <memory>

#include "transport/transport.h"

namespace gooseberrygap::daemon {

// The `disk` duty: makes batches of the replicated log durable. All queued
// batches are written with one sync.
class DiskDuty {
 public:
  // Called on the disk thread with the sequence number up to which all batches
  // are durable, or with the error after which no batch is written any more.
  using Handler = std::function<void(state::Result<uint64_t>)>;

  // `counters` must outlive the duty.
  DiskDuty(std::unique_ptr<state::LogStore> store,
           Handler handler,
           state::Counters* counters);
  // Writes the queued batches, then stops the thread.
  ~DiskDuty();

  // Queues a batch. Returns false when the ring is full or closed. Thread-safe.
  bool Write(coordination::RaftBatch batch);

 private:
  void Run();
  state::Result<void> Apply(const coordination::RaftBatch& batch);

  const std::unique_ptr<state::LogStore> store_;
  const Handler handler_;
  state::Counters* const counters_;
  transport::Ring<coordination::RaftBatch> ring_;
  transport::DutyThread thread_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_DISK_DUTY_H_
