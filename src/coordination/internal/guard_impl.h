#ifndef COORDINATION_INTERNAL_GUARD_IMPL_H_
#define COORDINATION_INTERNAL_GUARD_IMPL_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "coordination/internal/guard_target.h"
#include "coordination/internal/guard_work.h"
#include "coordination/internal/recent_answers.h"
#include "coordination/internal/recent_peers.h"
#include "coordination/internal/slot_limit.h"
#include "coordination/internal/warmup_limit.h"
#include "coordination/internal/work_queue.h"

namespace gooseberrygap::coordination {

// How long the answer to a request that may have crashed the target is delayed
// until the control group accepts the crash report, so that the caller's resend
// reaches daemons that have received the report.
inline constexpr state::Millis kCrashReportWait(300);

// How long the guard tries to report the end of an action to the register.
// Without a report the entry stays `started`, and the action never runs again.
inline constexpr state::Millis kRegisterReportTimeout(30 * 1000);

// Delivery id of a register call that only reports: no work waits for it.
inline constexpr uint64_t kNoDelivery = 0;

// Returns the refusal of an attempt, without load.
AttemptAnswer Refusal(const Attempt& attempt, state::RefusalReason reason);

// The state of a guard. guard.cc admits and starts work, guard_resume.cc sends
// answers, also on links that have replaced others, guard_register.cc
// calls the action register, guard_delivery.cc handles the ends of deliveries
// and crashes, guard_service_time.cc handles changes of the target's service
// time, guard_evacuation.cc applies evacuations, guard_refusals.cc refuses
// queued work, guard_warmup.cc limits the requests to a cold target.
class Guard::Impl {
 public:
  Impl(std::string instance,
       uint64_t incarnation,
       RegisterClient* register_client,
       state::Counters* counters,
       state::Millis announcement_lifetime,
       std::string failure_domain,
       const WarmupTolerance& warmup)
      : failure_domain_(std::move(failure_domain)),
        instance_(std::move(instance)),
        incarnation_(incarnation),
        register_client_(register_client),
        counters_(counters),
        target_(announcement_lifetime),
        requires_configuration_(!(warmup == WarmupTolerance())),
        warmup_(warmup),
        crash_detector_(absl::StrCat(instance_, "-", incarnation, "-")) {}

  void SetIncarnation(uint64_t incarnation) { incarnation_ = incarnation; }

  // Must be called with the time of each event before the event is handled.
  void Observe(state::Millis now) { warmup_.Observe(now); }
  void UpdateConfiguration(const state::IndexedConfiguration& configuration);

  GuardTarget* target() { return &target_; }
  const GuardTarget& target() const { return target_; }

  Commands UpdateEvacuations(const state::Evacuations& evacuations,
                             state::Millis now);

  Commands OnAnnounced(const TargetAnnounced& announced, state::Millis now);

  Commands OnWithdrawn(const TargetWithdrawn& withdrawn);

  Commands RestoreWithdrawal(const state::TargetWithdrawal& withdrawal);

  Commands OnAttempt(const std::string& connection,
                     const Attempt& attempt,
                     state::Millis now);

  Commands OnResume(const std::string& connection, const ResumeAttempt& resume);

  Commands OnCancel(const Cancel& cancel, state::Millis now);

  Commands OnDeliveryEnded(const DeliveryEnded& ended, state::Millis now);

  Commands OnConnectionsClosed(const TargetConnectionsClosed& closed,
                               state::Millis now);

  Commands OnRegisterEnd(const RegisterEnd& end, state::Millis now);

  Commands OnCrashesReported(state::Millis now) {
    return SendDelayedReplies(now, true);
  }

  Commands Tick(state::Millis now);

  state::GuardLoad Load() const;

  std::vector<CrashReport> TakeCrashReports();

  size_t work_in_progress() const;
  size_t reports_in_progress() const;

