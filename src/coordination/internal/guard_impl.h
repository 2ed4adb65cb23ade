#ifndef COORDINATION_INTERNAL_GUARD_IMPL_H_
#define COORDINATION_INTERNAL_GUARD_IMPL_H_

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "coordination/internal/guard_target.h"
#include "coordination/internal/guard_work.h"
#include "coordination/internal/recent_peers.h"
#include "coordination/internal/slot_limit.h"
#include "coordination/internal/work_queue.h"

namespace gooseberrygap::coordination {

// How long the answer about a crash waits for the control group to take the
// report, so that the caller's resend meets daemons that know of it.
inline constexpr state::Millis kCrashReportWait(300);

// How long the result of an action is reported to the register. Beyond it the
// entry stays `started`, which is never run again.
inline constexpr state::Millis kReportTime(30 * 1000);

// The delivery of a register call that only reports: no work waits for it.
inline constexpr uint64_t kNoDelivery = 0;

// Returns the refusal of an attempt, without load.
AttemptAnswer Refusal(const Attempt& attempt, state::RefusalReason reason);

// The state of a guard. guard.cc admits and starts work, guard_register.cc
// talks to the action register, guard_delivery.cc handles the ends of
// deliveries and crashes.
class Guard::Impl {
 public:
  Impl(std::string instance,
       uint64_t incarnation,
       RegisterClient* register_client,
       state::Counters* counters,
       state::Millis announcement_lifetime)
      : instance_(std::move(instance)),
        incarnation_(incarnation),
        register_client_(register_client),
        counters_(counters),
        target_(announcement_lifetime),
        crash_detector_(absl::StrCat(instance_, "-", incarnation, "-")) {}

  void SetIncarnation(uint64_t incarnation) { incarnation_ = incarnation; }

  GuardTarget* target() { return &target_; }
  const GuardTarget& target() const { return target_; }

  Commands OnAnnounced(const TargetAnnounced& announced, state::Millis now);

  Commands OnWithdrawn(const TargetWithdrawn& withdrawn);

  Commands OnAttempt(const std::string& connection,
                     const Attempt& attempt,
                     state::Millis now);

  Commands OnCancel(const Cancel& cancel, state::Millis now);

  Commands OnDeliveryEnded(const DeliveryEnded& ended, state::Millis now);

  Commands OnRegisterEnd(const RegisterEnd& end, state::Millis now);

  Commands OnCrashesReported(state::Millis now) { return FlushHeld(now, true); }

  Commands Tick(state::Millis now);

  state::GuardLoad Load() const;

  std::vector<CrashReport> TakeCrashReports();

  size_t work_in_progress() const;
  size_t reports_in_progress() const;

 private:
  struct Running {
    GuardWork work_;
    state::Millis started_;
    std::string nonce_;
    bool cancelled_ = false;
    int service_time_percent_ = 0;  // When it was started.
    int running_ = 0;  // Requests that ran then, this one included.
  };
  struct PendingRelease {
    const GuardWork work_ = {};
    const state::RefusalReason reason_ = state::RefusalReason::kNone;
  };
  struct Held {
    const ReplyToPeer reply_;
    const state::Millis until_;
  };

  ReplyToPeer Reply(const std::string& connection, const AttemptAnswer& answer);

  int running_count() const { return static_cast<int>(running_.size()); }
  int queued_count() const { return static_cast<int>(queue_.size()); }
  // Returns how many requests the target may run at a time.
  int slots() const { return slot_limit_.Limit(target_.slots()); }

  // Returns the expected time to answer one more attempt.
  state::Millis Expected() const;
  // Returns the expected time to answer this attempt behind what runs and
  // waits.
  state::Millis ExpectedFor(const Attempt& attempt, state::Millis now) const;
  // Returns why a routed attempt is not taken at this load, or kNone.
  state::RefusalReason CheckRoutedLoad(const Attempt& attempt,
                                       state::Millis now) const;

  Commands StartQueued(state::Millis now);

  bool MayStart(const GuardWork& work) const;

  Commands Start(const GuardWork& work, state::Millis now);

  DeliverToTarget Deliver(uint64_t delivery_id,
                          const GuardWork& work,
                          state::Millis now);

  Commands OnGranted(uint64_t delivery_id, Running* running, state::Millis now);

  // Gives a granted start back when no byte has reached the target. The ingress
  // is told once the register has taken it, since its next attempt would
  // otherwise find the action started.
  Commands Release(const Running& running,
                   state::RefusalReason reason,
                   state::Millis now);

  Commands OnReleased(const RegisterEnd& end);

  Commands CallRegister(uint64_t delivery_id,
                        const Running& running,
                        state::RegisterOperation operation,
                        const state::HttpAnswer& answer,
                        state::Millis deadline,
                        state::Millis now);

  Commands OnAnswered(const Running& running,
                      const state::HttpAnswer& answer,
                      state::Millis now);

  // Takes what the target said of its pace. When it has become slow or usual
  // again, tells the daemons that sent work lately, and gives queued work back
  // that another target may start sooner.
  Commands OnPace(int pace, state::Millis now);
  // Asks the target for its load when nothing has told it for a while.
  Commands ProbePace(state::Millis now);

  // Learns from a request that began and ended at the usual pace.
  void NoteUsualTime(const Running& running, state::Millis time);

  // The target states that it did not run the request.
  Commands OnDeclined(const Running& running,
                      const state::HttpAnswer& answer,
                      state::Millis now);
  // Whether the register knows the attempt.
  static bool IsKeyed(const Attempt& attempt);

  Commands OnConnectFailed(const Running& running, state::Millis now);

  // No byte of the request has reached the target.
  Commands OnNotDelivered(const Running& running,
                          state::RefusalReason reason,
                          state::Millis now);

  // The request was delivered and no whole answer came.
  Commands OnUnanswered(const Running& running,
                        state::RefusalReason reason,
                        state::Millis now);

  // The connection after a cut answer tells whether the process has gone.
  Commands OnChecked(DeliveryEnd end, state::Millis now);

  void ReportCrash(state::Millis now);

  Commands FlushHeld(state::Millis now, bool all);

  Commands RefuseQueued(state::RefusalReason reason);
  // Refuses the queued attempts that are meant for another target.
  Commands RefuseReplaced();

  Commands RefuseExpired(state::Millis now);
  // Refuses queued work that cannot be answered within its objective any more.
  Commands RefuseHopeless(state::Millis now);
  Commands RefuseAll(const std::vector<GuardWork>& works,
                     state::RefusalReason reason);

  const std::string instance_;
  uint64_t incarnation_;
  RegisterClient* const register_client_;
  state::Counters* const counters_;
  GuardTarget target_;
  AttemptMemory memory_;
  LatencyEstimate latency_;
  CrashDetector crash_detector_;
  std::vector<CrashReport> crashes_;
  ServiceTimes service_times_;
  SlotLimit slot_limit_;
  WorkQueue queue_{&service_times_};
  std::map<uint64_t, Running> running_;
  // Delivery, or kNoDelivery, by tag.
  std::map<uint64_t, uint64_t> register_calls_;
  std::map<std::string, PendingRelease> releases_;  // By nonce.
  std::vector<Held> held_;
  uint64_t next_delivery_ = 1;
  uint64_t check_id_ = 0;
  uint64_t next_tag_ = 0;
  int service_time_percent_ = 0;  // What the target last said.
  state::Millis pace_at_;
  uint64_t pace_probe_ = 0;  // Delivery of the probe in progress.
  state::Millis last_work_;
  RecentPeers recent_peers_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_GUARD_IMPL_H_
