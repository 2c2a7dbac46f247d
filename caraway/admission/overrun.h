#pragma once
// Admission above a workspace's contract, where a deployment tolerates it.
//
// Load pattern: callers within their rate while nobody knows what the fleet has
// admitted: no leader answers, or a new one starts with empty buckets. The
// tolerance is divided once and for all, so that no message is needed:
//   entries  each a fixed part of kEntryPart, in any window, while control is
//            out of reach;
//   leader   kLeaderPart, at its start, at most once in a window.
// Both together stay below the tolerance in every window, whatever is cut off.

#include <cstdint>
#include <deque>
#include <map>

#include "caraway/config/contract.h"

namespace caraway {

struct RateTolerance
{
  Duration mWindow;  // 0: none
  double mShare = 0; // of rate x window + burst
  double mSlack = 0; // requests more
};

constexpr double kEntryPart = 0.45;
constexpr double kLeaderPart = 0.45;
// A new leader's buckets have refilled by then.
constexpr Duration kLeaderOverrunTime = Seconds(2);

// Requests of the workspace that may be admitted above its contract in any
// window.
double
OverrunOf(const RateTolerance& aTolerance, const Contract& aContract);

// What one entry has admitted above the contracts.
//
// Invariant: within any window, mSpent of a workspace has at most the number of
// times that the entry may admit.
struct OverrunSpending
{
  std::map<WorkspaceId, std::deque<MonoTime>> mSpent;
};

// Admits one request of the workspace if fewer than aAllowed were admitted this
// way within the window before aNow.
bool
SpendOverrun(OverrunSpending& aSpending,
             MonoTime aNow,
             const WorkspaceId& aWorkspace,
             Duration aWindow,
             uint32_t aAllowed);

} // namespace caraway
