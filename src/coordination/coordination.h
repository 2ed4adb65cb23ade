#ifndef COORDINATION_COORDINATION_H_
#define COORDINATION_COORDINATION_H_

// Public header of the coordination library: the decisions of gooseberrygap as
// functions of state, event and time, without sockets, threads, clocks or
// codecs.

#include "coordination/api/answer_check.h"
#include "coordination/api/commands.h"
#include "coordination/api/control_client.h"
#include "coordination/api/control_service.h"
#include "coordination/api/digest.h"
#include "coordination/api/events.h"
#include "coordination/api/group_membership.h"
#include "coordination/api/guard.h"
#include "coordination/api/ingress.h"
#include "coordination/api/link_monitor.h"
#include "coordination/api/messages.h"
#include "coordination/api/node.h"
#include "coordination/api/policies.h"
#include "coordination/api/quota_use.h"
#include "coordination/api/raft.h"
#include "coordination/api/register_client.h"
#include "coordination/api/router.h"
#include "coordination/api/service_time.h"
#include "coordination/api/strategy.h"

#endif  // COORDINATION_COORDINATION_H_
