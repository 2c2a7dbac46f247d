#pragma once
// The contract of a workspace: the only source of the limits of that customer.

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

} // namespace caraway
