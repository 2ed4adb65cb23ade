#include "coordination/api/messages.h"

namespace gooseberrygap::coordination {

namespace {

// One overload for each message that is not for the call path.
template <class CallPathMessage>
constexpr MessageRecipient Of(const CallPathMessage&) {
  return MessageRecipient::kNode;
}
constexpr MessageRecipient Of(const LeaseRenew&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient Of(const RegisterCall&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient Of(const MembershipSync&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient Of(const MembershipSyncAck&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient Of(const ConfigSubmit&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient Of(const JoinRequest&) {
  return MessageRecipient::kControl;
}
constexpr MessageRecipient Of(const VoteRequest&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient Of(const VoteReply&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient Of(const AppendRequest&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient Of(const AppendReply&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient Of(const InstallSnapshot&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient Of(const ReadIndexRequest&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient Of(const ReadIndexReply&) {
  return MessageRecipient::kLog;
}
constexpr MessageRecipient Of(const ConfigSubmitReply&) {
  return MessageRecipient::kOperators;
}

}  // namespace

MessageRecipient RecipientOf(const PeerMessage& message) {
  return std::visit([](const auto& concrete) { return Of(concrete); }, message);
}

}  // namespace gooseberrygap::coordination
