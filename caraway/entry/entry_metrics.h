#pragma once
// Metrics of the entry.

#include <cstdint>
#include <map>
#include <string>

#include "caraway/base/latency_histogram.h"

namespace caraway {

struct EntryMetrics
{
  uint64_t mLent = 0;            // requests started on this entry's rate shares
  uint64_t mBorrowed = 0;        // requests started on those of other entries
  uint64_t mUnreadableLoads = 0; // load figures of targets
  uint64_t mAnswersPassedOn = 0; // plain ones, before they were whole
  uint64_t mRequests = 0;        // caller requests received
  uint64_t mAdmitted = 0;        // tokens used to admit requests
  uint64_t mReturned = 0;   // tokens returned as the call provably didn't run
  uint64_t mDispatches = 0; // attempts sent to nodes or targets
  uint64_t mHomePlacements = 0;    // placed at the home of their prefix
  uint64_t mReusedConnections = 0; // calls sent on an idle connection
  uint64_t mRetries = 0;           // attempts after the first
  uint64_t mAffinityRouted = 0;    // routed by prefix affinity
  uint64_t mQueries = 0;           // outcome queries sent
  uint64_t mOrdersRefused = 0; // at once, since control could not be reached
  std::map<int, uint64_t> mAnswers;          // responses by HTTP status
  std::map<std::string, uint64_t> mFailures; // errors by code
  std::map<std::string, uint64_t> mOutcomes; // errors by outcome
  LatencyHistogram mFirstByte; // from receipt to the first response byte
  LatencyHistogram mWhole;     // from receipt to the end of the response
};

} // namespace caraway
