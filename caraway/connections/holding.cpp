// Which connections of a listener are closed when all together hold too much.

#include "caraway/connections/holding.h"

#include <algorithm>
#include <tuple>

namespace caraway {

namespace {

bool
HasStopped(const HeldConnection& aConnection, Duration aPatience)
{
  return (aConnection.mUse == ConnectionUse::eReceiving ||
          aConnection.mUse == ConnectionUse::eSending) &&
         aConnection.mStill >= aPatience;
}

} // namespace

std::vector<uint64_t>
ConnectionsToClose(std::vector<HeldConnection> aConnections,
                   const HoldingLimits& aLimits)
{
  size_t bytes = 0;
  for (const HeldConnection& connection : aConnections) {
    bytes += connection.mHeld;
  }
  std::vector<uint64_t> chosen;
  // Moves connections from the list to the chosen ones.
  const auto choose = [&](auto aMay, auto aRank, auto aEnough) {
    const auto candidates =
      std::partition(aConnections.begin(),
                     aConnections.end(),
                     [&](const auto& aOne) { return !aMay(aOne); });
    std::sort(candidates,
              aConnections.end(),
              [&](const auto& aLeft, const auto& aRight) {
                return aRank(aLeft) < aRank(aRight);
              });
    while (!aConnections.empty() && aMay(aConnections.back()) && !aEnough()) {
      bytes -= aConnections.back().mHeld;
      chosen.push_back(aConnections.back().mId);
      aConnections.pop_back();
    }
  };
  const auto stopped = [&](const HeldConnection& aOne) {
    return HasStopped(aOne, aLimits.mPatience);
  };
  const auto still = [](const HeldConnection& aOne) {
    return std::make_tuple(aOne.mStill.mMicros, aOne.mId);
  };
  const auto fits = [&] { return bytes <= aLimits.mBytes; };
  choose([](const HeldConnection& aOne) { return aOne.mAhead > 0; },
         [](const HeldConnection& aOne) {
           return std::make_tuple(aOne.mAhead, aOne.mId);
         },
         fits);
  choose(
    [&](const HeldConnection& aOne) { return stopped(aOne) && aOne.mHeld > 0; },
    [](const HeldConnection& aOne) {
      return std::make_tuple(aOne.mHeld, aOne.mId);
    },
    fits);
  const auto few = [&] { return aConnections.size() <= aLimits.mConnections; };
  choose(
    [](const HeldConnection& aOne) {
      return aOne.mUse == ConnectionUse::eIdle;
    },
    still,
    few);
  choose(stopped, still, few);
  return chosen;
}

} // namespace caraway
