#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

namespace {

// A link with a request outstanding is probed after this time without a byte.
constexpr state::Millis kProbeAfter(150);
// And replaced this time after the probe. A round trip between regions takes
// 26 ms, so the probe has had time to be answered several times over.
constexpr state::Millis kSilentAfterProbe(250);

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
  // Other requests may still be outstanding. They are watched again from the
  // next message that is sent; until then their own deadlines bound the wait.
  entry->second = Link{.waiting_since_ = now, .waiting_ = false};
}

LinkMonitor::Step LinkMonitor::Tick(
    state::Millis now,
    absl::FunctionRef<bool(const std::string& address)> may_probe) {
  Step step;
  for (auto entry = links_.begin(); entry != links_.end();) {
    auto& [address, link] = *entry;
    const state::Millis silence = now - link.waiting_since_;
    if (!link.waiting_) {
      ++entry;
      continue;
    }
    if (link.probed_at_.has_value() &&
        now - *link.probed_at_ >= kSilentAfterProbe) {
      step.commands_.push_back(ResetLink{.address_ = address});
      step.silent_.push_back(address);
      entry = links_.erase(entry);
      continue;
    }
    if (silence >= kProbeAfter && !link.probed_at_.has_value() &&
        may_probe(address)) {
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
