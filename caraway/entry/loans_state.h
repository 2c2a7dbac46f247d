#pragma once
// State of borrowing rate shares from other entries, see loans.h.

#include <map>
#include <vector>

#include "caraway/admission/lending.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

// Of one request.
struct RequestLoan
{
  std::vector<InstanceId> mAsked;
  InstanceId mPending; // lender whose reply is awaited; empty: none
  MonoTime mReplyBy;   // its reply counts only until then
  // End of the wait for a lender or a grantor; kNever: not computed yet.
  MonoTime mHoldUntil = kNever;
};

struct EntryLoans
{
  // The lenders of workspaces that were asked for, at that topology.
  uint64_t mTopologyVersion = 0;
  std::vector<InstanceId> mEntries;
  std::map<WorkspaceId, std::vector<InstanceId>> mLenders;
  LenderBuckets mBuckets; // what this entry lends
  LenderStates mStates;
  ReturnTimes mReturns;
};

} // namespace caraway
