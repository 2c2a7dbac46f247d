#pragma once
// Metrics of the process, the same for every role.

#include "caraway/base/http.h"
#include "caraway/runtime/peer_transport.h"

namespace caraway {

// Peak resident memory in bytes; 0 if it is not available.
uint64_t
PeakMemory();

// Appends dropped log lines, peak memory and peer message counters to a metrics
// response; leaves any other response unchanged.
void
AddProcessMetrics(HttpResponse& aResponse, const PeerCounters& aPeers);

// Connections closed since they held too much or took too long.
constexpr const char* kClosedConnectionsMetric =
  "caraway_http_connections_closed_total";

// Appends one sample to a metrics response, as above.
void
AddMetric(HttpResponse& aResponse,
          const char* aName,
          const char* aType,
          uint64_t aValue);

} // namespace caraway
