#pragma once
// Baseline admission policies, kept for comparison with grants.
//
// Owner: one entry, chosen by rendezvous hashing, counts all requests of a
// workspace, so each request at another entry costs a message. Fixed split:
// each of N entries admits rate / N on its own.

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

// Takes one token if there is one. The bucket applies the part aPart (at most
// 1) of the contract's rate and burst, but its capacity is at least one token.
bool
TakeFromBucket(RateBucket& aBucket,
               MonoTime aNow,
               const Contract& aContract,
               double aPart);

// Returns the index of the entry that counts this workspace. aEntries must not
// be empty.
size_t
OwnerOf(const WorkspaceId& aWorkspace, const std::vector<InstanceId>& aEntries);

} // namespace caraway
