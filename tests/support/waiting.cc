#include "support/waiting.h"

#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace gooseberrygap::test_support {

namespace {

constexpr state::Millis kStep(5);

}  // namespace

state::Result<void> WaitUntil(absl::string_view what,
                              const std::function<bool()>& condition,
                              state::Millis timeout) {
  const state::SteadyClock clock;
  const state::Millis until = clock.Now() + timeout;
  while (!condition()) {
    if (clock.Now() > until) {
      return state::MakeError(
          state::ErrorKind::kTimeout,
          absl::StrCat("after ", timeout.value(), " ms still no ", what));
    }
    absl::SleepFor(absl::Milliseconds(kStep.value()));
  }
  return boost::outcome_v2::success();
}

bool IsListening(const Address& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = ToSocketAddress(address);
  const bool connected =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&name),
              sizeof(name)) == 0;
  close(descriptor);
  return connected;
}

}  // namespace gooseberrygap::test_support
