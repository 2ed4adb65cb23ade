#ifndef STATE_STATE_H_
#define STATE_STATE_H_

// Public header of the state library: value types, clocks, errors, counters,
// the durable log store and the replicated state machines.

#include "state/api/action.h"
#include "state/api/action_register.h"
#include "state/api/allowed_regions.h"
#include "state/api/bytes.h"
#include "state/api/clock.h"
#include "state/api/configuration.h"
#include "state/api/configuration_change.h"
#include "state/api/configuration_size.h"
#include "state/api/configuration_store.h"
#include "state/api/counters.h"
#include "state/api/crash_table.h"
#include "state/api/damaged_folder.h"
#include "state/api/error.h"
#include "state/api/evacuation.h"
#include "state/api/evacuation_table.h"
#include "state/api/gauges.h"
#include "state/api/histograms.h"
#include "state/api/http.h"
#include "state/api/log.h"
#include "state/api/log_command.h"
#include "state/api/log_event.h"
#include "state/api/log_store.h"
#include "state/api/membership_table.h"
#include "state/api/reasons.h"
#include "state/api/replace.h"
#include "state/api/shared.h"
#include "state/api/target.h"
#include "state/api/token_bucket.h"
#include "state/api/withdrawal_table.h"

#endif  // STATE_STATE_H_
