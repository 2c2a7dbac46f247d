#pragma once
// The public header of libcaraway_runtime: I/O for the roles of libcaraway,
// based on libevent, sigc++ and log4cplus.
//
// Contents
//   1. Event loop and timers
//   2. Transports: peers, HTTP server, HTTP client, TLS
//   3. Settings, logs and the end of the process
//   4. Hosts: one role each on the loop

// 1. Event loop
#include "caraway/runtime/loop.h"

// 2. Transports
#include "caraway/runtime/http_server.h"
#include "caraway/runtime/peer_transport.h"
#include "caraway/runtime/socket_address.h"
#include "caraway/runtime/target_client.h"
#include "caraway/runtime/tls.h"

// 3. Settings, logs and the end of the process
#include "caraway/runtime/logging.h"
#include "caraway/runtime/memory_watch.h"
#include "caraway/runtime/process_end.h"
#include "caraway/runtime/settings_reader.h"

// 4. Hosts
#include "caraway/runtime/entry_host.h"
#include "caraway/runtime/node_host.h"
