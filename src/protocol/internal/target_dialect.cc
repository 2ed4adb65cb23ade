#include "protocol/api/target_dialect.h"

#include <string>
#include <utility>
#include <vector>
#include "absl/strings/string_view.h"

#include "protocol/api/header_names.h"

namespace gooseberrygap::protocol {

namespace {

class OwnTargetDialect : public TargetDialect {
 public:
  state::HttpRequest Request(
      const coordination::DeliverToTarget& delivery) const override {
    std::vector<state::HttpHeader> headers = delivery.request_.headers_;
    const auto add = [&headers](absl::string_view name, std::string value) {
      headers.push_back(state::HttpHeader{.name_ = std::string(name),
                                          .value_ = std::move(value)});
    };
    add(kRequestIdHeader, delivery.request_id_);
    add(kAttemptHeader, std::to_string(delivery.attempt_));
    add(kDeadlineHeader,
        std::to_string(static_cast<int64_t>(delivery.timeout_.value())));
    add(kDepthHeader, std::to_string(delivery.depth_ + 1));
    return state::HttpRequest{.method_ = delivery.request_.method_,
                              .path_ = delivery.request_.path_,
                              .headers_ = headers,
                              .body_ = delivery.request_.body_};
  }

  bool IsAnswerOf(const coordination::DeliverToTarget&,
                  const state::HttpAnswer&) const override {
    return true;
  }

  coordination::DeliveryEnded Interpret(
      const coordination::DeliveryEnded& ended) const override {
    const bool declined =
        state::FindHeader(ended.answer_.headers_, kShedHeader).has_value();
    return coordination::DeliveryEnded{.delivery_id_ = ended.delivery_id_,
                                       .end_ = ended.end_,
                                       .answer_ = ended.answer_,
                                       .sent_ = ended.sent_,
                                       .declined_ = declined};
  }
};

}  // namespace

std::unique_ptr<TargetDialect> MakeTargetDialect() {
  return std::make_unique<OwnTargetDialect>();
}

}  // namespace gooseberrygap::protocol
