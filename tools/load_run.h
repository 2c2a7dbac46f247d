#pragma once
// Open-loop load generator: sends each request of a plan at its time, whether
// or not earlier requests have been answered, and optionally runs a batch job
// alongside.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "caraway/runtime/http_fetch.h"
#include "tools/load_result.h"

namespace caraway {

struct LoadRunSettings
{
  LoadCallSettings mCall;
  std::vector<std::string> mEntries;     // http://IP:PORT, used round-robin
  std::vector<std::string> mKeys;        // API key of each workspace
  std::string mAuthority;                // CA file in PEM format, for https
  uint32_t mMaxInFlight = 1000;          // requests above this count as failed
  Duration mAnswerTimeout = Seconds(30); // from the last arrival
  uint64_t mBatchItems = 0;              // 0 = no batch job
  uint32_t mBatchWorkspace = 0;
  Duration mBatchTimeout = Seconds(120); // from the last arrival
};

// Runs aLoop until the run is complete and fills in the records, the batch
// samples and the length of aResult. Prints progress to standard error every
// 2 s.
void
RunLoad(Loop& aLoop,
        const LoadRunSettings& aSettings,
        const std::vector<LoadArrival>& aPlan,
        LoadResult& aResult);

} // namespace caraway
