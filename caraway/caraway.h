#pragma once
// The public header of libcaraway: the coordination logic of carawayyard. It
// does no I/O and uses no clocks, sockets, files, threads or global state.
//
// Contents
//   1. Base: ids, time, leases, errors, outcomes
//   2. Messages and codec
//   3. Configuration
//   4. Consensus
//   5. Roles
//
// Every state machine has the same interface: a plain struct, a Step function
// that takes the time and an event and appends typed actions, and NextWakeup.

// 1. Base
#include "caraway/base/decision_log.h"
#include "caraway/base/error.h"
#include "caraway/base/http.h"
#include "caraway/base/ids.h"
#include "caraway/base/lease.h"
#include "caraway/base/outcome.h"
#include "caraway/base/random.h"
#include "caraway/base/role_io.h"
#include "caraway/base/time.h"

// 2. Messages and codec
#include "caraway/wire/messages.h"

// 3. Configuration
#include "caraway/config/config_view.h"

// 4. Consensus
#include "caraway/consensus/raft.h"

// 5. Roles
#include "caraway/control/control_io.h"
#include "caraway/control/control_settings.h"
#include "caraway/entry/entry_io.h"
#include "caraway/entry/entry_settings.h"
#include "caraway/node/node_io.h"
#include "caraway/node/node_settings.h"