 private:
  struct RunningWork {
    GuardWork work_;
    bool is_delivered_ = false;
    state::Millis started_;
    std::string nonce_;
    bool cancelled_ = false;
    // The target's service time, and the number of running requests, this one
    // included, when the work was started.
    int service_time_percent_ = 0;
    int running_at_start_ = 0;
  };
  struct PendingRelease {
    const GuardWork work_ = {};
    const state::RefusalReason reason_ = state::RefusalReason::kNone;
  };
  struct DelayedReply {
    const ReplyToPeer reply_;
    const state::Millis until_;
  };

  // Returns the answer with the current load, on the connection on which the
  // attempt was resumed if there is one.
  ReplyToPeer Reply(const std::string& connection, const AttemptAnswer& answer);
  // Returns whether the attempt is queued, running or being released.
  bool IsInProgress(const AttemptId& id) const;

  int running_count() const { return static_cast<int>(running_.size()); }
  int queued_count() const { return static_cast<int>(queue_.size()); }
  // Returns how many requests may run at the target at a time.
  int slots() const { return slot_limit_.Limit(target_.slots()); }

  // Returns the expected time until one more attempt is answered.
  state::Millis ExpectedLatency() const;
  // Returns the expected time until this routed attempt is answered, after the
  // work that runs or is queued.
  state::Millis ExpectedRoutedLatency(const Attempt& attempt,
                                      state::Millis now) const;
  // Returns why a routed attempt is refused at this load, or kNone.
  state::RefusalReason CheckRoutedLoad(const Attempt& attempt,
                                       state::Millis now) const;

  Commands StartQueued(state::Millis now);

  bool MayStart(const GuardWork& work, state::Millis now) const;

  Commands Start(const GuardWork& work, state::Millis now);

  // Returns the time from which the work must not be sent any more, if any.
  std::optional<state::Millis> SendBefore(const GuardWork& work,
                                          state::Millis now) const;

  DeliverToTarget Deliver(uint64_t delivery_id,
                          const GuardWork& work,
                          state::Millis now);

  Commands OnGranted(uint64_t delivery_id,
                     RunningWork* running,
                     state::Millis now);

  // Returns why an attempt that the target could run is refused while the
  // target is cold or may be, or kNone.
  state::RefusalReason CheckWarmup(const Attempt& attempt,
                                   state::Millis now) const;
  // Returns why an action whose start was granted must not be delivered, or
  // kNone.
  state::RefusalReason CheckGranted(const RunningWork& running,
                                    state::Millis now) const;
  // Returns how many starts of actions are requested and not granted yet. Each
  // will be a delivery.
  int requested_starts(state::Millis now) const;
  // Records an announcement that was accepted.
  void OnAnnouncedWarmup(const TargetAnnounced& announced, state::Millis now);
  // Records what the end of a delivery says of the target's state.
  void OnDeliveryEndedWarmup(const DeliveryEnded& ended, state::Millis now);
  // Records what the end of a request for the target's load says of it.
  void OnLoadProbeEndedWarmup(const DeliveryEnded& ended, state::Millis now);
  // Reports a change of the limit, and refuses queued work for which other
  // targets may have room when it comes into force.
  Commands TickWarmup(state::Millis now);

  // Releases a granted start when no byte has reached the target. The ingress
  // gets the refusal once the register has processed the release, since its
  // next attempt would otherwise find the action started.
  Commands Release(const RunningWork& running,
                   state::RefusalReason reason,
                   state::Millis now);

  Commands OnReleased(const RegisterEnd& end);

  Commands CallRegister(uint64_t delivery_id,
                        const RunningWork& running,
                        state::RegisterOperation operation,
                        const state::HttpAnswer& answer,
                        state::Millis deadline,
                        state::Millis now);

  Commands OnAnswered(const RunningWork& running,
                      const state::HttpAnswer& answer,
                      state::Millis now);

