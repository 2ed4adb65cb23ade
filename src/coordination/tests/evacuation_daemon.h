#ifndef COORDINATION_TESTS_EVACUATION_DAEMON_H_
#define COORDINATION_TESTS_EVACUATION_DAEMON_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

// Returns the commands of type T, or the messages of type T in them.
template <class T>
std::vector<T> AllOf(const Commands& commands) {
  std::vector<T> found;
  const auto add_message = [&](const PeerMessage& message) {
    if constexpr (std::is_constructible_v<PeerMessage, T>) {
      if (const auto* typed = std::get_if<T>(&message)) {
        found.push_back(*typed);
      }
    }
  };
  for (const Command& command : commands) {
    if constexpr (std::is_constructible_v<Command, T>) {
      if (const auto* typed = std::get_if<T>(&command)) {
        found.push_back(*typed);
      }
    }
    if (const auto* send = std::get_if<SendToPeer>(&command)) {
      add_message(send->message_);
    } else if (const auto* reply = std::get_if<ReplyToPeer>(&command)) {
      add_message(reply->message_);
    }
  }
  return found;
}

// A daemon in failure domain "a" with one slot at its own target "own", which
// is not a member of the service "s" that its callers use. The targets of "s"
// are given by the test.
class EvacuationDaemon {
 public:
  static constexpr const char* kControl = "control-address";

  explicit EvacuationDaemon(std::vector<state::TargetRecord> targets = {})
      : targets_(std::move(targets)),
        node_({.self_ = {.instance_ = "g",
                         .guard_address_ = "g-guard",
                         .region_ = "r",
                         .failure_domain_ = "a",
                         .version_ = {.incarnation_ = 5, .sequence_ = 1}},
               .control_instances_ = {{"c", kControl, "r"}}},
              random_,
              &counters_) {
    Tick();
    node_.Handle(TargetAnnounced{.target_ = "own",
                                 .service_ = "o",
                                 .address_ = "own-address",
                                 .slots_ = 1,
                                 .state_ = state::TargetState::kServing},
                 now_);
    Reply({});
    Tick();
  }

  // Remembers the number of the last renewal.
  Commands Tick() {
    Commands commands = node_.Handle(Ticked{}, now_);
    for (const LeaseRenew& renew : AllOf<LeaseRenew>(commands)) {
      renewal_ = std::max(renewal_, renew.renewal_);
    }
    return commands;
  }

  // Handles a lease reply with the last orders of all failure domains.
  Commands Reply(const state::Evacuations& evacuations, bool granted = true) {
    const state::Configuration configuration{
        .version_ = 1,
        .services_ = {state::Service{.name_ = "s",
                                     .strategy_ = "expected_time",
                                     .rules_ = {{.path_prefix_ = "/"}},
                                     .retry_ = {.budget_ratio_ = 0,
                                                .budget_per_second_ = 0}},
                      state::Service{.name_ = "o",
                                     .rules_ = {{.path_prefix_ = "/"}}}},
        .routes_ = {Route("/read/", state::RequestClass::kLookup),
                    Route("/act/", state::RequestClass::kAction)}};
    return Receive(kControl, "",
                   LeaseReply{.control_instance_ = "c",
                              .granted_ = granted,
                              .configuration_index_ = 1,
                              .configuration_confirmed_ = true,
                              .configuration_ =
                                  std::make_shared<const state::Configuration>(
                                      configuration),
                              .membership_epoch_ = 1,
                              .membership_version_ = 1,
                              .membership_full_ = true,
                              .membership_ = targets_,
                              .leader_address_ = kControl,
                              .renewal_ = renewal_,
                              .evacuations_ = evacuations});
  }
  // Handles a lease reply in which only this failure domain has had an order.
  Commands Order(uint64_t index, const std::string& domain, bool evacuates) {
    return Reply({.index_ = index, .domains_ = {{domain, evacuates, index}}});
  }

  Commands Receive(const std::string& address,
                   const std::string& connection,
                   const PeerMessage& message) {
    return node_.Handle(PeerMessageReceived{.connection_ = connection,
                                            .address_ = address,
                                            .message_ = message},
                        now_);
  }

  // The ingress's side.

  Commands Call(const std::string& path) {
    return node_.Handle(
        CallReceived{.call_id_ = ++call_,
                     .host_ = "h",
                     .request_ = {.method_ = "GET", .path_ = path}},
        now_);
  }
  Commands CallWithKey() {
    return node_.Handle(
        CallReceived{.call_id_ = ++call_,
                     .service_ = "s",
                     .request_ = {.method_ = "POST", .path_ = "/x"},
                     .idempotency_key_ = "k"},
        now_);
  }
  Commands Answer(const Attempt& attempt,
                  AttemptResult result,
                  state::RefusalReason refusal = state::RefusalReason::kNone) {
    return Receive(
        attempt.target_ + "-guard", "",
        AttemptAnswer{
            .request_id_ = attempt.request_id_,
            .attempt_ = attempt.attempt_,
            .result_ = result,
            .refusal_ = refusal,
            .answer_ = {.status_ = 200},
            .load_ = {.slots_ = 4, .state_ = state::TargetState::kServing}});
  }
  // Handles the register's answer to the only call among the commands.
  Commands AnswerRegister(const Commands& commands,
                          const state::RegisterResult& result) {
    const auto calls = AllOf<RegisterCall>(commands);
    REQUIRE(calls.size() == 1);
    return Receive(
        kControl, "",
        RegisterReply{.call_id_ = calls[0].call_id_, .result_ = result});
  }

  // The guard's side.

  Commands Attempted(const std::string& id, bool with_key = false) {
    return Receive("", "link",
                   Attempt{.request_id_ = id,
                           .attempt_ = 1,
                           .service_ = "o",
                           .target_ = "own",
                           .request_ = {.method_ = "GET", .path_ = "/"},
                           .deadline_left_ = state::Millis(60000),
                           .request_class_ = state::RequestClass::kAction,
                           .configuration_index_ = 1,
                           .may_queue_ = true,
                           .unkeyed_ = !with_key,
                           .key_ = with_key ? "o/k" : "",
                           .digest_ = id,
                           .register_attempt_ = with_key ? 1u : 0u});
  }

  static state::TargetRecord Target(const std::string& name,
                                    const std::string& domain) {
    return state::TargetRecord{.target_ = name,
                               .service_ = "s",
                               .instance_ = name,
                               .guard_address_ = name + "-guard",
                               .region_ = "r",
                               .failure_domain_ = domain,
                               .slots_ = 4,
                               .state_ = state::TargetState::kServing,
                               .version_ = {1, 1}};
  }
  static state::Route Route(const std::string& prefix,
                            state::RequestClass request_class) {
    return state::Route{.name_ = prefix,
                        .host_ = "h",
                        .path_prefix_ = prefix,
                        .request_class_ = request_class,
                        .timeout_ = state::Millis(1000),
                        .latency_objective_ = state::Millis(500),
                        .max_attempts_ = 3,
                        .destinations_ = {{"s", 1}}};
  }

  state::Millis now_ = state::Millis(1);
  uint64_t renewal_ = 0;
  std::mt19937_64 random_;
  state::Counters counters_;
  const std::vector<state::TargetRecord> targets_;
  Node node_;
  uint64_t call_ = 0;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_TESTS_EVACUATION_DAEMON_H_
