#pragma once
// The contract of a workspace: the only source of the limits of that customer.

#include <algorithm>
#include <cstdint>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

// The latency goal for streamed tokens.
enum class LatencyClass : uint8_t
{
  eInteractive, // 0.75 s to the first token, 74 ms between tokens
  eRelaxed,     // four times those
};

struct Contract
{
  WorkspaceId mWorkspace;
  double mRate = 0;     // requests/s over the whole fleet
  double mBurst = 0;    // requests, at least 1 when the rate is above 0
  uint32_t mWeight = 1; // share relative to other workspaces, 1..1000
  LatencyClass mLatency = LatencyClass::eInteractive;
  Duration mBatchWindow = Seconds(24 * 3600); // default deadline of batch jobs
  uint64_t mMaxBatchItems = 750000;           // items in one job
  std::vector<ModelId> mModels; // allowed models; empty allows none
  std::vector<RouteId> mRoutes; // allowed routes; empty allows none
  bool mWithdrawn = false;      // true ends all its keys and running work
};

// The workspace's weight where places are short: what it may send, times its
// share. A workspace without a limit counts as a large one.
inline uint32_t
ShareWeight(const Contract& aContract)
{
  constexpr double kUnlimited = 100; // requests/s
  constexpr double kMost = 1000;
  const double rate = aContract.mRate > 0 ? aContract.mRate : kUnlimited;
  return aContract.mWeight *
         static_cast<uint32_t>(std::clamp(rate, 1.0, kMost));
}

} // namespace caraway
