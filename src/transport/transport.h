#ifndef TRANSPORT_TRANSPORT_H_
#define TRANSPORT_TRANSPORT_H_

// Public header of the transport library: duty threads and the bounded rings
// that join them, the HTTP server and client, and the peer endpoint.

#include "transport/api/answer_slot.h"
#include "transport/api/byte_account.h"
#include "transport/api/call_server.h"
#include "transport/api/duty_thread.h"
#include "transport/api/http_server.h"
#include "transport/api/peer_endpoint.h"
#include "transport/api/ring.h"
#include "transport/api/start_check.h"
#include "transport/api/target_client.h"

#endif  // TRANSPORT_TRANSPORT_H_
