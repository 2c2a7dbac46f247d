#pragma once
// The few targets that one entry watches and uses for a model or service.
//
// Each target has home entries: those with the highest rendezvous scores among
// the entries of its zone (of all zones if its own has none). An entry takes
// the targets it is home to first and fills up by score, local zone first. That
// bounds how far the numbers of entries per target differ. The two best entries
// of a target always take it, so that every target is in use even when entries
// are few.

#include <vector>

#include "caraway/base/ids.h"

namespace caraway {

struct SubsetTarget
{
  InstanceId mNode; // the score key
  ZoneId mZone;
};

struct SubsetEntry
{
  InstanceId mInstance;
  ZoneId mZone;
};

struct SubsetInput
{
  SubsetEntry mSelf;
  std::vector<SubsetEntry> mEntries; // all live entries; may leave out mSelf
  std::vector<SubsetTarget> mTargets;
  uint32_t mSize = 6; // more only while entries are too few for all targets
};

// The chosen nodes, local ones first. The same input in another order gives the
// same subset.
std::vector<InstanceId>
ChooseSubset(const SubsetInput& aInput);

} // namespace caraway
