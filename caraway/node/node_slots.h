#pragma once
// Slots of the target that entries hold or wait for.

#include <map>
#include <utility>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/scheduling/work.h"

namespace caraway {

using SlotKey = std::pair<PeerAddress, RequestId>; // entry and request

struct NodeSlot
{
  WorkId mWork;
  bool mGranted = false;
  MonoTime mSince; // granted, or asked for
};

struct NodeSlots
{
  std::map<SlotKey, NodeSlot> mSlots;
  std::map<WorkId, SlotKey> mByWork;
};

} // namespace caraway
