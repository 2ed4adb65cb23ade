#ifndef INTEGRATION_RAW_CALLERS_H_
#define INTEGRATION_RAW_CALLERS_H_

#include <memory>
#include <string>
#include <vector>

#include "state/state.h"
#include "support/address.h"

namespace gooseberrygap::integration {

// The bytes that one caller sends on a connection of its own, which it then
// leaves open.
struct RawRequest {
  // Shared by the callers that send the same.
  const std::shared_ptr<const std::string> text_ = {};
  // The caller stops after so many bytes of the text.
  const size_t sent_bytes_ = 0;
  const size_t piece_bytes_ = 0;  // Sent at a time, in turn with the others.
  const bool reads_answer_ = true;
};

// Callers that send raw bytes and keep their connections open until the end of
// this object. Not thread-safe.
class RawCallers {
 public:
  RawCallers(const test_support::Address& address,
             const std::vector<RawRequest>& requests);
  ~RawCallers();

  RawCallers(const RawCallers&) = delete;
  RawCallers& operator=(const RawCallers&) = delete;

  // Sends, and reads answers, until no caller has got further for a while.
  void SendAll();

  // Return how many callers have sent all their bytes, and how many
  // connections are open.
  int CountSent() const;
  int CountOpen() const;

 private:
  struct Connection {
    int descriptor_ = -1;  // -1 when closed.
    size_t sent_ = 0;
  };

  // Return whether the caller sent or received anything.
  bool SendPiece(size_t caller);
  bool ReceiveSome(size_t caller);
  void Close(size_t caller);
  bool IsSending(size_t caller) const;

  const std::vector<RawRequest> requests_;
  std::vector<Connection> connections_;
};

}  // namespace gooseberrygap::integration

#endif  // INTEGRATION_RAW_CALLERS_H_
