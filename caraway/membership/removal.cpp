// Finds lost members to remove, and delays removals when the leases of several
// zones expire at once.

#include <map>

#include "caraway/membership/sessions.h"

namespace caraway {

namespace {

// How long removals are delayed when the leases of two zones have expired: it
// is more likely that this leader was paused or cut off than that two zones
// were lost.
constexpr Duration kMassExpiryWait = Seconds(5);

// How long until the end of a session is proposed again.
constexpr Duration kEndRetryInterval = Seconds(2);

struct ZoneCount
{
  uint64_t mMembers = 0;
  uint64_t mWithoutLease = 0;
};

// A member that has registered and not renewed yet has no lease, but as much
// time to get one.
MonoTime
LeaseExpiry(const Sessions& aSessions, const Session& aSession)
{
  return std::max(aSession.mLeaseEnd,
                  GrantorLeaseEnd(aSession.mStarted, aSessions.mLease));
}

// True if more than half of the members have no lease in each of at least two
// zones. Updates mWithoutLease.
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
