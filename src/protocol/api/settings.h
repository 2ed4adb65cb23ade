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

// Turns on the control role.
struct ControlSettings {
  const std::string data_dir_ = {};
  // Largest number of log entries kept beyond the last snapshot.
  const int snapshot_entries_ = 10000;

  friend bool operator==(const ControlSettings&,
                         const ControlSettings&) = default;
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
  const std::string log_level_ = "info";
  const int target_workers_ = 16;

  friend bool operator==(const Settings&, const Settings&) = default;
};

// Returns the settings, or kInvalidSettings whose message lists every fault
// with its path in the document, what was found and what is allowed.
// Thread-safe.
state::Result<Settings> ParseSettings(absl::string_view json);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_API_SETTINGS_H_
