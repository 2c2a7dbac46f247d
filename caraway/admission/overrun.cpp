// The tolerance above contracts.

#include "caraway/admission/overrun.h"

namespace caraway {

double
OverrunOf(const RateTolerance& aTolerance, const Contract& aContract)
{
  if (aTolerance.mWindow <= Duration{} || aContract.mRate <= 0) {
    return 0;
  }
  const double contract =
    aContract.mRate * aTolerance.mWindow.Seconds() + aContract.mBurst;
  return aTolerance.mShare * contract + aTolerance.mSlack;
}

bool
SpendOverrun(OverrunSpending& aSpending,
             MonoTime aNow,
             const WorkspaceId& aWorkspace,
             Duration aWindow,
             uint32_t aAllowed)
{
  for (auto one = aSpending.mSpent.begin(); one != aSpending.mSpent.end();) {
    std::deque<MonoTime>& times = one->second;
    while (!times.empty() && aNow - times.front() > aWindow) {
      times.pop_front();
    }
    one = times.empty() ? aSpending.mSpent.erase(one) : std::next(one);
  }
  auto spent = aSpending.mSpent.find(aWorkspace);
  const size_t count =
    spent == aSpending.mSpent.end() ? 0 : spent->second.size();
  if (count >= aAllowed) {
    return false;
  }
  aSpending.mSpent[aWorkspace].push_back(aNow);
  return true;
}

} // namespace caraway
