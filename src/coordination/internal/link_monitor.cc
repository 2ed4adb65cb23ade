#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

namespace {

// A link with a request outstanding is probed after this time without a
// received message.
constexpr state::Millis kProbeAfter(150);
// After this time a link is probed whatever the budget for measuring load
// allows: the check keeps the link usable, and nothing else replaces a link
// that has gone silent while new requests are sent on it.
constexpr state::Millis kProbeAlwaysAfter(1000);
// The link is replaced if no message is received within this time after the
// probe. A round trip between regions takes 26 ms, so this is several times
// what the reply needs.
constexpr state::Millis kResetAfterProbe(250);

}  // namespace

void LinkMonitor::OnSent(const std::string& address, state::Millis now) {
  Link& link = links_[address];
  if (!link.waiting_) {
    link = Link{.waiting_since_ = now, .waiting_ = true};
  }
}

void LinkMonitor::OnReceived(const std::string& address, state::Millis now) {
  const auto entry = links_.find(address);
  if (entry == links_.end()) {
    return;
  }
  // Other requests may still be outstanding. They are monitored again from the
  // next message that is sent; until then their own deadlines limit the wait.
  entry->second = Link{.waiting_since_ = now, .waiting_ = false};
}

LinkMonitor::Step LinkMonitor::Tick(
    state::Millis now,
    absl::FunctionRef<bool(const std::string& address)> may_probe) {
  Step step;
  for (auto entry = links_.begin(); entry != links_.end();) {
    auto& [address, link] = *entry;
    const state::Millis waiting_time = now - link.waiting_since_;
    if (!link.waiting_) {
      ++entry;
      continue;
    }
    if (link.probed_at_.has_value() &&
        now - *link.probed_at_ >= kResetAfterProbe) {
      step.commands_.push_back(ResetLink{.address_ = address});
      step.reset_addresses_.push_back(address);
      entry = links_.erase(entry);
      continue;
    }
    const bool is_due =
        waiting_time >= kProbeAfter && !link.probed_at_.has_value();
    if (is_due && (waiting_time >= kProbeAlwaysAfter || may_probe(address))) {
      link.probed_at_ = now;
      step.commands_.push_back(
          SendToPeer{.address_ = address,
                     .message_ = Probe{.probe_id_ = next_probe_id_++}});
    }
    ++entry;
  }
  return step;
}

}  // namespace gooseberrygap::coordination
