#pragma once
// Chooses the subset of targets that one entry watches and uses for a model or
// service.
//
// Each target has home entries: those with the highest rendezvous scores among
// the entries of its zone (of all zones if its own has none). An entry first
// takes the targets that it is a home of, then fills its subset by score, local
// zone first. This bounds how far the numbers of entries per target differ. The
// two best entries of a target always take it, so that every target is in use
// even when entries are few.

#include <vector>

#include "caraway/base/ids.h"

namespace caraway {

struct SubsetTarget
{
  InstanceId mNode; // identifies the target in rendezvous scores
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
  std::vector<SubsetEntry> mEntries; // all live entries, with or without mSelf
  std::vector<SubsetTarget> mTargets;
  uint32_t mSize = 6; // exceeded if entries are too few for all targets
};

// Returns the chosen nodes, local ones first. The result does not depend on the
// order of the input.
std::vector<InstanceId>
ChooseSubset(const SubsetInput& aInput);

} // namespace caraway
