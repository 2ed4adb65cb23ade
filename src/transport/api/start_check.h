#ifndef TRANSPORT_API_START_CHECK_H_
#define TRANSPORT_API_START_CHECK_H_

#include "state/state.h"

namespace gooseberrygap::transport {

// Libraries end the process when the system refuses them a thread or a
// descriptor. A step of the start therefore checks first that it can have them,
// and fails with an error whose cause may pass.

// Returns whether the system can run so many more threads now. Starts them
// without work and ends them again; their stacks stay reserved for later
// threads, as far as glibc keeps stacks (40 MiB). Callable before the static
// initialisers have run. Thread-safe.
bool CanStartThreads(int count);

// As CanStartThreads; the error is kNoResources. Thread-safe.
state::Result<void> CheckThreads(int count);

// Returns kNoResources when the process cannot open so many more descriptors.
// Thread-safe.
state::Result<void> CheckDescriptors(int count);

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_START_CHECK_H_
