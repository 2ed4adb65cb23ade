#include "coordination/internal/load_meter.h"

namespace gooseberrygap::coordination {

namespace {

// Upper bounds of the encoded sizes with ZMTP framing, so that the budget is
// never exceeded: a frame header, the magic number, and each field with its
// largest varint. The reply's bound excludes the target's name.
constexpr double kProbeBytes = 20;
constexpr double kProbeReplyBytes = 62;

struct LinkCounters {
  const state::Counter bytes_;
  const state::Counter messages_;
};

constexpr LinkCounters kLoadCounters[] = {
    {state::Counter::kLoadBytesDomain, state::Counter::kLoadMessagesDomain},
    {state::Counter::kLoadBytesRegion, state::Counter::kLoadMessagesRegion},
    {state::Counter::kLoadBytesCrossRegion,
     state::Counter::kLoadMessagesCrossRegion},
};

}  // namespace

void LoadMeter::SetBudget(const state::LoadBudget& budget) {
  bytes_.SetRate(budget.bytes_per_second_);
  messages_.SetRate(budget.messages_per_second_);
  cross_region_bytes_.SetRate(budget.cross_region_bytes_per_second_);
}

bool LoadMeter::TakeProbe(LinkClass link,
                          size_t name_bytes,
                          state::Millis now) {
  const double bytes =
      kProbeBytes + kProbeReplyBytes + static_cast<double>(name_bytes);
  constexpr double kMessages = 2;
  const bool is_cross_region = link == LinkClass::kCrossRegion;
  const bool has_budget =
      bytes_.Has(bytes, now) && messages_.Has(kMessages, now) &&
      (!is_cross_region || cross_region_bytes_.Has(bytes, now));
  if (!has_budget) {
    counters_->Add(state::Counter::kLoadBudgetExhausted);
    return false;
  }
  bytes_.Take(bytes, now);
  messages_.Take(kMessages, now);
  if (is_cross_region) {
    cross_region_bytes_.Take(bytes, now);
  }
  const LinkCounters& link_counters = kLoadCounters[static_cast<size_t>(link)];
  counters_->Add(link_counters.bytes_, static_cast<uint64_t>(bytes));
  counters_->Add(link_counters.messages_, static_cast<uint64_t>(kMessages));
  counters_->Add(state::Counter::kProbesSent);
  return true;
}

}  // namespace gooseberrygap::coordination
