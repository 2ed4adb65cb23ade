#include <array>
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

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

constexpr auto kSeedsRecord = RecordOf<SeedSettings>(
    Required("addresses",
             &SeedSettings::addresses_,
             ListOf(kAddressText, kMaxControlInstances)),
    Required("peer_port", &SeedSettings::peer_port_, Integer{1, 65535}),
    Optional("first_start", &SeedSettings::first_start_, Flag{}),
    Optional("tolerated_losses",
             &SeedSettings::tolerated_losses_,
             Integer{0, 6}));

// A process without callers takes about 15 MiB.
constexpr int kMinMemoryMb = 32;
constexpr int kMaxMemoryMb = 1 << 20;

constexpr double kMinuteMs = 60.0 * 1000;

constexpr auto kPlatformRecord = RecordOf<PlatformSettings>(
    Optional("calls", &PlatformSettings::calls_, kAddressOrEmptyText),
    Optional("readiness", &PlatformSettings::readiness_, kAddressOrEmptyText),
    Optional("administration",
             &PlatformSettings::administration_,
             kAddressOrEmptyText),
    Optional("service", &PlatformSettings::service_, kAnyText),
    Optional("max_connections",
             &PlatformSettings::max_connections_,
             Integer{1, 65536}),
    Optional("stop_notice_ms",
             &PlatformSettings::stop_notice_,
             Number{0, kMinuteMs}),
    Optional("announcement_lifetime_ms",
             &PlatformSettings::announcement_lifetime_,
             Number{1000, 10 * kMinuteMs}),
    Optional("repeat_ratio", &PlatformSettings::repeat_ratio_, Number{0, 1}),
    Optional("repeat_slack",
             &PlatformSettings::repeat_slack_,
             Integer{0, 1000000}),
    Optional("repeat_window_s",
             &PlatformSettings::repeat_window_seconds_,
             Number{0.1, 600}));

constexpr auto kRevocationRecord = RecordOf<coordination::RevocationPolicy>(
    Optional("strict", &coordination::RevocationPolicy::is_strict_, Flag{}),
    Optional("limit_ms",
             &coordination::RevocationPolicy::limit_,
             Number{1000, 60 * kMinuteMs}));

constexpr auto kQuotaRecord = RecordOf<coordination::QuotaPolicy>(
    Optional("window_s",
             &coordination::QuotaPolicy::window_seconds_,
             Number{1, 3600}),
    Optional("overshoot",
             &coordination::QuotaPolicy::overshoot_,
             Number{0, 10}),
    Optional("slack", &coordination::QuotaPolicy::slack_, Number{0, 1e6}));

constexpr auto kWarmupRecord = RecordOf<coordination::WarmupTolerance>(
    Optional("overshoot",
             &coordination::WarmupTolerance::overshoot_,
             Number{1, 10}),
    Optional("slack", &coordination::WarmupTolerance::slack_, Number{0, 1e6}));

constexpr auto kPressureRecord = RecordOf<PressureSettings>(
    Optional("hold_ms", &PressureSettings::hold_, Number{0, kMinuteMs}),
    Optional("stall_ms", &PressureSettings::stall_, Number{100, kMinuteMs}));

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
    Optional("seeds", &Settings::seeds_, SectionOf(kSeedsRecord)),
    Optional("platform", &Settings::platform_, SectionOf(kPlatformRecord)),
    Optional("configuration_apply_ms",
             &Settings::configuration_apply_,
             Number{100, 10 * kMinuteMs}),
    Optional("revocation", &Settings::revocation_, kRevocationRecord),
    Optional("quota", &Settings::quota_, kQuotaRecord),
    Optional("warmup", &Settings::warmup_, kWarmupRecord),
    Optional("memory_mb",
             &Settings::memory_mb_,
             SectionOf(Integer{kMinMemoryMb, kMaxMemoryMb})),
    Optional("pressure", &Settings::pressure_, kPressureRecord),
    Optional("log_level", &Settings::log_level_, Word{kLogLevels}),
    Optional("target_workers", &Settings::target_workers_, Integer{1, 4096}));

}  // namespace

std::vector<std::string> SeedPeerAddresses(const SeedSettings& seeds) {
  std::vector<std::string> addresses;
  for (const std::string& address : seeds.addresses_) {
    addresses.push_back(absl::StrCat(address.substr(0, address.rfind(':')), ":",
                                     seeds.peer_port_));
  }
  return addresses;
}

state::Result<Settings> ParseSettings(absl::string_view json) {
  return ReadDocument(kSettingsRecord, json, UnknownKeys::kRefuse,
                      state::ErrorKind::kInvalidSettings, "The settings file");
}

}  // namespace gooseberrygap::protocol
