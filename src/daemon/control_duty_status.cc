#include "daemon/control_duty.h"

#include "absl/strings/str_cat.h"
#include "daemon/control_results.h"
#include "daemon/logging.h"

namespace gooseberrygap::daemon {

namespace {

// A write that takes longer is shown as a failure of the disk. Longer than the
// writes of a disk that is only busy.
constexpr state::Millis kMaxWriteTime(3000);

}  // namespace

std::string ControlDuty::RoleName() const {
  return CurrentError().empty() ? std::string(NameOf(raft_->role())) : "failed";
}

std::string ControlDuty::CurrentError() const {
  const state::Millis write_time =
      disk_ == nullptr ? state::Millis(0) : disk_->WriteTime();
  if (!error_.empty() || write_time < kMaxWriteTime) {
    return error_;
  }
  return absl::StrCat("The disk has not finished a write for ",
                      static_cast<int64_t>(write_time.value()),
                      " ms; check the disk of the folder \"",
                      options_.settings_.data_dir_, "\".");
}

void ControlDuty::AnswerStatus(StatusSlot* slot) const {
  slot->Put(protocol::ControlStatus{.identity_ = raft_->identity(),
                                    .instance_ = options_.self_.instance_,
                                    .address_ = options_.self_.address_,
                                    .formed_ = !raft_->members().empty(),
                                    .role_ = RoleName(),
                                    .term_ = raft_->term(),
                                    .leader_ = raft_->leader(),
                                    .commit_index_ = raft_->commit_index(),
                                    .members_ = raft_->members(),
                                    .error_ = CurrentError()});
}

void ControlDuty::LogOutage(state::Millis now) {
  const auto line = outage_log_.Update(
      ControlRoleState{.role_ = RoleName(),
                       .term_ = raft_->term(),
                       .leader_ = raft_->leader_address(),
                       .commit_index_ = raft_->commit_index(),
                       .staleness_ = raft_->ContactAge(now),
                       .error_ = CurrentError()},
      now);
  if (line.has_value()) {
    Log(*line);
  }
}

void ControlDuty::LogConfiguration() {
  const state::IndexedConfiguration current = service_.configuration();
  if (current.index_ == logged_configuration_) {
    return;
  }
  logged_configuration_ = current.index_;
  Log({.event_ = "control_configuration",
       .fields_ = {
           {"index", static_cast<int64_t>(current.index_)},
           {"version", static_cast<int64_t>(current.configuration_->version_)},
           {"term", static_cast<int64_t>(raft_->term())},
           {"staleness_ms", raft_->Staleness(clock_.Now()).value()}}});
}

void ControlDuty::LogDiskFailed(const state::Error& error) {
  disk_failed_ = true;
  error_ = error.message_;
  Log({.level_ = state::LogLevel::kError,
       .event_ = "log_write_failed",
       .fields_ = {{"error", error.message_}}});
}

void ControlDuty::LogDiskWorks() {
  if (disk_failed_) {
    disk_failed_ = false;
    error_.clear();
    Log({.event_ = "log_write_recovered"});
  }
}

void ControlDuty::Fail(const state::Error& error) {
  if (failed_) {
    return;
  }
  failed_ = true;
  error_ = error.message_;
  Log({.level_ = state::LogLevel::kError,
       .event_ = "control_role_stopped",
       .fields_ = {{"error", error.message_}}});
}

}  // namespace gooseberrygap::daemon
