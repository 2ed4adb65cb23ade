#ifndef COORDINATION_INTERNAL_CONTROL_CLIENT_IMPL_H_
#define COORDINATION_INTERNAL_CONTROL_CLIENT_IMPL_H_

#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "coordination/api/control_client.h"
#include "coordination/internal/control_choice.h"
#include "coordination/internal/followed_state.h"
#include "coordination/internal/sent_times.h"

namespace gooseberrygap::coordination {

// An instance that reports more than this has missed several heartbeats of its
// leader, and the next renewal is sent after the shorter interval.
constexpr state::Millis kSuspectStaleness(300);
constexpr state::Millis kSuspectRenewInterval(250);

// Implemented in two files: control_client.cc sends renewals and moves the
// lease between instances, and control_client_replies.cc handles replies.
class ControlClient::Impl {
 public:
  Impl(const state::TargetRecord& self,
       std::vector<ControlAddress> control_instances,
       state::Counters* counters,
       ControlClientOptions options);

  void SetSeeds(const std::vector<std::string>& addresses);

  Step Announce(const std::string& target,
                const std::string& service,
                int slots,
                state::TargetState target_state,
                state::Millis now,
                const state::TargetWithdrawal& withdrawal);

  Step ReportCrash(const std::vector<CrashReport>& crashes, state::Millis now);

  Step OnReply(const std::string& address,
               const LeaseReply& reply,
               state::Millis now);

  Step Tick(state::Millis now);

  void RenewSoon();

  Step RenewNow(state::Millis now);

  const FollowedState& followed() const { return followed_; }
  const state::TargetRecord& record() const { return *record_; }
  const state::TargetWithdrawal& kept_withdrawal() const {
    return *kept_withdrawal_;
  }
  const state::TargetWithdrawal& stored_withdrawal() const {
    return *stored_withdrawal_;
  }
  const std::string& leader_address() const { return leader_address_; }

  state::Millis Staleness(state::Millis now) const;

 private:
  struct ReportedCrash {
    CrashReport report_;
    state::Millis at_;
  };

  // An instance that has replied is running, and its next reply may wait behind
  // the configuration: a document of thousands of routes takes a slow link more
  // than kFirstReplyTimeout, and another instance would only send it again.
  state::Millis ReplyTimeout() const;

  // Returns whether a renewal has been without a reply for that time.
  bool IsSilentFor(state::Millis time, state::Millis now) const {
    return awaiting_reply_since_.has_value() &&
           now - *awaiting_reply_since_ >= time;
  }

  // Pushes name the renewal before them, too, however long ago it was answered.
  void LogIfLate(const LeaseReply& reply, state::Millis now, Step* step);

  // Returns how stale the replying instance is for this daemon. One that hears
  // its leader but cannot confirm the API keys, because its own messages to the
  // leader are lost, is of no use to a daemon that needs the confirmation.
  state::Millis UsableStaleness(const LeaseReply& reply,
                                const std::string& address,
                                state::Millis now) const;

  // An instance that may have lost its leader is asked again soon, since a
  // daemon learns only from its replies that it is stale.
  void RenewEarlyIfSuspect(state::Millis staleness, state::Millis now);

  void ApplyReply(const LeaseReply& reply, state::Millis now, Step* step);

  // Announces the target that was not sent before its withdrawal was known. Not
  // with this call: the reply's withdrawal must be applied to the target first.
  void AnnounceHeldTarget(state::Millis now);

  // Call it only for a reply whose configuration is in force here: an answer to
  // a query or a refusal carries none. Counts from the sending of the renewal,
  // since the reply was made after it and may have waited for any time.
  void UpdateUpToDate(const LeaseReply& reply, state::Millis now);

  void RemoveStoredCrashes(const LeaseReply& reply);

  void OnLeaseMoved(const std::string& from,
                    ControlMoveReason reason,
                    state::Millis now,
                    Step* step);

  void RaiseSequence();

  void SetVersion(const state::LeaseVersion& version);

  // Returns the record that a renewal carries. Before the first granted reply
  // of an instance that has been up to date, the daemon does not know whether
  // its target has withdrawn, so that no other daemon may choose the target
  // yet.
  state::TargetRecord RecordToSend() const;

  Commands RenewIfDue(state::Millis now);

  Commands Renew(state::Millis now);

  ControlChoice choice_;
  FollowedState followed_;
  state::Counters* counters_;
  const ControlClientOptions options_;
  std::optional<state::TargetRecord> record_;
  std::optional<state::TargetWithdrawal> kept_withdrawal_ =
      state::TargetWithdrawal();
  std::optional<state::TargetWithdrawal> stored_withdrawal_ =
      state::TargetWithdrawal();
  bool knows_withdrawal_ = false;
  std::deque<ReportedCrash> crashes_;
  state::Millis renew_at_;
  state::Millis renewed_at_;
  uint64_t next_renewal_ = 1;
  SentTimes renewals_;
  uint64_t answered_renewal_ = 0;  // Number of the last one.
  // Number of the current instance's last reply; 0 until it replies.
  uint64_t received_reply_ = 0;
  // Time at which the current instance was chosen, or at which the first
  // configuration came into force.
  state::Millis followed_since_;
  // Time of the oldest renewal that the current instance has not replied to.
  std::optional<state::Millis> awaiting_reply_since_;
  // Staleness that the current instance, or the one before it, reported last.
  state::Millis current_staleness_;
  // Last time at which the configuration in force here was the newest one, as
  // far as the instances that this daemon has followed could tell.
  state::Millis up_to_date_at_ =
      state::Millis(-std::numeric_limits<double>::infinity());
  std::string leader_address_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_CONTROL_CLIENT_IMPL_H_
