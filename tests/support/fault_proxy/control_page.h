#ifndef SUPPORT_FAULT_PROXY_CONTROL_PAGE_H_
#define SUPPORT_FAULT_PROXY_CONTROL_PAGE_H_

#include <httplib.h>

#include "support/fault_proxy/proxy.h"

namespace gooseberrygap::test_support {

// Sets the handlers of the control page:
//   POST /groups      {"NAME": {"bits_per_second": 30e6}, ...}
//   POST /links       a link or a list of links: {"name", "kind", "listen",
//                     "to", "source"} and the keys of the next request
//   POST /links/NAME  {"forward": FAULTS, "backward": FAULTS, "refuse": true,
//                     "freeze_established": "forward|backward|both",
//                     "cut": true}; forward is from the client to the server
//   GET /links        faults and counts of each link, by name
// `proxy` must outlive the server.
void RegisterControlPage(httplib::Server* server, Proxy* proxy);

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_FAULT_PROXY_CONTROL_PAGE_H_
