#pragma once
// Admission above a workspace's contract, where a deployment tolerates it.
//
// Load pattern: callers within their rate while nobody knows what the fleet has
// admitted: no leader answers, or a new one starts with empty buckets. The
// tolerance is divided once and for all, so that no message is needed:
//   entries  fixed parts of kEntryPart, in any window, while control is out of
//            reach (lending.h);
//   leader   kLeaderPart, at its start, at most once in a window; kAwayPart in
//            place of rate shares that entries out of touch may be using; and
//            kHeldPart in place of tokens that lie at other entries, once it
//            has led for a window.
// Together they stay below the tolerance in every window, whatever is cut off.

#include "caraway/config/contract.h"

namespace caraway {

struct RateTolerance
{
  Duration mWindow;  // 0: none
  double mShare = 0; // of rate x window + burst
  double mSlack = 0; // requests more

  bool operator==(const RateTolerance&) const = default;
};

constexpr double kEntryPart = 0.45;
constexpr double kLeaderPart = 0.36;
constexpr double kAwayPart = 0.13;
constexpr double kHeldPart = 0.06;
// A new leader's buckets have refilled by then.
constexpr Duration kLeaderOverrunTime = Seconds(2);

// Requests of the workspace that may be admitted above its contract in any
// window.
double
OverrunOf(const RateTolerance& aTolerance, const Contract& aContract);

} // namespace caraway
