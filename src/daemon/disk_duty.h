#ifndef DAEMON_DISK_DUTY_H_
#define DAEMON_DISK_DUTY_H_

#include <atomic>
#include <deque>
#include <functional>
#include <memory>

#include "daemon/batch_backlog.h"
#include "transport/transport.h"

namespace gooseberrygap::daemon {

// The `disk` duty: makes batches of the replicated log durable. All queued
// batches are written with one sync. A batch that cannot be written is written
// again, together with those that follow it, until the disk takes it: to the
// log, a disk that refuses writes is one that is slow. So is one that hangs:
// what it has not taken yet is merged and kept.
class DiskDuty {
 public:
  // Called on the disk thread with the sequence number up to which all batches
  // are durable, and with the error of the first failed write after a
  // successful one.
  using Handler = std::function<void(state::Result<uint64_t>)>;

  // `counters` must outlive the duty.
  DiskDuty(std::unique_ptr<state::LogStore> store,
           Handler handler,
           state::Counters* counters);
  // Tries once to write the queued batches, then stops the thread.
  ~DiskDuty();

  // Queues a batch. Must be called on the same thread as Flush.
  void Write(const coordination::RaftBatch& batch);
  // Passes batches that found the ring full to the disk thread, as far as there
  // is room by now. Call it at each tick.
  void Flush();
  // Returns how long the present write has lasted; 0 without one. Thread-safe.
  state::Millis WriteTime() const;

 private:
  void Run();
  // Waits for batches and takes all that are queued.
  void TakeQueued();
  void WriteUnsynced();
  state::Result<void> Apply(const coordination::RaftBatch& batch);
  // Prepares the store for a batch of which it may hold a part.
  state::Result<void> Recover(const coordination::RaftBatch& batch);

  const std::unique_ptr<state::LogStore> store_;
  const Handler handler_;
  state::Counters* const counters_;
  const state::SteadyClock clock_;
  BatchBacklog backlog_;  // Batches that wait for room in the ring.
  transport::Ring<coordination::RaftBatch> ring_;
  // Batches that are not durable. A deque, since batches cannot be assigned.
  std::deque<coordination::RaftBatch> unsynced_;
  // Time at which the present write began; 0 without one.
  std::atomic<double> write_began_ms_ = 0;
  bool failed_ = false;     // The last write failed.
  state::Millis retry_at_;  // Time of the next write after a failed one.
  transport::DutyThread thread_;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_DISK_DUTY_H_
