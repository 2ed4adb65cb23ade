#ifndef STATE_API_CONFIGURATION_SIZE_H_
#define STATE_API_CONFIGURATION_SIZE_H_

#include <cstddef>

#include "state/api/configuration.h"
#include "state/api/configuration_change.h"
#include "state/api/error.h"

namespace gooseberrygap::state {

// Largest configuration that is accepted, as SizeOf counts it: more than a
// document of 4 MiB, the limit of the administration address, whose items have
// names of 10 bytes and more. A control instance of 256 MB holds several, while
// changes are in progress.
constexpr size_t kMaxConfigurationBytes = size_t{16} * 1024 * 1024;

// Return the bytes that a configuration, or the items of a change, take in
// memory, without the overhead of the allocator. Thread-safe.
size_t SizeOf(const Configuration& configuration);
size_t SizeOf(const ConfigurationChange& change);

// Checks that the configuration is not larger than the limit. Thread-safe.
Result<void> CheckSize(const Configuration& configuration);

}  // namespace gooseberrygap::state

#endif  // STATE_API_CONFIGURATION_SIZE_H_