  // Records the service time that the target reported. When the target has
  // become slow, or is no longer slow, sends its load to the daemons that
  // recently sent work. A slow target also refuses queued work that another
  // target may start sooner.
  // `ended` is the work whose answer reported the time, or null; that answer
  // carries the load before the change.
  Commands OnServiceTimePercent(int percent,
                                const GuardWork* ended,
                                state::Millis now);
  // Returns the connections of the daemons that have work here, sent the ended
  // work, or often send some.
  std::set<std::string> ConcernedPeers(const GuardWork* ended,
                                       state::Millis now);
  // Sends the target's load to the concerned peers.
  Commands NotifyLoad(const GuardWork* ended, state::Millis now);
  // Requests the target's load when the last report is too old.
  Commands ProbeTargetLoad(state::Millis now);

  // Records the duration of a request that began and ended while the speed of
  // the target was the same and not slow.
  void RecordServiceTime(const RunningWork& running, state::Millis time);

  // Handles an answer that states that the target did not run the request.
  Commands OnDeclined(const RunningWork& running,
                      const state::HttpAnswer& answer,
                      state::Millis now);
  // Returns whether the attempt has an entry in the register.
  static bool IsKeyed(const Attempt& attempt);

  Commands OnConnectFailed(const RunningWork& running, state::Millis now);

  // Handles a delivery of which no byte has reached the target.
  Commands OnNotDelivered(const RunningWork& running,
                          state::RefusalReason reason,
                          state::Millis now);

  // Returns why a delivery was not sent in time.
  state::RefusalReason WhyNotSent(const GuardWork& work,
                                  state::Millis now) const;

  // Handles a delivered request without a complete answer.
  Commands OnUnanswered(const RunningWork& running,
                        state::RefusalReason reason,
                        state::Millis now);

  // Handles the end of the test connection that follows an incomplete answer:
  // if it failed, the target's process has exited.
  Commands OnCrashCheckEnded(DeliveryEnd end, state::Millis now);

  void ReportCrash(state::Millis now);

  Commands SendDelayedReplies(state::Millis now, bool all);

  Commands RefuseQueued(state::RefusalReason reason);
  // Refuses the queued attempts that are meant for another target.
  Commands RefuseReplaced();

  Commands RefuseExpired(state::Millis now);
  // Refuses queued routed work that can no longer be answered within its
  // objective.
  Commands RefuseMissedObjectives(state::Millis now);
  Commands RefuseAll(const std::vector<GuardWork>& works,
                     state::RefusalReason reason);

  const std::string failure_domain_;
  bool is_evacuated_ = false;
  const std::string instance_;
  uint64_t incarnation_;
  RegisterClient* const register_client_;
  state::Counters* const counters_;
  GuardTarget target_;
  // The settings promise a limit, which only the configuration tells.
  const bool requires_configuration_;
  WarmupLimit warmup_;
  AttemptDeduplicator deduplicator_;
  LatencyEstimate latency_;
  CrashDetector crash_detector_;
  std::vector<CrashReport> crashes_;
  ServiceTimes service_times_;
  SlotLimit slot_limit_;
  WorkQueue queue_{&service_times_};
  std::map<uint64_t, RunningWork> running_;
  // Delivery id, or kNoDelivery, by tag of the register call.
  std::map<uint64_t, uint64_t> register_calls_;
  std::map<std::string, PendingRelease> releases_;  // By nonce.
  std::vector<DelayedReply> delayed_replies_;
  // New connections of attempts in progress whose link was replaced.
  std::map<AttemptId, std::string> resumed_connections_;
  RecentAnswers recent_answers_;
  uint64_t next_delivery_ = 1;
  uint64_t crash_check_delivery_ = 0;
  uint64_t next_tag_ = 0;
  int service_time_percent_ = 0;  // Last report of the target; 0 is unknown.
  state::Millis service_time_checked_at_;
  uint64_t load_probe_delivery_ = 0;  // Id of the probe in progress, or 0.
  state::Millis last_work_;
  RecentPeers recent_peers_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_GUARD_IMPL_H_
