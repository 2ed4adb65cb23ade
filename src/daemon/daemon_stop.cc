#include "absl/time/clock.h"
#include "daemon/daemon.h"
#include "daemon/logging.h"

namespace gooseberrygap::daemon {

namespace {

// Time between the drain and the closing of the HTTP server. The drain reaches
// the daemons that call this target within it, so that the closing guard
// refuses few attempts.
constexpr absl::Duration kDrainPropagationTime = absl::Milliseconds(300);
// Time between the drain and the closing of the platform's front. Admitted work
// ends within it, and the other daemons receive the drain.
constexpr absl::Duration kPlatformDrainTime = absl::Milliseconds(800);
constexpr absl::Duration kWorkPollInterval = absl::Milliseconds(20);
// Limit of a stopping daemon's wait for the register to confirm the ends of
// actions: twice the time of an election. Without a confirmation the entry
// stays `started`, and the action is never run again.
constexpr state::Millis kReportTimeout(4000);

// Limit, from the beginning of a stop, of the wait until a successor has the
// place of this member of the control group. A learner that has just been added
// catches up within it, and a stop that has waited for it still ends within the
// grace of a platform.
constexpr state::Millis kLeaveTimeout(4000);
constexpr state::Millis kShortestLeaveWait(50);

}  // namespace

void Daemon::StopGracefully() {
  Log({.event_ = "stop_begun"});
  const state::SteadyClock clock;
  const state::Millis begun_at = clock.Now();
  if (control_ != nullptr) {
    control_->Leave();
  }
  if (event_front_ != nullptr) {
    event_front_->AnnounceStop();
    // The target keeps running while its daemon stops, so that its slots stay
    // in use while callers still send calls.
    absl::SleepFor(
        absl::Milliseconds(settings_.platform_->stop_notice_.value()) -
        kPlatformDrainTime);
    node_->Post(coordination::DrainRequested{});
    absl::SleepFor(kPlatformDrainTime);
    event_front_->StopGracefully();
  } else {
    node_->Post(coordination::DrainRequested{});
  }
  absl::SleepFor(kDrainPropagationTime);
  http_server_->StopGracefully();
  WaitUntilIdle();
  node_->Post(coordination::TargetWithdrawn{});
  absl::SleepFor(kWorkPollInterval);
  WaitUntilLeft(kLeaveTimeout - (clock.Now() - begun_at));
  Log({.event_ = "stop_work_done"});
}

void Daemon::WaitUntilLeft(state::Millis timeout) {
  if (control_ == nullptr) {
    return;
  }
  const bool has_left =
      control_->WaitUntilLeft(std::max(timeout, kShortestLeaveWait));
  if (!has_left) {
    Log({.level_ = state::LogLevel::kWarning,
         .event_ = "stop_without_successor",
         .fields_ = {{"waited_ms", kLeaveTimeout.value()}}});
  }
}

void Daemon::WaitUntilIdle() {
  const state::SteadyClock clock;
  std::optional<state::Millis> waiting_for_register_since;
  while (true) {
    const std::optional<NodeView> view = node_->View();
    const bool has_work = !view.has_value() ||
                          view->status_.calls_in_progress_ > 0 ||
                          view->status_.work_in_progress_ > 0;
    if (has_work) {
      waiting_for_register_since.reset();
    } else if (view->status_.reports_in_progress_ == 0) {
      return;
    } else if (!waiting_for_register_since.has_value()) {
      waiting_for_register_since = clock.Now();
    } else if (clock.Now() - *waiting_for_register_since >= kReportTimeout) {
      Log({.level_ = state::LogLevel::kWarning,
           .event_ = "stop_without_register",
           .fields_ = {{"reports", static_cast<int64_t>(
                                       view->status_.reports_in_progress_)}}});
      return;
    }
    absl::SleepFor(kWorkPollInterval);
  }
}

}  // namespace gooseberrygap::daemon
