#ifndef PROTOCOL_INTERNAL_WIRE_VALUES_H_
#define PROTOCOL_INTERNAL_WIRE_VALUES_H_

#include <optional>
#include <string>
#include <utility>

#include "peer.pb.h"
#include "state/state.h"

namespace gooseberrygap::protocol {

// "gbg1": the protocol's name and version.
constexpr uint32_t kMagic = 0x67626731;

// Conversions between the value types of the state library and their wire
// forms. `From` functions append a fault to the reader when a field is out of
// range; the caller checks the reader at the end.

// Collects whether any field of a decoded message was out of range.
class WireReader {
 public:
  // Returns the enum value of a wire number. `last` is its largest value.
  template <class Enum>
  Enum EnumOf(uint32_t number, Enum last) {
    if (number > static_cast<uint32_t>(last)) {
      valid_ = false;
      return Enum{};
    }
    return static_cast<Enum>(number);
  }
  // The same for an enum that ends with kCount.
  template <class Enum>
  Enum EnumOf(uint32_t number) {
    return EnumOf(number,
                  static_cast<Enum>(static_cast<uint32_t>(Enum::kCount) - 1));
  }
  // Returns a duration; one that is not a finite number is a fault.
  state::Millis MillisOf(double value);
  // Sets the body that BodyOf returns next instead of a copy of the field.
  void SetBody(state::Bytes body) { body_.emplace(std::move(body)); }
  state::Bytes BodyOf(const std::string& field) {
    return body_.has_value() ? *body_ : state::Bytes(field);
  }
  void SetInvalid() { valid_ = false; }
  bool valid() const { return valid_; }

 private:
  bool valid_ = true;
  std::optional<state::Bytes> body_;
};

// HeadToWire leaves the body out.
void HeadToWire(const state::HttpRequest& value, wire::HttpRequest* out);
void HeadToWire(const state::HttpAnswer& value, wire::HttpAnswer* out);
void ToWire(const state::HttpRequest& value, wire::HttpRequest* out);
void ToWire(const state::HttpAnswer& value, wire::HttpAnswer* out);
void ToWire(const state::GuardLoad& value, wire::GuardLoad* out);
void ToWire(const state::TargetWithdrawal& value, wire::TargetWithdrawal* out);
void ToWire(const state::CrashReport& value, wire::CrashReport* out);
void ToWire(const state::TargetRecord& value, wire::TargetRecord* out);
void ToWire(const state::RegisterCommand& value, wire::RegisterCommand* out);
void ToWire(const state::RegisterResult& value, wire::RegisterResult* out);
void ToWire(const state::Configuration& value, wire::Configuration* out);
void ToWire(const state::Evacuations& value, wire::Evacuations* out);
void ToWire(const state::EvacuationOrder& value, wire::EvacuationOrder* out);
void ToWire(const state::LogEntry& value, wire::LogEntry* out);
void ToWire(const state::LogSnapshot& value, wire::LogSnapshot* out);

state::HttpRequest FromWire(const wire::HttpRequest& in, WireReader* reader);
state::HttpAnswer FromWire(const wire::HttpAnswer& in, WireReader* reader);
state::GuardLoad FromWire(const wire::GuardLoad& in, WireReader* reader);
state::CrashReport FromWire(const wire::CrashReport& in);
std::vector<state::CrashReport> CrashesFromWire(
    const google::protobuf::RepeatedPtrField<wire::CrashReport>& in);
state::TargetWithdrawal FromWire(const wire::TargetWithdrawal& in,
                                 WireReader* reader);
state::TargetRecord FromWire(const wire::TargetRecord& in, WireReader* reader);
state::RegisterCommand FromWire(const wire::RegisterCommand& in,
                                WireReader* reader);
state::RegisterResult FromWire(const wire::RegisterResult& in,
                               WireReader* reader);
state::Configuration FromWire(const wire::Configuration& in,
                              WireReader* reader);
state::Evacuations FromWire(const wire::Evacuations& in, WireReader* reader);
state::EvacuationOrder FromWire(const wire::EvacuationOrder& in,
                                WireReader* reader);
state::LogEntry FromWire(const wire::LogEntry& in, WireReader* reader);
state::LogSnapshot FromWire(const wire::LogSnapshot& in, WireReader* reader);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_INTERNAL_WIRE_VALUES_H_
