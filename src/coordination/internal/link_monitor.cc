#include <algorithm>

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
// A link on which no message has come since it was replaced is kept for this
// time, and for twice as long after each further replacement, so that a slow
// connect comes through.
constexpr state::Millis kFirstKeep(500);
// With a check that takes 1.25 s, a link is replaced within 3 s of a heal, the
// time after which a daemon must be up to date.
constexpr state::Millis kLongestKeep(1750);

}  // namespace

void LinkMonitor::OnSent(const std::string& address, state::Millis now) {
  Link& link = links_[address];
  if (!link.waiting_) {
    link.waiting_since_ = now;
    link.waiting_ = true;
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
  for (auto& [address, link] : links_) {
    const state::Millis waiting_time = now - link.waiting_since_;
    if (!link.waiting_) {
      continue;
    }
    if (link.probed_at_.has_value() &&
        now - *link.probed_at_ >= kResetAfterProbe) {
      step.reset_addresses_.push_back(address);
      link.waiting_ = false;
      link.probed_at_.reset();
      if (now >= link.keep_until_) {
        step.commands_.push_back(ResetLink{.address_ = address});
        link.keep_ = link.keep_ == state::Millis()
                         ? kFirstKeep
                         : std::min(link.keep_ + link.keep_, kLongestKeep);
        link.keep_until_ = now + link.keep_;
      }
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
  }
  return step;
}

}  // namespace gooseberrygap::coordination
