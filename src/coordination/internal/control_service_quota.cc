#include <set>

#include "coordination/internal/control_service_impl.h"

namespace gooseberrygap::coordination {

QuotaOverview ControlService::Quotas(state::Millis now) {
  return impl_->Quotas(now);
}

QuotaOverview ControlService::Impl::Quotas(state::Millis now) {
  const bool is_owner = quota_owner_.MayGrant(now);
  return QuotaOverview{
      .is_owner_ = is_owner,
      .leader_address_ =
          status_.has_value() ? status_->leader_address_ : std::string(),
      .tenants_ = is_owner ? quota_owner_.Uses(now) : std::vector<QuotaUse>()};
}

void ControlService::Impl::UpdateQuotaLeadership(state::Millis now) {
  if (!status_->leads_) {
    quota_owner_.Stop();
    return;
  }
  if (quota_owner_.term() == status_->term_) {
    return;
  }
  // Without the whole table, daemons that are not in it may hold tokens, too.
  std::optional<std::set<std::string>> daemons;
  if (CanSendMembership(now)) {
    daemons.emplace();
    // With those that have left: their daemons may still run.
    table_.FindChange(0, [&daemons](const state::MembershipRecord& known) {
      daemons->insert(known.record_.instance_);
      return false;
    });
  }
  quota_owner_.Start(status_->term_, daemons, now);
  first_tag_of_leadership_ = next_tag_;
}

void ControlService::Impl::OnMessage(const std::string& connection,
                                     const QuotaReport& report,
                                     state::Millis now) {
  // The status is up to 10 ms old, or older after a pause of the process, so
  // that the end of the authority is compared with the time.
  const bool has_authority = status_.has_value() && status_->leads_ &&
                             now < status_->authority_until_ &&
                             quota_owner_.term() == status_->term_ &&
                             quota_owner_.MayGrant(now);
  if (!has_authority) {
    // Answered, since the daemon counts a link without answers as lost.
    const bool other_leads = status_.has_value() && !status_->leads_;
    step_.commands_.push_back(ReplyToPeer{
        .connection_ = connection,
        .message_ =
            QuotaGrant{.leader_address_ = other_leads ? status_->leader_address_
                                                      : std::string(),
                       .report_number_ = report.number_}});
    return;
  }
  const std::optional<QuotaGrant> grant = quota_owner_.OnReport(report, now);
  if (grant.has_value()) {
    counters_->Add(state::Counter::kQuotaReportsAnswered);
    step_.commands_.push_back(
        ReplyToPeer{.connection_ = connection, .message_ = *grant});
  }
}

}  // namespace gooseberrygap::coordination
