#ifndef PROTOCOL_API_SETTINGS_H_
#define PROTOCOL_API_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "coordination/coordination.h"

namespace gooseberrygap::protocol {

struct HttpSettings {
  const std::string listen_ = {};
  const int workers_ = 64;
  const int max_connections_ = 2048;
  const int max_header_bytes_ = 16384;
  const int max_body_bytes_ = 1048576;

  friend bool operator==(const HttpSettings&, const HttpSettings&) = default;
};

struct PeerSettings {
  const std::string listen_ = {};
  // The address that other daemons use. ParseSettings sets it to `listen_` when
  // the file does not give it.
  const std::string advertise_ = {};

  friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
};

// Addresses of the daemon's second front, which speaks the dialect of a
// platform instead of the project's own. Each may be left out.
struct PlatformSettings {
  const std::string calls_ = {};           // For callers and the own target.
  const std::string readiness_ = {};       // For the question of readiness.
  const std::string administration_ = {};  // For targets and operators.
  // Service of the own target: calls that come here were made beside it.
  const std::string service_ = {};
  const int max_connections_ = 2048;
  // How long callers go on to be served after a stop signal, while they are
  // told to go elsewhere.
  const state::Millis stop_notice_ = state::Millis(2500);
  // A target that has not announced itself for so long is gone.
  const state::Millis announcement_lifetime_ = state::Millis(10000);
  // Repeats that a service may get in a window of time: a part of its requests,
  // and a number beyond it.
  const double repeat_ratio_ = 0.2;
  const int repeat_slack_ = 0;
  const double repeat_window_seconds_ = 10;

  friend bool operator==(const PlatformSettings&,
                         const PlatformSettings&) = default;
};

// How the control group is found where no control instances are listed, and how
// it forms and keeps its members by itself.
struct SeedSettings {
  // Addresses of some control instances, at any of their ports.
  const std::vector<std::string> addresses_ = {};
  const int peer_port_ = 0;  // Of every instance.
  // The system starts for the first time, with empty disks.
  const bool first_start_ = false;
  // Control instances that may be lost at the same time.
  const int tolerated_losses_ = 2;

  friend bool operator==(const SeedSettings&, const SeedSettings&) = default;
};

// Turns on the control role.
struct ControlSettings {
  const std::string data_dir_ = {};
  // Largest number of log entries kept beyond the last snapshot.
  const int snapshot_entries_ = 10000;

  friend bool operator==(const ControlSettings&,
                         const ControlSettings&) = default;
};

// What happens to callers while the process holds too many bytes for them.
struct PressureSettings {
  // How long a request waits for room before it is refused.
  const state::Millis hold_ = state::Millis(3000);
  // A connection that has made no progress for so long may be closed.
  const state::Millis stall_ = state::Millis(2000);

  friend bool operator==(const PressureSettings&,
                         const PressureSettings&) = default;
};

// A daemon's settings file. docs/OPERATIONS.md shows one.
struct Settings {
  const std::string instance_ = {};
  const std::string region_ = {};
  const std::string failure_domain_ = {};
  const HttpSettings http_ = {};
  const PeerSettings peer_ = {};
  const std::vector<coordination::ControlAddress> control_instances_ = {};
  const std::optional<ControlSettings> control_ = {};
  const std::optional<SeedSettings> seeds_ = {};
  const std::optional<PlatformSettings> platform_ = {};
  // Time from the acknowledgement of a configuration until it must be in force
  // at every daemon in contact with the control group.
  const state::Millis configuration_apply_ = state::Millis(2000);
  const coordination::RevocationPolicy revocation_ = {};
  const coordination::QuotaPolicy quota_ = {};
  const coordination::WarmupTolerance warmup_ = {};
  // Limit on the memory of the process, in MiB. Without one, a constant bounds
  // what is held for callers.
  const std::optional<int> memory_mb_ = {};
  const PressureSettings pressure_ = {};
  const std::string log_level_ = "info";
  const int target_workers_ = 16;

  friend bool operator==(const Settings&, const Settings&) = default;
};

// Returns the peer addresses of the seeds, in their order. Thread-safe.
std::vector<std::string> SeedPeerAddresses(const SeedSettings& seeds);

// Returns the settings, or kInvalidSettings whose message lists every fault
// with its path in the document, what was found and what is allowed.
// Thread-safe.
state::Result<Settings> ParseSettings(absl::string_view json);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_SETTINGS_H_
