#ifndef PROTOCOL_INTERNAL_QUOTA_WIRE_H_
#define PROTOCOL_INTERNAL_QUOTA_WIRE_H_

#include "coordination/coordination.h"
#include "protocol/internal/wire_values.h"

namespace gooseberrygap::protocol {

// Conversions between the messages of the quotas and their wire forms.

void ToWire(const coordination::QuotaReport& value, wire::QuotaReport* out);
void ToWire(const coordination::QuotaGrant& value, wire::QuotaGrant* out);

coordination::QuotaReport FromWire(const wire::QuotaReport& in,
                                   WireReader* reader);
coordination::QuotaGrant FromWire(const wire::QuotaGrant& in,
                                  WireReader* reader);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_INTERNAL_QUOTA_WIRE_H_
