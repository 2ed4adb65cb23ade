#include <algorithm>

#include "coordination/internal/control_service_impl.h"

namespace gooseberrygap::coordination {

namespace {

// Reports that have not been applied are sent again after this time. Longer
// than a commit and the next heartbeat of the log take.
constexpr state::Millis kStoreRepeat(300);
// Reports that are not stored within this time are too old to say anything
// about their requests.
constexpr state::Millis kMaxReportAge(60000);

}  // namespace

std::vector<CrashReport> ControlService::Impl::AddCrashes(
    const std::vector<CrashReport>& reports,
    state::Millis at) {
  std::vector<CrashReport> added;
  const size_t convictions = crash_history_.convictions();
  for (const CrashReport& report : reports) {
    if (crash_history_.Add(report, poison_policy(), at)) {
      added.push_back(report);
    }
  }
  crash_history_.ConvictSharedFingerprint(poison_policy(), at);
  counters_->Add(state::Counter::kFingerprintsConvicted,
                 crash_history_.convictions() - convictions);
  return added;
}

void ControlService::Impl::ReceiveCrashes(const LeaseRenew& renew,
                                          state::Millis now) {
  const bool is_new_crash =
      std::any_of(renew.crashes_.begin(), renew.crashes_.end(),
                  [this](const CrashReport& crash) {
                    return !crash_history_.HasCrash(crash.crash_id_);
                  });
  const size_t convictions = crash_history_.convictions();
  const std::vector<CrashReport> added = AddCrashes(renew.crashes_, now);
  for (const CrashReport& crash : added) {
    recent_crashes_.emplace_back(now, crash);
  }
  if (is_new_crash) {
    // Plus one, since an abandon covers lower incarnations only, and the crash
    // ended the actions of the guard's current incarnation too.
    crash_abandons_[renew.instance_] =
        CrashAbandon{.incarnation_ = renew.record_.version_.incarnation_ + 1,
                     .crashed_at_ = now};
    SendCrashAbandons(now);
  }
  if (!added.empty() || crash_history_.convictions() != convictions) {
    exchange_.ScheduleSend();
    push_all_ = true;
    SchedulePush(now);
  }
  StoreCrashes(renew.instance_, renew.crashes_, now);
}

std::vector<CrashReport> ControlService::Impl::UnstoredOf(
    const std::vector<CrashReport>& reports) const {
  std::vector<CrashReport> unstored;
  for (const CrashReport& report : reports) {
    if (!crash_table_.Contains(report)) {
      unstored.push_back(report);
    }
  }
  return unstored;
}

std::vector<std::string> ControlService::Impl::StoredCrashIds(
    const std::vector<CrashReport>& reports) const {
  std::set<std::string> stored;
  for (const CrashReport& report : reports) {
    stored.insert(report.crash_id_);
  }
  for (const CrashReport& report : UnstoredOf(reports)) {
    stored.erase(report.crash_id_);
  }
  return {stored.begin(), stored.end()};
}

void ControlService::Impl::StoreCrashes(const std::string& instance,
                                        const std::vector<CrashReport>& reports,
                                        state::Millis now) {
  std::vector<CrashReport> unstored = UnstoredOf(reports);
  if (unstored.empty()) {
    return;
  }
  const auto known = unstored_crashes_.find(instance);
  if (known == unstored_crashes_.end() || known->second.reports_ != unstored) {
    state::Replace(
        &unstored_crashes_, instance,
        UnstoredCrashes{.reports_ = std::move(unstored), .reported_at_ = now});
  }
  SendUnstoredCrashes(now);
}

void ControlService::Impl::SendUnstoredCrashes(state::Millis now) {
  std::erase_if(unstored_crashes_, [this, now](const auto& entry) {
    return now - entry.second.reported_at_ >= kMaxReportAge ||
           UnstoredOf(entry.second.reports_).empty();
  });
  const bool other_leads = status_.has_value() && !status_->leads_ &&
                           !status_->leader_address_.empty();
  if (!other_leads && !LeadsWithQuorum()) {
    return;
  }
  for (auto& [instance, unstored] : unstored_crashes_) {
    if (unstored.sent_at_.has_value() &&
        now - *unstored.sent_at_ < kStoreRepeat) {
      continue;
    }
    unstored.sent_at_ = now;
    if (other_leads) {
      step_.commands_.push_back(
          SendToPeer{.address_ = status_->leader_address_,
                     .message_ = CrashSubmit{.reports_ = unstored.reports_}});
      continue;
    }
    Propose(state::RecordCrashes{.reports_ = unstored.reports_},
            PendingProposal{.kind_ = ProposalKind::kCrashes}, now);
  }
}

void ControlService::Impl::OnMessage(const std::string&,
                                     const CrashSubmit& submit,
                                     state::Millis now) {
  const std::vector<CrashReport> unstored = UnstoredOf(submit.reports_);
  if (LeadsWithQuorum() && !unstored.empty()) {
    Propose(state::RecordCrashes{.reports_ = unstored},
            PendingProposal{.kind_ = ProposalKind::kCrashes}, now);
  }
}

void ControlService::Impl::Apply(const state::RecordCrashes& change,
                                 const EntryCommitted& entry,
                                 state::Millis now) {
  const uint64_t wall_millis = entry.command_->wall_millis_;
  const state::PoisonPolicy policy = poison_policy();
  const std::vector<CrashReport> stored =
      crash_table_.Apply(change, wall_millis, policy.window_ + policy.hold_);
  // As earlier builds do, which know the entry as an ExpireKeys.
  register_.Expire(wall_millis);
  TakePending(*entry.command_);
  const state::Millis at = TimeOf(wall_millis, now);
  crash_history_.Tick(policy, at);
  const size_t convictions = crash_history_.convictions();
  const bool changed = !AddCrashes(stored, at).empty() ||
                       crash_history_.convictions() != convictions;
  crash_history_.Tick(policy, now);
  if (changed) {
    push_all_ = true;
    SchedulePush(now);
  }
  for (auto& [instance, session] : sessions_) {
    if (!session.crashes_.empty()) {
      Reply(instance, &session, Confirmation::kUnconfirmed, now);
    }
  }
}

void ControlService::Impl::ReplayCrashes(state::Millis now) {
  const state::PoisonPolicy policy = poison_policy();
  for (const state::StoredCrash& stored : crash_table_.Snapshot()) {
    const state::Millis at = TimeOf(stored.wall_millis_, now);
    crash_history_.Tick(policy, at);
    AddCrashes({stored.report_}, at);
  }
  crash_history_.Tick(policy, now);
}

state::Millis ControlService::Impl::TimeOf(uint64_t wall_millis,
                                           state::Millis now) const {
  const double wall_now =
      static_cast<double>(wall_millis_) + (now - wall_at_).value();
  // A clock that was set back must not move an entry into the future.
  return now - state::Millis(
                   std::max(wall_now - static_cast<double>(wall_millis), 0.0));
}

}  // namespace gooseberrygap::coordination
