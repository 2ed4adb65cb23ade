#include "protocol/api/target_dialect.h"

#include <string>
#include <utility>
#include <vector>
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include "protocol/api/header_names.h"

namespace gooseberrygap::protocol {

namespace {

// Returns the answer without kAnswerToHeader: a target that passes on the
// answers to its own calls would name the wrong request.
state::HttpAnswer ForCaller(const state::HttpAnswer& answer) {
  std::vector<state::HttpHeader> headers;
  for (const state::HttpHeader& header : answer.headers_) {
    if (!absl::EqualsIgnoreCase(header.name_, kAnswerToHeader)) {
      headers.push_back(header);
    }
  }
  return state::HttpAnswer{.status_ = answer.status_,
                           .headers_ = std::move(headers),
                           .body_ = answer.body_};
}

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

  coordination::ReceivedAnswer Identify(
      const coordination::DeliverToTarget& delivery,
      const state::HttpAnswer& answer) const override {
    const auto answered = state::FindHeader(answer.headers_, kAnswerToHeader);
    // Targets need not return the header.
    const bool is_own =
        !answered.has_value() ||
        *answered == absl::StrCat(delivery.request_id_, "/", delivery.attempt_);
    return coordination::ReceivedAnswer{
        .owner_ = is_own ? coordination::AnswerOwner::kRequest
                         : coordination::AnswerOwner::kOtherRequest,
        .is_refusal_ =
            state::FindHeader(answer.headers_, kShedHeader).has_value()};
  }

  coordination::DeliveryEnded Interpret(
      const coordination::DeliveryEnded& ended) const override {
    const bool declined =
        state::FindHeader(ended.answer_.headers_, kShedHeader).has_value();
    return coordination::DeliveryEnded{.delivery_id_ = ended.delivery_id_,
                                       .end_ = ended.end_,
                                       .answer_ = ForCaller(ended.answer_),
                                       .sent_ = ended.sent_,
                                       .declined_ = declined};
  }
};

}  // namespace

std::unique_ptr<TargetDialect> MakeTargetDialect() {
  return std::make_unique<OwnTargetDialect>();
}

}  // namespace gooseberrygap::protocol
