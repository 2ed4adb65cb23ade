#include "coordination/api/service_time.h"
#include "coordination/internal/guard_impl.h"

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;
using state::TargetState;

// Each answer reports the service time. When the last report is this old, the
// target is probed.
constexpr state::Millis kMaxServiceTimeAge(50);
constexpr state::Millis kProbeTimeout(500);
// A target that has received no work for this long is not probed.
constexpr state::Millis kProbeIdleLimit(2000);

}  // namespace

Commands Guard::Impl::OnServiceTimePercent(int percent,
                                           const GuardWork* ended,
                                           state::Millis now) {
  const bool has_changed =
      IsSlowServiceTime(percent) != IsSlowServiceTime(service_time_percent_);
  service_time_percent_ = percent;
  service_time_checked_at_ = now;
  if (!has_changed) {
    return {};
  }
  Commands commands = NotifyLoad(ended, now);
  if (!IsSlowServiceTime(percent)) {
    return commands;
  }
  Append(&commands, RefuseAll(queue_.TakeIf([](const GuardWork& work) {
    return !work.attempt_.may_queue_;
  }),
                              RefusalReason::kSlow));
  return commands;
}

Commands Guard::Impl::NotifyLoad(const GuardWork* ended, state::Millis now) {
  Commands commands;
  for (const std::string& connection : ConcernedPeers(ended, now)) {
    commands.push_back(ReplyToPeer{
        .connection_ = connection,
        .message_ = LoadNotice{.target_ = target_.announcement().target_,
                               .load_ = Load()}});
  }
  return commands;
}

std::set<std::string> Guard::Impl::ConcernedPeers(const GuardWork* ended,
                                                  state::Millis now) {
  const std::vector<std::string> frequent = recent_peers_.TakeFrequent(now);
  std::set<std::string> connections(frequent.begin(), frequent.end());
  const auto add = [this, &connections](const GuardWork& work) {
    const auto resumed =
        resumed_connections_.find(AttemptId::Of(work.attempt_));
    connections.insert(resumed == resumed_connections_.end() ? work.connection_
                                                             : resumed->second);
  };
  if (ended != nullptr) {
    add(*ended);
  }
  for (const GuardWork& work : queue_.works()) {
    add(work);
  }
  for (const auto& [delivery_id, running] : running_) {
    add(running.work_);
  }
  return connections;
}

Commands Guard::Impl::ProbeTargetLoad(state::Millis now) {
  const std::string path = target_.HealthPath();
  const bool is_report_due =
      service_time_percent_ > 0 &&
      now - service_time_checked_at_ >= kMaxServiceTimeAge &&
      now - last_work_ < kProbeIdleLimit;
  const bool is_wanted =
      warmup_.IsUncertain(now) ? warmup_.IsHealthDue(now) : is_report_due;
  const bool is_due = is_wanted && load_probe_delivery_ == 0 &&
                      target_.state() == TargetState::kServing;
  if (path.empty() || !is_due) {
    return {};
  }
  load_probe_delivery_ = next_delivery_++;
  counters_->Add(state::Counter::kPaceProbes);
  warmup_.OnHealthSent(now);
  return {DeliverToTarget{
      .delivery_id_ = load_probe_delivery_,
      .address_ = target_.announcement().address_,
      .request_ = state::HttpRequest{.method_ = "GET", .path_ = path},
      .is_load_probe_ = true,
      .timeout_ = kProbeTimeout}};
}

}  // namespace gooseberrygap::coordination
