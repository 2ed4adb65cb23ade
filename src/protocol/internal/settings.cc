#include <array>
#include "absl/strings/match.h"

#include "protocol/internal/json_fields.h"
#include "protocol/internal/json_texts.h"
#include "protocol/protocol.h"

namespace gooseberrygap::protocol {

namespace {

using coordination::ControlAddress;

constexpr size_t kMaxControlInstances = 64;
constexpr absl::string_view kWildcardHost = "0.0.0.0:";

// The levels of log4cplus.
constexpr std::array<absl::string_view, 7> kLogLevels = {
    "trace", "debug", "info", "warn", "error", "fatal", "off"};

constexpr auto kHttpRecord = RecordOf<HttpSettings>(
    Required("listen", &HttpSettings::listen_, kAddressText),
    Optional("workers", &HttpSettings::workers_, Integer{1, 4096}),
    Optional("max_connections",
             &HttpSettings::max_connections_,
             Integer{1, 65536}),
    Optional("max_header_bytes",
             &HttpSettings::max_header_bytes_,
             Integer{1024, 1048576}),
    Optional("max_body_bytes",
             &HttpSettings::max_body_bytes_,
             Integer{0, 67108864}));

constexpr auto kPeerRecord = RecordOf<PeerSettings>(
    Required("listen", &PeerSettings::listen_, kAddressText),
    Optional("advertise", &PeerSettings::advertise_, kAddressOrEmptyText));

// Fills in the advertised address, which other daemons must be able to reach.
struct PeerSection {
  std::string Allowed() const { return kPeerRecord.Allowed(); }

  template <class Value>
  Value Read(const JsonNode& node) const {
    auto peer = kPeerRecord.Read<PeerSettings>(node);
    if (!peer.advertise_.empty()) {
      return peer;
    }
    if (absl::StartsWith(peer.listen_, kWildcardHost)) {
      node.RefuseMissing("advertise",
                         "the address by which other daemons reach this one, "
                         "since it listens on every address");
    }
    return PeerSettings{.listen_ = peer.listen_, .advertise_ = peer.listen_};
  }
};

constexpr auto kControlAddressRecord = RecordOf<ControlAddress>(
    Required("instance", &ControlAddress::instance_, kNameText),
    Required("address", &ControlAddress::address_, kAddressText),
    Required("region", &ControlAddress::region_, kNameText));

constexpr auto kControlRecord = RecordOf<ControlSettings>(
    Required("data_dir", &ControlSettings::data_dir_, kFolderText),
    Optional("snapshot_entries",
             &ControlSettings::snapshot_entries_,
             Integer{1, 10000000}));

constexpr auto kSettingsRecord = RecordOf<Settings>(
    Required("instance", &Settings::instance_, kNameText),
    Required("region", &Settings::region_, kNameText),
    Required("failure_domain", &Settings::failure_domain_, kNameText),
    Required("http", &Settings::http_, kHttpRecord),
    Required("peer", &Settings::peer_, PeerSection{}),
    Required("control_instances",
             &Settings::control_instances_,
             NamedListOf(kControlAddressRecord,
                         kMaxControlInstances,
                         "instance",
                         &ControlAddress::instance_)),
    Optional("control", &Settings::control_, SectionOf(kControlRecord)),
    Optional("log_level", &Settings::log_level_, Word{kLogLevels}),
    Optional("target_workers", &Settings::target_workers_, Integer{1, 4096}));

}  // namespace

state::Result<Settings> ParseSettings(absl::string_view json) {
  return ReadDocument(kSettingsRecord, json, UnknownKeys::kRefuse,
                      state::ErrorKind::kInvalidSettings, "The settings file");
}

}  // namespace gooseberrygap::protocol
