#ifndef PROTOCOL_INTERNAL_MESSAGE_WIRE_H_
#define PROTOCOL_INTERNAL_MESSAGE_WIRE_H_

#include <memory>

#include "coordination/coordination.h"
#include "protocol/internal/wire_values.h"

namespace gooseberrygap::protocol {

// Conversions between the messages of daemons and their wire forms. Implemented
// in four files: call_messages_wire.cc for the messages of calls,
// lease_messages_wire.cc for those of leases and the membership,
// control_messages_wire.cc for requests to the control group, and
// log_messages_wire.cc for those of the replicated log.

// One overload for each message: writes it into the envelope.
struct Encoder {
  wire::Envelope* envelope_;
  bool leaves_out_body_ = false;  // Of an attempt or an answer.

  void operator()(const coordination::Attempt& message) const;
  void operator()(const coordination::AttemptAnswer& message) const;
  void operator()(const coordination::Cancel& message) const;
  void operator()(const coordination::ResumeAttempt& message) const;
  void operator()(const coordination::Probe& message) const;
  void operator()(const coordination::ProbeReply& message) const;
  void operator()(const coordination::LeaseRenew& message) const;
  void operator()(const coordination::LeaseReply& message) const;
  void operator()(const coordination::RegisterCall& message) const;
  void operator()(const coordination::RegisterReply& message) const;
  void operator()(const coordination::MembershipSync& message) const;
  void operator()(const coordination::MembershipSyncAck& message) const;
  void operator()(const coordination::ConfigSubmit& message) const;
  void operator()(const coordination::ConfigSubmitReply& message) const;
  void operator()(const coordination::EvacuationSubmit& message) const;
  void operator()(const coordination::EvacuationReply& message) const;
  void operator()(const coordination::LoadNotice& message) const;
  void operator()(const coordination::QuotaReport& message) const;
  void operator()(const coordination::QuotaGrant& message) const;
  void operator()(const coordination::JoinRequest& message) const;
  void operator()(const coordination::LeaveRequest& message) const;
  void operator()(const coordination::WithdrawalSubmit& message) const;
  void operator()(const coordination::CrashSubmit& message) const;
  void operator()(const coordination::LeaveReply& message) const;
  void operator()(const coordination::VoteRequest& message) const;
  void operator()(const coordination::VoteReply& message) const;
  void operator()(const coordination::AppendRequest& message) const;
  void operator()(const coordination::AppendReply& message) const;
  void operator()(const coordination::InstallSnapshot& message) const;
  void operator()(const coordination::ReadIndexRequest& message) const;
  void operator()(const coordination::ReadIndexReply& message) const;
};

std::shared_ptr<const state::Configuration> SharedConfiguration(
    const wire::Configuration& in,
    WireReader* reader);

// One function for each message kind: reads it from the envelope.

coordination::PeerMessage ReadAttempt(const wire::Envelope& envelope,
                                      WireReader* reader);
coordination::PeerMessage ReadAttemptAnswer(const wire::Envelope& envelope,
                                            WireReader* reader);
coordination::PeerMessage ReadCancel(const wire::Envelope& envelope,
                                     WireReader* reader);
coordination::PeerMessage ReadProbe(const wire::Envelope& envelope,
                                    WireReader* reader);
coordination::PeerMessage ReadProbeReply(const wire::Envelope& envelope,
                                         WireReader* reader);
coordination::PeerMessage ReadLeaseRenew(const wire::Envelope& envelope,
                                         WireReader* reader);
coordination::PeerMessage ReadLeaseReply(const wire::Envelope& envelope,
                                         WireReader* reader);
coordination::PeerMessage ReadRegisterCall(const wire::Envelope& envelope,
                                           WireReader* reader);
coordination::PeerMessage ReadRegisterReply(const wire::Envelope& envelope,
                                            WireReader* reader);
coordination::PeerMessage ReadMembershipSync(const wire::Envelope& envelope,
                                             WireReader* reader);
coordination::PeerMessage ReadMembershipSyncAck(const wire::Envelope& envelope,
                                                WireReader* reader);
coordination::PeerMessage ReadConfigSubmit(const wire::Envelope& envelope,
                                           WireReader* reader);
coordination::PeerMessage ReadConfigSubmitReply(const wire::Envelope& envelope,
                                                WireReader* reader);
coordination::PeerMessage ReadVoteRequest(const wire::Envelope& envelope,
                                          WireReader* reader);
coordination::PeerMessage ReadVoteReply(const wire::Envelope& envelope,
                                        WireReader* reader);
coordination::PeerMessage ReadAppendRequest(const wire::Envelope& envelope,
                                            WireReader* reader);
coordination::PeerMessage ReadAppendReply(const wire::Envelope& envelope,
                                          WireReader* reader);
coordination::PeerMessage ReadInstallSnapshot(const wire::Envelope& envelope,
                                              WireReader* reader);
coordination::PeerMessage ReadReadIndexRequest(const wire::Envelope& envelope,
                                               WireReader* reader);
coordination::PeerMessage ReadReadIndexReply(const wire::Envelope& envelope,
                                             WireReader* reader);
coordination::PeerMessage ReadLoadNotice(const wire::Envelope& envelope,
                                         WireReader* reader);
coordination::PeerMessage ReadJoinRequest(const wire::Envelope& envelope,
                                          WireReader* reader);
coordination::PeerMessage ReadLeaveRequest(const wire::Envelope& envelope,
                                           WireReader* reader);
coordination::PeerMessage ReadWithdrawalSubmit(const wire::Envelope& envelope,
                                               WireReader* reader);
coordination::PeerMessage ReadCrashSubmit(const wire::Envelope& envelope,
                                          WireReader* reader);
coordination::PeerMessage ReadLeaveReply(const wire::Envelope& envelope,
                                         WireReader* reader);
coordination::PeerMessage ReadResumeAttempt(const wire::Envelope& envelope,
                                            WireReader* reader);
coordination::PeerMessage ReadEvacuationSubmit(const wire::Envelope& envelope,
                                               WireReader* reader);
coordination::PeerMessage ReadEvacuationReply(const wire::Envelope& envelope,
                                              WireReader* reader);
coordination::PeerMessage ReadQuotaReport(const wire::Envelope& envelope,
                                          WireReader* reader);
coordination::PeerMessage ReadQuotaGrant(const wire::Envelope& envelope,
                                         WireReader* reader);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_INTERNAL_MESSAGE_WIRE_H_
