#include "coordination/api/messages.h"

namespace gooseberrygap::coordination {

namespace {

// RecipientFor has one overload for each message that is not for the call path.
template <class CallPathMessage>
constexpr MessageRecipient RecipientFor(const CallPathMessage&) {
  return MessageRecipient::kNode;
}
constexpr MessageRecipient RecipientFor(const LeaseRenew&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const RegisterCall&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const MembershipSync&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const MembershipSyncAck&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const ConfigSubmit&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const EvacuationSubmit&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const JoinRequest&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const LeaveRequest&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const WithdrawalSubmit&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const CrashSubmit&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const LeaveReply&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const QuotaReport&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient RecipientFor(const VoteRequest&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient RecipientFor(const VoteReply&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient RecipientFor(const AppendRequest&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient RecipientFor(const AppendReply&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient RecipientFor(const InstallSnapshot&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient RecipientFor(const ReadIndexRequest&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient RecipientFor(const ReadIndexReply&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient RecipientFor(const ConfigSubmitReply&) {
  return MessageRecipient::kOperators;
}
constexpr MessageRecipient RecipientFor(const EvacuationReply&) {
  return MessageRecipient::kOperators;
}

}  // namespace

MessageRecipient RecipientOf(const PeerMessage& message) {
  return std::visit([](const auto& concrete) { return RecipientFor(concrete); },
                    message);
}

}  // namespace gooseberrygap::coordination
