#pragma once
// Admission while control is unreachable: each entry admits an equal share of
// a workspace's rate.
//
// The grantor counts an entry's tokens as outstanding until the entry's lease
// has ended by the grantor's clock, which is later than by the entry's clock.
// An entry uses its share only after its lease has ended, so shares and grants
// together never exceed the rate, provided the entry knows of all others.

#include <cstdint>
#include <map>
#include <optional>

#include "caraway/config/contract.h"

namespace caraway {

struct ShareBucket
{
  double mTokens = 0; // negative: already reserved by waiting requests
  MonoTime mFilledAt;
};

struct FallbackShares
{
  std::map<WorkspaceId, ShareBucket> mBuckets;
};

// Reserves a token for a request that may wait for up to aMaxWait. Returns how
// long the request has to wait before it starts, or nullopt, without taking a
// token, if that exceeds aMaxWait. aEntries: entries that share the rate.
std::optional<Duration>
ReserveShare(FallbackShares& aShares,
             MonoTime aNow,
             const Contract& aContract,
             uint32_t aEntries,
             Duration aMaxWait);

// Drops the unused tokens of all shares once the grantor issues tokens again;
// they would be spent in addition to those. Reserved tokens remain owed.
void
DropUnusedShares(FallbackShares& aShares);

} // namespace caraway
