// Process metrics in the Prometheus text format.

#include "caraway/runtime/process_metrics.h"

#include <sys/resource.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "caraway/runtime/logging.h"

namespace caraway {

namespace {

void
Append(std::string& aText,
       const char* aName,
       const char* aType,
       uint64_t aValue)
{
  absl::StrAppend(
    &aText, "# TYPE ", aName, " ", aType, "\n", aName, " ", aValue, "\n");
}

bool
IsMetricsResponse(const HttpResponse& aResponse)
{
  return absl::StartsWith(HeaderValue(aResponse.mHeaders, "Content-Type"),
                          "text/plain; version=0.0.4");
}

} // namespace

uint64_t
PeakMemory()
{
  rusage usage{};
  constexpr uint64_t kUnit = 1024; // ru_maxrss is in KiB on Linux
  return getrusage(RUSAGE_SELF, &usage) == 0
           ? static_cast<uint64_t>(usage.ru_maxrss) * kUnit
           : 0;
}

void
AddMetric(HttpResponse& aResponse,
          const char* aName,
          const char* aType,
          uint64_t aValue)
{
  if (IsMetricsResponse(aResponse)) {
    Append(aResponse.mBody, aName, aType, aValue);
  }
}

void
AddProcessMetrics(HttpResponse& aResponse, const PeerCounters& aPeers)
{
  if (!IsMetricsResponse(aResponse)) {
    return;
  }
  std::string& text = aResponse.mBody;
  Append(text, "caraway_log_lines_dropped_total", "counter", LogLinesDropped());
  Append(text, "caraway_process_memory_peak_bytes", "gauge", PeakMemory());
  Append(
    text, "caraway_peer_messages_sent_total", "counter", aPeers.mSentMessages);
  Append(text,
         "caraway_peer_messages_received_total",
         "counter",
         aPeers.mReceivedMessages);
  Append(
    text, "caraway_peer_messages_dropped_total", "counter", aPeers.mDropped);
  Append(
    text, "caraway_peer_frames_malformed_total", "counter", aPeers.mMalformed);
  Append(text, "caraway_peer_sent_bytes_total", "counter", aPeers.mSentBytes);
}

} // namespace caraway
