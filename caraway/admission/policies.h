#pragma once
// Baseline admission policies, kept for comparison with grants.
//
// Owner: one entry, chosen by rendezvous hash, counts all requests of a
// workspace, so each request at another entry costs a message. Fixed split:
// each entry admits rate / N on its own.

#include <cstdint>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/config/contract.h"

namespace caraway {

enum class AdmissionPolicy : uint8_t
{
  eGrants, // token_holder.h and grantor.h
  eOwner,
  eFixedSplit,
};

// A plain token bucket at one entry.
struct RateBucket
{
  double mLevel = 0;
  MonoTime mRefilledAt;
};

// Takes one token if there is one. The bucket holds the given part (at most 1)
// of the rate and the burst of the contract, but no less than one token.
bool
TakeFromBucket(RateBucket& aBucket,
               MonoTime aNow,
               const Contract& aContract,
               double aPart);

// The index of the entry that counts this workspace. aEntries must not be
// empty.
size_t
OwnerOf(const WorkspaceId& aWorkspace, const std::vector<InstanceId>& aEntries);

} // namespace caraway
