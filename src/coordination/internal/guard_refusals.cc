#include "coordination/internal/guard_impl.h"

namespace gooseberrygap::coordination {

namespace {

using state::RefusalReason;

}  // namespace

Commands Guard::Impl::RefuseAll(const std::vector<GuardWork>& works,
                                RefusalReason reason) {
  Commands commands;
  for (const GuardWork& work : works) {
    commands.push_back(Reply(work.connection_, Refusal(work.attempt_, reason)));
  }
  return commands;
}

Commands Guard::Impl::RefuseQueued(RefusalReason reason) {
  return RefuseAll(queue_.TakeIf([](const GuardWork&) { return true; }),
                   reason);
}

Commands Guard::Impl::RefuseReplaced() {
  const std::string& target = target_.announcement().target_;
  return RefuseAll(queue_.TakeIf([&target](const GuardWork& work) {
    return work.attempt_.target_ != target;
  }),
                   RefusalReason::kTargetReplaced);
}

Commands Guard::Impl::RefuseExpired(state::Millis now) {
  Commands commands;
  for (const RefusalReason reason :
       {RefusalReason::kDeadline, RefusalReason::kAuthorizationExpired}) {
    Append(&commands,
           RefuseAll(queue_.TakeIf([now, reason](const GuardWork& work) {
             return work.WhyTooLate(now) == reason;
           }),
                     reason));
  }
  return commands;
}

Commands Guard::Impl::RefuseMissedObjectives(state::Millis now) {
  return RefuseAll(queue_.TakeMissedObjectives(service_time_percent_, now),
                   RefusalReason::kOverloaded);
}

}  // namespace gooseberrygap::coordination
