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
#include <optional>

#include "caraway/config/contract.h"

namespace caraway {

struct ShareBucket
{
  double mTokens = 0; // below zero: owed to requests that wait
  MonoTime mFilledAt;
};

struct FallbackShares
{
  std::map<WorkspaceId, ShareBucket> mBuckets;
};

// Takes a token for a request that may wait for aMaxWait. Returns how long the
// request is to wait before it starts; none if that would be longer, and then
// nothing is taken. aEntries: entries that share the rate.
std::optional<Duration>
ReserveShare(FallbackShares& aShares,
             MonoTime aNow,
             const Contract& aContract,
             uint32_t aEntries,
             Duration aMaxWait);

// Tokens come from the grantor again. What a share has saved up is dropped, or
// it would be spent on top of these; what it owes stays.
void
DropUnusedShares(FallbackShares& aShares);

} // namespace caraway
