#ifndef COORDINATION_API_MESSAGES_H_
#define COORDINATION_API_MESSAGES_H_

#include <variant>

#include "coordination/api/call_messages.h"
#include "coordination/api/control_messages.h"
#include "coordination/api/lease_messages.h"
#include "coordination/api/log_messages.h"
#include "coordination/api/quota_messages.h"

namespace gooseberrygap::coordination {

// Every message between daemons.
using PeerMessage = std::variant<Attempt,
                                 AttemptAnswer,
                                 Cancel,
                                 Probe,
                                 ProbeReply,
                                 LeaseRenew,
                                 LeaseReply,
                                 RegisterCall,
                                 RegisterReply,
                                 MembershipSync,
                                 MembershipSyncAck,
                                 ConfigSubmit,
                                 ConfigSubmitReply,
                                 VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 InstallSnapshot,
                                 ReadIndexRequest,
                                 ReadIndexReply,
                                 JoinRequest,
                                 LoadNotice,
                                 ResumeAttempt,
                                 EvacuationSubmit,
                                 EvacuationReply,
                                 QuotaReport,
                                 QuotaGrant,
                                 LeaveRequest,
                                 LeaveReply,
                                 WithdrawalSubmit,
                                 CrashSubmit>;

// The part of a daemon that handles a message.
enum class MessageRecipient {
  kNode,       // The call path.
  kControl,    // The control service.
  kLog,        // The replicated log of the control group.
  kOperators,  // Operators' pending submissions.
};

// Returns the part of a daemon that handles the message. Thread-safe.
MessageRecipient RecipientOf(const PeerMessage& message);

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_API_MESSAGES_H_
