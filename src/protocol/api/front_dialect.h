#ifndef PROTOCOL_API_FRONT_DIALECT_H_
#define PROTOCOL_API_FRONT_DIALECT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/coordination.h"

namespace gooseberrygap::protocol {

// What callers, targets and operators ask of a front, apart from how they say
// it.

// A call. The front adds its number.
struct CallRequest {
  const std::string host_ = {};
  const state::HttpRequest request_ = {};
  const std::optional<state::Millis> deadline_left_ = {};
  // The caller's own name of the request, for the log.
  const std::string caller_id_ = {};
  // As in coordination::CallReceived.
  const std::optional<std::string> api_key_ = {};
  const std::vector<state::HttpHeader> credentials_ = {};
};

// Whether callers should be sent to this daemon.
struct ReadinessRequest {};

// Reads the newest configuration.
struct ReadConfiguration {};

// Submits a whole document, which is not null.
struct ReplaceConfiguration {
  const std::string submission_ = {};
  const uint64_t base_version_ = 0;
  const std::shared_ptr<const state::Configuration> configuration_ = {};
};

// Submits a change of named items, which is not null.
struct ChangeConfiguration {
  const std::string submission_ = {};
  const uint64_t base_version_ = 0;
  const std::shared_ptr<const state::ConfigurationChange> change_ = {};
};

// Orders that nothing more is sent to the targets of a failure domain, or
// withdraws such an order.
struct OrderEvacuation {
  const std::string failure_domain_ = {};
  const bool evacuates_ = true;  // False withdraws the order.

  friend bool operator==(const OrderEvacuation&,
                         const OrderEvacuation&) = default;
};

// A request that means nothing here, with its answer.
struct RefusedRequest {
  const state::HttpAnswer answer_ = {};
  // Counts the refusal, if it has a counter of its own.
  const std::optional<state::Counter> counter_ = {};
};

using FrontRequest = std::variant<CallRequest,
                                  ReadinessRequest,
                                  coordination::TargetAnnounced,
                                  coordination::TargetWithdrawn,
                                  ReadConfiguration,
                                  ReplaceConfiguration,
                                  ChangeConfiguration,
                                  OrderEvacuation,
                                  RefusedRequest>;

// The end of an operator's order.
enum class SubmissionOutcome {
  kAccepted,
  kInvalid,
  kConflict,    // Another version is in force than the order builds on.
  kNotCertain,  // The order may be sent again, here or elsewhere.
};

// How requests to a front are read and its answers written. Implementations are
// thread-safe.
class FrontDialect {
 public:
  virtual ~FrontDialect() = default;

  // Reads a caller's request, and one to the administration address.
  virtual FrontRequest ReadCall(const state::HttpRequest& request) const = 0;
  virtual FrontRequest ReadReadiness(
      const state::HttpRequest& request) const = 0;
  virtual FrontRequest ReadAdministration(
      const state::HttpRequest& request) const = 0;

  virtual state::HttpAnswer PrintCallAnswer(
      const coordination::CallAnswer& answer) const = 0;
  virtual state::HttpAnswer PrintReadiness(bool is_ready) const = 0;
  // Answers a target's announcement or withdrawal.
  virtual state::HttpAnswer PrintAcknowledgement(bool is_accepted) const = 0;
  // Answers an operator's order; `what` says why it was not accepted.
  virtual state::HttpAnswer PrintSubmissionOutcome(
      SubmissionOutcome end,
      const std::string& what) const = 0;
  // Answers a read; without a configuration the newest one is not certain.
  virtual state::HttpAnswer PrintConfiguration(
      const state::Configuration* configuration) const = 0;
};

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_FRONT_DIALECT_H_
