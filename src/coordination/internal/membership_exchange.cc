#include "coordination/internal/membership_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gooseberrygap::coordination {

namespace {

constexpr state::Millis kHeartbeatInterval(1000);
// Changes that are not acknowledged within this time are sent again. Longer
// than a round trip between regions.
constexpr state::Millis kResendDelay(300);
// Delay before changes are sent, so that changes within it share a message.
constexpr state::Millis kBatchDelay(20);
// A holder is unresponsive after the lease time and two missed heartbeats.
constexpr state::Millis kHolderTimeout = kLeaseTime + state::Millis(2000);
// The records of a holder without contact for this time may have been purged,
// so its whole table is requested when it is back. Shorter than the retention
// of tombstones in the table.
constexpr state::Millis kFullSyncAfter(60000);

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
      started_at_(now) {
  if (!instances.empty()) {
    SetInstances(instances, now);
  }
}

void MembershipExchange::SetInstances(
    const std::vector<ControlAddress>& instances,
    state::Millis now) {
  has_instances_ = true;
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
                                                  .last_contact_at_ = now,
                                                  .epoch_seen_at_ = now,
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
    // The peer has restarted and lost its copy of this instance's records.
    peer.epoch_ = sync.epoch_;
    peer.epoch_seen_at_ = now;
    peer.received_version_ = 0;
    peer.has_table_ = false;
    peer.acked_version_ = 0;
    peer.examined_version_ = 0;
    peer.send_at_ = now;
  }
  peer.last_contact_at_ = now;
  // Changes after a gap are not applied. The acknowledgement contains the
  // version from which the peer must send.
  if (sync.from_version_ <= peer.received_version_) {
    ApplyChanges(&peer, sync, now);
  }
  return {ReplyToPeer{
      .connection_ = connection,
      .message_ = MembershipSyncAck{.instance_ = self_,
                                    .epoch_ = sync.epoch_,
                                    .version_ = peer.received_version_}}};
}

void MembershipExchange::ApplyChanges(Peer* peer,
                                      const MembershipSync& sync,
                                      state::Millis now) {
  std::set<std::string> listed;
  for (const LeasedRecord& change : sync.changes_) {
    listed.insert(change.record_.instance_);
    const state::MergeResult result =
        table_->Merge(change.record_, change.holder_, sync.epoch_, now);
    if (result == state::MergeResult::kNewer) {
      counters_->Add(state::Counter::kMembershipChanges);
    } else if (result == state::MergeResult::kOlder) {
      counters_->Add(state::Counter::kMembershipStaleIgnored);
    }
  }
  if (sync.from_version_ == 0 && sync.to_version_ >= peer->received_version_) {
    peer->has_table_ = true;
    // A lease that is missing in the whole table has ended, and its tombstone
    // was purged before it was sent to this instance.
    for (const state::MembershipRecord& record : table_->ChangesSince(0)) {
      if (record.holder_ == sync.instance_ &&
          record.holder_epoch_ == sync.epoch_ &&
          !listed.contains(record.record_.instance_)) {
        table_->Expire(record.record_.instance_, now);
      }
    }
  }
  peer->received_version_ = std::max(peer->received_version_, sync.to_version_);
}

void MembershipExchange::OnAck(const MembershipSyncAck& ack) {
  const auto found = peers_.find(ack.instance_);
  if (found == peers_.end() || ack.epoch_ != epoch_) {
    return;
  }
  Peer& peer = found->second;
  if (ack.version_ < peer.acked_version_) {
    peer.examined_version_ = ack.version_;
  }
  peer.acked_version_ = ack.version_;
}

bool MembershipExchange::IsDue(state::Millis now) {
  bool due = false;
  for (auto& [instance, peer] : peers_) {
    if (table_->version() > peer.examined_version_) {
      const bool has_changes =
          table_->FindChange(peer.examined_version_,
                             [this](const state::MembershipRecord& record) {
                               return record.holder_ == self_;
                             }) != nullptr;
      peer.examined_version_ = table_->version();
      if (has_changes) {
        peer.send_at_ = std::min(peer.send_at_, now + kBatchDelay);
      }
    }
    due = due || now >= peer.send_at_;
  }
  return due;
}

