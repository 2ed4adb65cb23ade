#include "coordination/api/events.h"

namespace gooseberrygap::coordination {

CallReceived AfterWait(const CallReceived& call, state::Millis waited) {
  const bool has_deadline = call.deadline_left_.has_value();
  return CallReceived{
      .call_id_ = call.call_id_,
      .service_ = call.service_,
      .host_ = call.host_,
      .request_ = call.request_,
      .idempotency_key_ = call.idempotency_key_,
      .deadline_left_ = has_deadline
                            ? std::optional(*call.deadline_left_ - waited)
                            : std::nullopt,
      .depth_ = call.depth_,
      .origin_service_ = call.origin_service_,
      .caller_id_ = call.caller_id_,
      .api_key_ = call.api_key_,
      .credentials_ = call.credentials_};
}

}  // namespace gooseberrygap::coordination
