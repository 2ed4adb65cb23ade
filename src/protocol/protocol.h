#ifndef PROTOCOL_PROTOCOL_H_
#define PROTOCOL_PROTOCOL_H_

// Public header of the protocol library: the encodings of peer messages,
// settings, configuration and metrics.

#include "protocol/api/body_transfer.h"
#include "protocol/api/configuration_json.h"
#include "protocol/api/credentials.h"
#include "protocol/api/front_dialect.h"
#include "protocol/api/header_names.h"
#include "protocol/api/json_size.h"
#include "protocol/api/log_codec.h"
#include "protocol/api/log_line.h"
#include "protocol/api/metrics_text.h"
#include "protocol/api/node_json.h"
#include "protocol/api/numeric_address.h"
#include "protocol/api/operator_json.h"
#include "protocol/api/peer_codec.h"
#include "protocol/api/quota_json.h"
#include "protocol/api/settings.h"
#include "protocol/api/target_dialect.h"

#endif  // PROTOCOL_PROTOCOL_H_
