#include "coordination/api/messages.h"

namespace gooseberrygap::coordination {

namespace {

// One overload for each message that is not for the call path.
template <class CallPathMessage>
constexpr Addressee Of(const CallPathMessage&) {
  return Addressee::kNode;
}
constexpr Addressee Of(const LeaseRenew&) {
  return Addressee::kControl;
}
constexpr Addressee Of(const RegisterCall&) {
  return Addressee::kControl;
}
constexpr Addressee Of(const MembershipSync&) {
  return Addressee::kControl;
}
constexpr Addressee Of(const MembershipSyncAck&) {
  return Addressee::kControl;
}
constexpr Addressee Of(const ConfigSubmit&) {
  return Addressee::kControl;
}
constexpr Addressee Of(const JoinRequest&) {
  return Addressee::kControl;
}
constexpr Addressee Of(const VoteRequest&) {
  return Addressee::kLog;
}
constexpr Addressee Of(const VoteReply&) {
  return Addressee::kLog;
}
constexpr Addressee Of(const AppendRequest&) {
  return Addressee::kLog;
}
constexpr Addressee Of(const AppendReply&) {
  return Addressee::kLog;
}
constexpr Addressee Of(const InstallSnapshot&) {
  return Addressee::kLog;
}
constexpr Addressee Of(const ReadIndexRequest&) {
  return Addressee::kLog;
}
constexpr Addressee Of(const ReadIndexReply&) {
  return Addressee::kLog;
}
constexpr Addressee Of(const ConfigSubmitReply&) {
  return Addressee::kOperators;
}

}  // namespace

Addressee AddresseeOf(const PeerMessage& message) {
  return std::visit([](const auto& concrete) { return Of(concrete); }, message);
}

}  // namespace gooseberrygap::coordination
