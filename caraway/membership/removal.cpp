// Removal of lost members, and the rule against waves of false removals.

#include <map>

#include "caraway/membership/sessions.h"

namespace caraway {

namespace {

// How long a wave of losses is waited out: more likely than the loss of two
// zones is that this leader was paused or cut off.
constexpr Duration kMassExpiryWait = Seconds(5);

// How long until the end of a session is proposed again.
constexpr Duration kEndRetryInterval = Seconds(2);

struct ZoneCount
{
  uint64_t mMembers = 0;
  uint64_t mWithoutLease = 0;
};

// A member that registered and has not renewed yet has no lease, but the same
// time to get one.
MonoTime
LeaseExpiry(const Sessions& aSessions, const Session& aSession)
{
  return std::max(aSession.mLeaseEnd,
                  GrantorLeaseEnd(aSession.mStarted, aSessions.mLease));
}

// True if more than half of the members of two zones have no lease.
bool
IsMassExpiry(Sessions& aSessions, MonoTime aNow, const ConfigView& aView)
{
  std::map<ZoneId, ZoneCount> zones;
  aSessions.mWithoutLease = 0;
  for (const auto& [instance, session] : aSessions.mSessions) {
    auto member = aView.mMembers.find(instance);
    if (member == aView.mMembers.end()) {
      continue;
    }
    ZoneCount& zone = zones[member->second.mZone];
    ++zone.mMembers;
    if (LeaseExpiry(aSessions, session) <= aNow) {
      ++zone.mWithoutLease;
      ++aSessions.mWithoutLease;
    }
  }
  int lost = 0;
  for (const auto& [id, zone] : zones) {
    lost += zone.mWithoutLease * 2 > zone.mMembers ? 1 : 0;
  }
  return lost >= 2;
}

} // namespace

std::vector<LostMember>
LostMembers(Sessions& aSessions,
            MonoTime aNow,
            Duration aGrace,
            const ConfigView& aView)
{
  if (!IsMassExpiry(aSessions, aNow, aView)) {
    aSessions.mMassExpirySince = {};
  } else if (aSessions.mMassExpirySince == MonoTime{}) {
    aSessions.mMassExpirySince = aNow;
  }
  std::vector<LostMember> lost;
  if (aSessions.mMassExpirySince != MonoTime{} &&
      aNow < aSessions.mMassExpirySince + kMassExpiryWait) {
    return lost;
  }
  for (auto& [instance, session] : aSessions.mSessions) {
    const bool proposed = session.mEndProposedAt != MonoTime{} &&
                          aNow < session.mEndProposedAt + kEndRetryInterval;
    if (LeaseExpiry(aSessions, session) + aGrace <= aNow && !proposed) {
      session.mEndProposedAt = aNow;
      lost.push_back({ instance, session.mEpoch });
    }
  }
  return lost;
}

} // namespace caraway
