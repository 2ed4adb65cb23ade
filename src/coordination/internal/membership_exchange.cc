#include "coordination/internal/membership_exchange.h"

#include <algorithm>
#include <set>

namespace gooseberrygap::coordination {

namespace {

constexpr state::Millis kHeartbeat(1000);
// Changes that are not acknowledged are sent again after this time. Longer than
// a round trip between regions.
constexpr state::Millis kResendAfter(300);
// Changes within this time travel together.
constexpr state::Millis kBundleTime(20);
// A holder is silent after the lease time and two missed heartbeats.
constexpr state::Millis kHolderTimeout = kLeaseTime + state::Millis(2000);
// The records of a holder that is silent for longer may have been purged, so
// its whole table is needed when it returns. Shorter than the retention of
// tombstones in the table.
constexpr state::Millis kForgetAfter(60000);

}  // namespace

MembershipExchange::MembershipExchange(
    std::string self,
    uint64_t epoch,
    const std::vector<ControlAddress>& instances,
    state::MembershipTable* table,
    state::Counters* counters,
    state::Millis now)
    : self_(std::move(self)),
      epoch_(epoch),
      table_(table),
      counters_(counters),
      started_(now) {
  if (!instances.empty()) {
    SetInstances(instances, now);
  }
}

void MembershipExchange::SetInstances(
    const std::vector<ControlAddress>& instances,
    state::Millis now) {
  knows_instances_ = true;
  std::map<std::string, Peer> previous;
  previous.swap(peers_);
  for (const ControlAddress& instance : instances) {
    if (instance.instance_ == self_) {
      continue;
    }
    const auto known = previous.find(instance.instance_);
    const bool is_known =
        known != previous.end() && known->second.address_ == instance.address_;
    peers_.emplace(instance.instance_, is_known
                                           ? known->second
                                           : Peer{.address_ = instance.address_,
                                                  .heard_at_ = now,
                                                  .epoch_since_ = now,
                                                  .send_at_ = now});
  }
}

Commands MembershipExchange::OnSync(const std::string& connection,
                                    const MembershipSync& sync,
                                    state::Millis now) {
  const auto found = peers_.find(sync.instance_);
  if (found == peers_.end()) {
    return {};
  }
  Peer& peer = found->second;
  if (peer.epoch_ != sync.epoch_) {
    // It has restarted, and lost what it was told.
    peer.epoch_ = sync.epoch_;
    peer.epoch_since_ = now;
    peer.received_ = 0;
    peer.has_table_ = false;
    peer.acked_ = 0;
    peer.examined_ = 0;
    peer.send_at_ = now;
  }
  peer.heard_at_ = now;
  // With a gap before the changes, the acknowledgement tells where to start.
  if (sync.from_version_ <= peer.received_) {
    TakeChanges(&peer, sync, now);
  }
  return {
      ReplyToPeer{.connection_ = connection,
                  .message_ = MembershipSyncAck{.instance_ = self_,
                                                .epoch_ = sync.epoch_,
                                                .version_ = peer.received_}}};
}

void MembershipExchange::TakeChanges(Peer* peer,
                                     const MembershipSync& sync,
                                     state::Millis now) {
  std::set<std::string> told;
  for (const LeasedRecord& change : sync.changes_) {
    told.insert(change.record_.instance_);
    const state::MergeResult result =
        table_->Merge(change.record_, change.holder_, sync.epoch_, now);
    if (result == state::MergeResult::kNewer) {
      counters_->Add(state::Counter::kMembershipChanges);
    } else if (result == state::MergeResult::kOlder) {
      counters_->Add(state::Counter::kMembershipStaleIgnored);
    }
  }
  if (sync.from_version_ == 0 && sync.to_version_ >= peer->received_) {
    peer->has_table_ = true;
    // A lease that the whole table does not name has ended, and its tombstone
    // was purged before it was told here.
    for (const state::MembershipRecord& record : table_->ChangesSince(0)) {
      if (record.holder_ == sync.instance_ &&
          record.holder_epoch_ == sync.epoch_ &&
          !told.contains(record.record_.instance_)) {
        table_->Expire(record.record_.instance_, now);
      }
    }
  }
  peer->received_ = std::max(peer->received_, sync.to_version_);
}

void MembershipExchange::OnAck(const MembershipSyncAck& ack) {
  const auto found = peers_.find(ack.instance_);
  if (found == peers_.end() || ack.epoch_ != epoch_) {
    return;
  }
  Peer& peer = found->second;
  if (ack.version_ < peer.acked_) {
    peer.examined_ = ack.version_;
  }
  peer.acked_ = ack.version_;
}

bool MembershipExchange::IsDue(state::Millis now) {
  bool due = false;
  for (auto& [instance, peer] : peers_) {
    if (table_->version() > peer.examined_) {
      const bool has_changes = !OwnChangesSince(peer.examined_).empty();
      peer.examined_ = table_->version();
      if (has_changes) {
        peer.send_at_ = std::min(peer.send_at_, now + kBundleTime);
      }
    }
    due = due || now >= peer.send_at_;
  }
  return due;
}

Commands MembershipExchange::SendDue(const Extras& extras, state::Millis now) {
  Commands commands;
  for (auto& [instance, peer] : peers_) {
    if (now >= peer.send_at_) {
      Append(&commands, Send(&peer, extras, now));
    }
  }
  return commands;
}

void MembershipExchange::SendSoon() {
  for (auto& [instance, peer] : peers_) {
    peer.send_at_ = state::Millis();
  }
}

Commands MembershipExchange::Send(Peer* peer,
                                  const Extras& extras,
                                  state::Millis now) {
  const uint64_t from =
      table_->HasChangesSince(peer->acked_) ? peer->acked_ : 0;
  const std::vector<LeasedRecord> changes = OwnChangesSince(from);
  peer->send_at_ = now + (changes.empty() ? kHeartbeat : kResendAfter);
  return {SendToPeer{.address_ = peer->address_,
                     .message_ = MembershipSync{
                         .instance_ = self_,
                         .epoch_ = epoch_,
                         .from_version_ = from,
                         .to_version_ = table_->version(),
                         .changes_ = changes,
                         .refused_fingerprints_ = extras.refused_fingerprints_,
                         .crashes_ = extras.crashes_}}};
}

std::vector<LeasedRecord> MembershipExchange::OwnChangesSince(
    uint64_t version) const {
  std::vector<LeasedRecord> changes;
  for (const state::MembershipRecord& record : table_->ChangesSince(version)) {
    if (record.holder_ == self_) {
      changes.push_back(
          LeasedRecord{.record_ = record.record_, .holder_ = self_});
    }
  }
  return changes;
}

void MembershipExchange::JudgeHolders(state::Millis now) {
  for (auto& [instance, peer] : peers_) {
    if (now - peer.heard_at_ >= kForgetAfter) {
      peer.received_ = 0;
    }
  }
  for (const state::MembershipRecord& record : table_->ChangesSince(0)) {
    if (record.holder_ == self_) {
      continue;
    }
    const bool silent = IsSilent(record, now);
    if (silent && record.record_.state_ == state::TargetState::kLeft) {
      continue;
    }
    if (table_->SetSuspended(record.record_.instance_, silent, now)) {
      counters_->Add(state::Counter::kMembershipChanges);
    }
  }
}

bool MembershipExchange::IsSilent(const state::MembershipRecord& record,
                                  state::Millis now) const {
  const auto holder = peers_.find(record.holder_);
  if (holder == peers_.end()) {
    return now - started_ >= kHolderTimeout;
  }
  const Peer& peer = holder->second;
  if (now - peer.heard_at_ >= kHolderTimeout) {
    return true;
  }
  // The holder has restarted, and the daemon has not come back to it.
  return record.holder_epoch_ != peer.epoch_ &&
         now - peer.epoch_since_ >= kHolderTimeout;
}

void MembershipExchange::OnPause(state::Millis pause) {
  for (auto& [instance, peer] : peers_) {
    peer.heard_at_ = peer.heard_at_ + pause;
    peer.epoch_since_ = peer.epoch_since_ + pause;
  }
}

bool MembershipExchange::HasHeardAll() const {
  return knows_instances_ &&
         std::all_of(peers_.begin(), peers_.end(),
                     [](const auto& entry) { return entry.second.has_table_; });
}

}  // namespace gooseberrygap::coordination
