#pragma once
// Metrics that every process has, whatever its role.

#include "caraway/base/http.h"
#include "caraway/runtime/peer_transport.h"

namespace caraway {

// Adds log lines left out, peak memory and messages between processes to an
// answer that carries metrics; any other answer stays as it is.
void
AddProcessMetrics(HttpResponse& aResponse, const PeerCounters& aPeers);

} // namespace caraway
