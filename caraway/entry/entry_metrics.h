#pragma once
// Counters of the entry.

#include <cstdint>
#include <map>
#include <string>

#include "caraway/base/latency_histogram.h"

namespace caraway {

struct EntryMetrics
{
  uint64_t mRequests = 0;           // caller requests received
  uint64_t mAdmitted = 0;           // tokens spent
  uint64_t mReturned = 0;           // tokens returned after a proven not-run
  uint64_t mDispatches = 0;         // attempts sent to nodes
  uint64_t mRetries = 0;            // attempts after the first
  uint64_t mAffinityRouted = 0;     // routed by prefix affinity
  uint64_t mQueries = 0;            // outcome queries sent
  std::map<int, uint64_t> mAnswers; // by HTTP status
  std::map<std::string, uint64_t> mFailures; // by error code
  std::map<std::string, uint64_t> mOutcomes; // of failures
  LatencyHistogram mFirstByte; // request received to first byte of the answer
  LatencyHistogram mWhole;     // request received to end of the answer
};

} // namespace caraway
