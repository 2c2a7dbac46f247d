#pragma once
// Slots of the target that are granted to entries or requested by them.

#include <map>
#include <utility>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/scheduling/work.h"

namespace caraway {

using SlotKey = std::pair<PeerAddress, RequestId>; // entry, request

struct NodeSlot
{
  WorkId mWork;
  bool mGranted = false;
  MonoTime mSince; // time of the grant, or of the request
};

struct NodeSlots
{
  std::map<SlotKey, NodeSlot> mSlots;
  std::map<WorkId, SlotKey> mByWork; // index by scheduler work
};

} // namespace caraway
