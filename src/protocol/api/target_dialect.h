#ifndef PROTOCOL_API_TARGET_DIALECT_H_
#define PROTOCOL_API_TARGET_DIALECT_H_

#include <memory>

#include "coordination/coordination.h"

namespace gooseberrygap::protocol {

// How requests to the own target are written, and what its answers say beside
// the answer itself. Implementations are thread-safe.
class TargetDialect {
 public:
  virtual ~TargetDialect() = default;

  // Returns the request with the headers that the target expects of its daemon.
  virtual state::HttpRequest Request(
      const coordination::DeliverToTarget& delivery) const = 0;
  // Returns what a message that came while the request waits says of itself.
  virtual coordination::ReceivedAnswer Identify(
      const coordination::DeliverToTarget& delivery,
      const state::HttpAnswer& answer) const = 0;
  // Returns the end of a delivery with what the answer tells of the target.
  virtual coordination::DeliveryEnded Interpret(
      const coordination::DeliveryEnded& ended) const = 0;
};

// Returns the project's own dialect, docs/INTERFACE.md.
std::unique_ptr<TargetDialect> MakeTargetDialect();

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_TARGET_DIALECT_H_
