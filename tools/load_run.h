#pragma once
// Sends the requests of a plan at their times, whether or not earlier ones have
// been answered, and follows an optional batch job beside them.

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
  std::vector<std::string> mEntries; // http://IP:PORT, used in turn
  std::vector<std::string> mKeys;    // by workspace
  std::string mAuthority;            // PEM file, for https
  uint32_t mMaxInFlight = 1000;      // a request above it counts as failed
  Duration mAnswerTimeout =
    Seconds(30);            // wait for answers after the last arrival
  uint64_t mBatchItems = 0; // 0 = no batch job
  uint32_t mBatchWorkspace = 0;
  Duration mBatchTimeout = Seconds(120); // after the last arrival
};

// Runs the loop; fills in the records, the batch samples and the length.
// Progress goes to standard error every few seconds.
void
RunLoad(Loop& aLoop,
        const LoadRunSettings& aSettings,
        const std::vector<LoadArrival>& aPlan,
        LoadResult& aResult);

} // namespace caraway
