// Answers long polls with deltas and snapshot parts.

#include "caraway/control/config_polls.h"

#include <algorithm>

#include "caraway/wire/messages.h"

namespace caraway {

namespace {

// Leaves room for the other fields of the frame.
constexpr size_t kPartLimit = 240 * 1024;

Message
MakeDelta(const ConfigHistory& aHistory, const ConfigFetch& aFetch)
{
  ConfigDelta delta;
  delta.mFrom = aFetch.mHeld;
  delta.mTo = aFetch.mHeld;
  size_t bytes = 0;
  auto change = FirstChangeAfter(aHistory, aFetch.mHeld);
  for (; change != aHistory.mRecent.end(); ++change) {
    if (InScope(change->mChange, aFetch.mScope)) {
      bytes += EncodeChange(change->mChange).size() + sizeof(Revision);
      if (bytes > kPartLimit && !delta.mChanges.empty()) {
        break;
      }
      delta.mChanges.push_back(*change);
    }
    delta.mTo = change->mRevision;
  }
  return delta;
}

// All replicas must use the same order at the same revision, since a holder may
// fetch the parts of one snapshot from several of them.
void
SortChanges(std::vector<ConfigChange>& aChanges)
{
  std::vector<std::pair<std::string, size_t>> order;
  order.reserve(aChanges.size());
  for (size_t at = 0; at < aChanges.size(); ++at) {
    order.emplace_back(ObjectName(aChanges[at]), at);
  }
  std::sort(order.begin(), order.end());
  std::vector<ConfigChange> sorted;
  sorted.reserve(aChanges.size());
  for (const auto& [name, at] : order) {
    sorted.push_back(std::move(aChanges[at]));
  }
  aChanges = std::move(sorted);
}

// Returns the cached snapshot, rebuilt if the kept deltas no longer continue
// from its revision, or if a transfer begins and it is out of date.
CachedSnapshot&
PrepareSnapshot(ConfigPolls& aPolls,
                MonoTime aNow,
                const ConfigHistory& aHistory,
                const ConfigFetch& aFetch)
{
  CachedSnapshot& cached = aPolls.mSnapshots[aFetch.mScope];
  const bool continues = aFetch.mSnapshotRevision == cached.mRevision;
  const bool outdated = cached.mRevision < aHistory.mView.mRevision &&
                        aNow - cached.mBuiltAt >= kSnapshotMaxAge;
  if (cached.mRevision.IsNone() ||
      !HasChangesSince(aHistory, cached.mRevision) ||
      (outdated && !continues)) {
    cached.mRevision = aHistory.mView.mRevision;
    cached.mChanges = SnapshotChanges(aHistory.mView, aFetch.mScope);
    SortChanges(cached.mChanges);
    cached.mBuiltAt = aNow;
  }
  return cached;
}

Message
MakeSnapshotPart(ConfigPolls& aPolls,
                 MonoTime aNow,
                 const ConfigHistory& aHistory,
                 const ConfigFetch& aFetch)
{
  CachedSnapshot& cached = PrepareSnapshot(aPolls, aNow, aHistory, aFetch);
  cached.mLastUsed = aNow;
  ConfigSnapshotPart part;
  part.mRevision = cached.mRevision;
  if (aFetch.mSnapshotRevision == cached.mRevision) {
    part.mOffset =
      std::min<uint64_t>(aFetch.mSnapshotOffset, cached.mChanges.size());
  }
  size_t bytes = 0;
  size_t at = part.mOffset;
  for (; at < cached.mChanges.size(); ++at) {
    bytes += EncodeChange(cached.mChanges[at]).size();
    if (bytes > kPartLimit && !part.mChanges.empty()) {
      break;
    }
    part.mChanges.push_back(cached.mChanges[at]);
  }
  part.mLast = at == cached.mChanges.size();
  return part;
}

bool
IsBehind(const ConfigPolls& aPolls,
         const ConfigHistory& aHistory,
         const ConfigFetch& aFetch)
{
  return aPolls.mCurrent && aFetch.mHeld < aHistory.mView.mRevision;
}

size_t
ObjectsIn(const ConfigView& aView)
{
  return aView.mContracts.size() + aView.mKeys.size() + aView.mRoutes.size() +
         aView.mZoneInService.size() + aView.mTargetInService.size() +
         aView.mMembers.size() + aView.mTargets.size() +
         aView.mInputBlocks.size() + aView.mRollouts.size() +
         (aView.mPlan ? 1 : 0);
}

// True if the holder is behind and gets the whole configuration: it has none,
// the kept changes do not reach back to it, or they are more than the objects
// that there are.
bool
NeedsSnapshot(const ConfigPolls& aPolls,
              const ConfigHistory& aHistory,
              const ConfigFetch& aFetch)
{
  if (!IsBehind(aPolls, aHistory, aFetch)) {
    return false;
  }
  if (aFetch.mHeld.IsNone() || !HasChangesSince(aHistory, aFetch.mHeld)) {
    return true;
  }
  const auto changes =
    aHistory.mRecent.end() - FirstChangeAfter(aHistory, aFetch.mHeld);
  return static_cast<size_t>(changes) > ObjectsIn(aHistory.mView);
}

SendMessage
MakeAnswer(ConfigPolls& aPolls,
           MonoTime aNow,
           const ConfigHistory& aHistory,
           const PeerAddress& aTo,
           const ConfigFetch& aFetch)
{
  if (NeedsSnapshot(aPolls, aHistory, aFetch)) {
    ++aPolls.mSnapshotParts;
    return { aTo, MakeSnapshotPart(aPolls, aNow, aHistory, aFetch) };
  }
  if (!IsBehind(aPolls, aHistory, aFetch)) {
    return { aTo, ConfigDelta{ aFetch.mHeld, aFetch.mHeld, {} } };
  }
  ++aPolls.mDeltas;
  return { aTo, MakeDelta(aHistory, aFetch) };
}

} // namespace

std::vector<SendMessage>
HandleConfigFetch(ConfigPolls& aPolls,
                  MonoTime aNow,
                  const ConfigHistory& aHistory,
                  const PeerAddress& aFrom,
                  const ConfigFetch& aFetch)
{
  aPolls.mPolls.erase(aFrom);
  const bool behind = IsBehind(aPolls, aHistory, aFetch);
  if (NeedsSnapshot(aPolls, aHistory, aFetch) ||
      (behind && aNow >= aPolls.mNextRound)) {
    return { MakeAnswer(aPolls, aNow, aHistory, aFrom, aFetch) };
  }
  const MonoTime due = behind ? aPolls.mNextRound : aNow + kLongPollTimeout;
  aPolls.mPolls[aFrom] = { aFetch, due };
  aPolls.mNextDue = std::min(aPolls.mNextDue, due);
  return {};
}

std::vector<SendMessage>
AnswerPolls(ConfigPolls& aPolls, MonoTime aNow, const ConfigHistory& aHistory)
{
  std::vector<SendMessage> answers;
  aPolls.mNextDue = kNever;
  int64_t notified = 0; // holders that are sent a change now
  for (auto poll = aPolls.mPolls.begin(); poll != aPolls.mPolls.end();) {
    const ConfigFetch& fetch = poll->second.mFetch;
    const bool behind = IsBehind(aPolls, aHistory, fetch);
    const MonoTime due = behind ? std::min(poll->second.mDue, aPolls.mNextRound)
                                : poll->second.mDue;
    if (due > aNow) {
      aPolls.mNextDue = std::min(aPolls.mNextDue, due);
      ++poll;
      continue;
    }
    notified += behind ? 1 : 0;
    answers.push_back(MakeAnswer(aPolls, aNow, aHistory, poll->first, fetch));
    poll = aPolls.mPolls.erase(poll);
  }
  if (notified > 0) {
    aPolls.mNextRound =
      aNow + std::min(kRoundIntervalPerHolder * notified, kMaxRoundInterval);
  }
  std::erase_if(aPolls.mSnapshots, [&](const auto& aCached) {
    return aCached.second.mLastUsed + kSnapshotCacheTtl <= aNow;
  });
  return answers;
}

MonoTime
NextPollDue(const ConfigPolls& aPolls)
{
  return aPolls.mNextDue;
}

} // namespace caraway
