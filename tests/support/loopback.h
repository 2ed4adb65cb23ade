#ifndef SUPPORT_LOOPBACK_H_
#define SUPPORT_LOOPBACK_H_

#include <string>

#include "support/address.h"

namespace gooseberrygap::test_support {

// Each test process reserves a block of 254 loopback hosts for its lifetime, so
// that tests that run at the same time cannot take each other's ports, and a
// restarted process finds its port free.

// Returns the hosts of this process's block in turn. Thread-safe.
std::string NewLoopbackHost();

// Returns a free port on the host, below the range that the kernel uses for
// outgoing connections. Thread-safe.
Address FreeAddress(const std::string& host);

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_LOOPBACK_H_
