#include "coordination/api/service_time.h"
#include "coordination/internal/guard_impl.h"

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;
using state::TargetState;

// Each answer tells the pace. Without one for this long the target is asked.
constexpr state::Millis kProbeWhenOlder(50);
constexpr state::Millis kProbeTimeout(500);
// A target without work for this long is not asked.
constexpr state::Millis kProbeIdleLimit(2000);

}  // namespace

Commands Guard::Impl::OnPace(int pace, state::Millis now) {
  const bool has_changed =
      IsSlowServiceTime(pace) != IsSlowServiceTime(service_time_percent_);
  service_time_percent_ = pace;
  pace_at_ = now;
  if (!has_changed) {
    return {};
  }
  Commands commands;
  for (const std::string& connection : recent_peers_.Take(now)) {
    commands.push_back(ReplyToPeer{
        .connection_ = connection,
        .message_ = LoadNotice{.target_ = target_.announced().target_,
                               .load_ = Load()}});
  }
  if (!IsSlowServiceTime(pace)) {
    return commands;
  }
  Append(&commands, RefuseAll(queue_.TakeIf([](const GuardWork& work) {
    return !work.attempt_.may_queue_;
  }),
                              RefusalReason::kSlow));
  return commands;
}

Commands Guard::Impl::ProbePace(state::Millis now) {
  const std::string path = target_.HealthPath();
  const bool is_due = service_time_percent_ > 0 && pace_probe_ == 0 &&
                      now - pace_at_ >= kProbeWhenOlder &&
                      now - last_work_ < kProbeIdleLimit &&
                      target_.state() == TargetState::kServing;
  if (path.empty() || !is_due) {
    return {};
  }
  pace_probe_ = next_delivery_++;
  counters_->Add(state::Counter::kPaceProbes);
  return {DeliverToTarget{
      .delivery_id_ = pace_probe_,
      .address_ = target_.announced().address_,
      .request_ = state::HttpRequest{.method_ = "GET", .path_ = path},
      .is_load_probe_ = true,
      .timeout_ = kProbeTimeout}};
}

}  // namespace gooseberrygap::coordination
