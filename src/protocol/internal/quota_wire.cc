#include "protocol/internal/quota_wire.h"

#include <cmath>
#include <vector>

namespace gooseberrygap::protocol {

namespace {

// Counts of tokens beyond this are faults: the owner computes with doubles,
// which hold larger integers inexactly.
constexpr uint64_t kMaxTokens = uint64_t{1} << 40;

uint64_t CountOf(uint64_t value, WireReader* reader) {
  if (value > kMaxTokens) {
    reader->SetInvalid();
    return 0;
  }
  return value;
}

double DemandOf(double value, WireReader* reader) {
  if (!std::isfinite(value) || value < 0) {
    reader->SetInvalid();
    return 0;
  }
  return value;
}

}  // namespace

void ToWire(const coordination::QuotaReport& value, wire::QuotaReport* out) {
  out->set_instance(value.instance_);
  out->set_incarnation(value.incarnation_);
  out->set_number(value.number_);
  out->set_first_number(value.first_number_);
  out->set_term(value.term_);
  out->set_applied_grant(value.applied_grant_);
  for (const coordination::QuotaNeed& need : value.needs_) {
    wire::QuotaNeed* entry = out->add_needs();
    entry->set_tenant(need.tenant_);
    entry->set_held(need.held_);
    entry->set_spent(need.spent_);
    entry->set_needed(need.needed_);
    entry->set_goal(need.goal_);
    entry->set_demand(static_cast<float>(need.demand_));
    entry->set_refused(need.refused_);
  }
}

void ToWire(const coordination::QuotaGrant& value, wire::QuotaGrant* out) {
  out->set_is_owner(value.is_owner_);
  out->set_leader_address(value.leader_address_);
  out->set_term(value.term_);
  out->set_number(value.number_);
  out->set_report_number(value.report_number_);
  for (const coordination::QuotaTokens& tokens : value.tokens_) {
    wire::QuotaTokens* entry = out->add_tokens();
    entry->set_tenant(tokens.tenant_);
    entry->set_tokens(tokens.tokens_);
    entry->set_denied_for(static_cast<float>(tokens.denied_for_.value()));
    entry->set_token_interval(
        static_cast<float>(tokens.token_interval_.value()));
  }
}

coordination::QuotaReport FromWire(const wire::QuotaReport& in,
                                   WireReader* reader) {
  std::vector<coordination::QuotaNeed> needs;
  needs.reserve(in.needs_size());
  for (const wire::QuotaNeed& need : in.needs()) {
    needs.push_back(
        coordination::QuotaNeed{.tenant_ = need.tenant(),
                                .held_ = CountOf(need.held(), reader),
                                .spent_ = CountOf(need.spent(), reader),
                                .needed_ = CountOf(need.needed(), reader),
                                .goal_ = CountOf(need.goal(), reader),
                                .demand_ = DemandOf(need.demand(), reader),
                                .refused_ = need.refused()});
  }
  return coordination::QuotaReport{.instance_ = in.instance(),
                                   .incarnation_ = in.incarnation(),
                                   .number_ = in.number(),
                                   .first_number_ = in.first_number(),
                                   .term_ = in.term(),
                                   .applied_grant_ = in.applied_grant(),
                                   .needs_ = needs};
}

coordination::QuotaGrant FromWire(const wire::QuotaGrant& in,
                                  WireReader* reader) {
  std::vector<coordination::QuotaTokens> tokens;
  tokens.reserve(in.tokens_size());
  for (const wire::QuotaTokens& entry : in.tokens()) {
    tokens.push_back(coordination::QuotaTokens{
        .tenant_ = entry.tenant(),
        .tokens_ = CountOf(entry.tokens(), reader),
        .denied_for_ = reader->MillisOf(entry.denied_for()),
        .token_interval_ = reader->MillisOf(entry.token_interval())});
  }
  return coordination::QuotaGrant{.is_owner_ = in.is_owner(),
                                  .leader_address_ = in.leader_address(),
                                  .term_ = in.term(),
                                  .number_ = in.number(),
                                  .report_number_ = in.report_number(),
                                  .tokens_ = tokens};
}

}  // namespace gooseberrygap::protocol