Commands MembershipExchange::SendDue(const PoisonUpdate& poison,
                                     state::Millis now) {
  Commands commands;
  for (auto& [instance, peer] : peers_) {
    if (now >= peer.send_at_) {
      Append(&commands, Send(&peer, poison, now));
    }
  }
  return commands;
}

void MembershipExchange::ScheduleSend() {
  for (auto& [instance, peer] : peers_) {
    peer.send_at_ = state::Millis();
  }
}

Commands MembershipExchange::Send(Peer* peer,
                                  const PoisonUpdate& poison,
                                  state::Millis now) {
  const uint64_t from =
      table_->HasChangesSince(peer->acked_version_) ? peer->acked_version_ : 0;
  const std::vector<LeasedRecord> changes = OwnChangesSince(from);
  peer->send_at_ = now + (changes.empty() ? kHeartbeatInterval : kResendDelay);
  return {SendToPeer{.address_ = peer->address_,
                     .message_ = MembershipSync{
                         .instance_ = self_,
                         .epoch_ = epoch_,
                         .from_version_ = from,
                         .to_version_ = table_->version(),
                         .changes_ = changes,
                         .refused_fingerprints_ = poison.refused_fingerprints_,
                         .crashes_ = poison.crashes_}}};
}

std::vector<LeasedRecord> MembershipExchange::OwnChangesSince(
    uint64_t version) const {
  std::vector<LeasedRecord> changes;
  table_->FindChange(version, [&](const state::MembershipRecord& record) {
    if (record.holder_ == self_) {
      changes.push_back(
          LeasedRecord{.record_ = record.record_, .holder_ = self_});
    }
    return false;
  });
  return changes;
}

void MembershipExchange::UpdateSuspensions(state::Millis now) {
  for (auto& [instance, peer] : peers_) {
    if (now - peer.last_contact_at_ >= kFullSyncAfter) {
      peer.received_version_ = 0;
    }
  }
  // Collected first: the table must not change while it is searched.
  std::vector<std::pair<std::string, bool>> changes;
  table_->FindChange(0, [&](const state::MembershipRecord& record) {
    const bool is_orphaned = record.holder_ != self_ && IsOrphaned(record, now);
    const bool has_left = record.record_.state_ == state::TargetState::kLeft;
    const bool is_concerned =
        record.holder_ != self_ && !(is_orphaned && has_left);
    if (is_concerned && record.suspended_ != is_orphaned) {
      changes.emplace_back(record.record_.instance_, is_orphaned);
    }
    return false;
  });
  for (const auto& [instance, is_orphaned] : changes) {
    if (table_->SetSuspended(instance, is_orphaned, now)) {
      counters_->Add(state::Counter::kMembershipChanges);
    }
  }
}

bool MembershipExchange::IsOrphaned(const state::MembershipRecord& record,
                                    state::Millis now) const {
  const auto holder = peers_.find(record.holder_);
  if (holder == peers_.end()) {
    return now - started_at_ >= kHolderTimeout;
  }
  const Peer& peer = holder->second;
  if (now - peer.last_contact_at_ >= kHolderTimeout) {
    return true;
  }
  // The holder has restarted, and the daemon has not renewed its lease there.
  return record.holder_epoch_ != peer.epoch_ &&
         now - peer.epoch_seen_at_ >= kHolderTimeout;
}

void MembershipExchange::OnPause(state::Millis pause) {
  for (auto& [instance, peer] : peers_) {
    peer.last_contact_at_ = peer.last_contact_at_ + pause;
    peer.epoch_seen_at_ = peer.epoch_seen_at_ + pause;
  }
}

bool MembershipExchange::HasAllTables() const {
  return has_instances_ &&
         std::all_of(peers_.begin(), peers_.end(),
                     [](const auto& entry) { return entry.second.has_table_; });
}

}  // namespace gooseberrygap::coordination
