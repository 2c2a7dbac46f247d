#pragma once
// Admission while control is out of reach: each entry admits its even share of
// a workspace's rate.
//
// The grantor counts an entry's tokens until the entry's lease has ended by the
// grantor's clock, which is later than by the entry's. An entry uses its share
// only after its lease ended, so shares and grants never add up to more than
// the rate, as long as the entry knows of all others.

#include <cstdint>
#include <map>

#include "caraway/config/contract.h"

namespace caraway {

struct ShareBucket
{
  double mTokens = 0;
  MonoTime mFilledAt;
};

struct FallbackShares
{
  std::map<WorkspaceId, ShareBucket> mBuckets;
};

// True if the request is admitted. aEntries: entries that share the rate.
bool
TakeShare(FallbackShares& aShares,
          MonoTime aNow,
          const Contract& aContract,
          uint32_t aEntries);

} // namespace caraway
