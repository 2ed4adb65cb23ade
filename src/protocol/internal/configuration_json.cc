#include "protocol/internal/configuration_fields.h"
#include "protocol/protocol.h"

namespace gooseberrygap::protocol {

state::Result<state::Configuration> ParseConfiguration(absl::string_view json) {
  return ReadDocument(kConfigurationRecord, json, UnknownKeys::kRefuse,
                      state::ErrorKind::kInvalidConfiguration,
                      "The configuration");
}

std::string PrintConfiguration(const state::Configuration& configuration) {
  return PrintDocument(kConfigurationRecord, configuration);
}

std::string PrintConfigurationIndented(
    const state::Configuration& configuration) {
  return PrintJson(kConfigurationRecord.Print(configuration),
                   Layout::kIndented);
}

}  // namespace gooseberrygap::protocol
