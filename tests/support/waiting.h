#ifndef SUPPORT_WAITING_H_
#define SUPPORT_WAITING_H_

#include <functional>

#include "absl/strings/string_view.h"
#include "state/state.h"
#include "support/address.h"

namespace gooseberrygap::test_support {

// Time limit of waits that end earlier unless something is wrong. Generous,
// because test machines are busy.
inline constexpr state::Millis kPatience(20000);

// Checks the condition every few milliseconds. Returns kTimeout that names
// `what` when it does not hold within the timeout. Thread-safe.
state::Result<void> WaitUntil(absl::string_view what,
                              const std::function<bool()>& condition,
                              state::Millis timeout = kPatience);

// Returns true when a connection to the address succeeds. Thread-safe.
bool IsListening(const Address& address);

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_WAITING_H_
