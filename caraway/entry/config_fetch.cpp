// Keeps the entry's copy of the configuration up to date by long polling one
// control replica.

#include "caraway/entry/config_fetch.h"

#include <algorithm>

#include "caraway/entry/session.h"

namespace caraway {

namespace {

// Replicas reply to a poll within 1 s.
constexpr Duration kPollReplyTimeout = Millis(1400);
// A replica holds a poll for 1 s if it has nothing newer. If it replies sooner
// without a newer revision, the next poll still waits until 1 s has passed.
constexpr Duration kPollInterval = Seconds(1);

const PeerAddress&
FetchPeer(const Entry& aEntry)
{
  const std::vector<PeerAddress>& replicas = aEntry.mSettings.mControl;
  return replicas[aEntry.mFetcher.mReplica % replicas.size()];
}

void
SwitchReplica(EntryStep& aStep)
{
  ConfigFetcher& fetcher = aStep.mEntry.mFetcher;
  ++fetcher.mReplica;
  fetcher.mReplyBy = kNever;
  fetcher.mNextFetch = aStep.mNow;
}

// Schedules the next poll after a reply: at once, or when the poll interval has
// passed.
void
RecordPollReply(EntryStep& aStep, const PeerAddress& aFrom, bool aPollAtOnce)
{
  ConfigFetcher& fetcher = aStep.mEntry.mFetcher;
  if (aFrom != FetchPeer(aStep.mEntry) || fetcher.mReplyBy == kNever) {
    return;
  }
  fetcher.mReplyBy = kNever;
  fetcher.mNextFetch =
    aPollAtOnce ? aStep.mNow
                : std::max(aStep.mNow, fetcher.mSentAt + kPollInterval);
}

void
DropParts(ConfigFetcher& aFetcher)
{
  aFetcher.mPartRevision = {};
  aFetcher.mParts.clear();
}

// Polls this replica next, if it is known.
void
FetchFrom(EntryStep& aStep, const PeerAddress& aReplica)
{
  Entry& entry = aStep.mEntry;
  const std::vector<PeerAddress>& replicas = entry.mSettings.mControl;
  const auto found = std::find(replicas.begin(), replicas.end(), aReplica);
  if (found != replicas.end()) {
    entry.mFetcher.mReplica = static_cast<size_t>(found - replicas.begin());
    entry.mFetcher.mReplyBy = kNever;
    entry.mFetcher.mNextFetch = aStep.mNow;
  }
}

} // namespace

void
TickFetch(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  ConfigFetcher& fetcher = entry.mFetcher;
  if (entry.mSettings.mControl.empty()) {
    return;
  }
  if (aStep.mNow >= fetcher.mReplyBy) {
    SwitchReplica(aStep);
  }
  if (fetcher.mReplyBy != kNever || aStep.mNow < fetcher.mNextFetch) {
    return;
  }
  ConfigFetch fetch;
  fetch.mHeld = StatedRevision(entry);
  fetch.mScope = ConfigScope::eAll;
  fetch.mSnapshotOffset = fetcher.mParts.size();
  fetch.mSnapshotRevision = fetcher.mPartRevision;
  fetcher.mSentAt = aStep.mNow;
  fetcher.mReplyBy = aStep.mNow + kPollReplyTimeout;
  Send(aStep, FetchPeer(entry), fetch);
}

MonoTime
FetchWakeup(const Entry& aEntry)
{
  const ConfigFetcher& fetcher = aEntry.mFetcher;
  if (aEntry.mSettings.mControl.empty()) {
    return kNever;
  }
  return fetcher.mReplyBy != kNever ? fetcher.mReplyBy : fetcher.mNextFetch;
}

void
FetchFromLeaderIfNewer(EntryStep& aStep,
                       const PeerAddress& aLeader,
                       Revision aNewest)
{
  if (aNewest > aStep.mEntry.mConfig.mRevision &&
      FetchPeer(aStep.mEntry) != aLeader) {
    FetchFrom(aStep, aLeader);
  }
}

void
ReplaceCopy(EntryStep& aStep, const PeerAddress& aLeader, MonoTime aSentAt)
{
  ConfigFetcher& fetcher = aStep.mEntry.mFetcher;
  if (fetcher.mReplaceCopy || aSentAt < fetcher.mReplacedAt) {
    return;
  }
  aStep.mEntry.mSession.mLeaseEnd = kLongAgo;
  aStep.mEntry.mSession.mCopyConfirmed = false;
  ++fetcher.mReplacements;
  fetcher.mReplaceCopy = true;
  DropParts(fetcher);
  FetchFrom(aStep, aLeader);
}

Revision
StatedRevision(const Entry& aEntry)
{
  return aEntry.mFetcher.mReplaceCopy ? Revision() : aEntry.mConfig.mRevision;
}

void
FetchNow(EntryStep& aStep)
{
  aStep.mEntry.mFetcher.mNextFetch = aStep.mNow;
}

bool
HandleConfigDelta(EntryStep& aStep,
                  const PeerAddress& aFrom,
                  const ConfigDelta& aDelta)
{
  ConfigView& view = aStep.mEntry.mConfig;
  const bool isNewer =
    aDelta.mFrom <= view.mRevision && aDelta.mTo > view.mRevision;
  if (isNewer) {
    for (const RevisedChange& change : aDelta.mChanges) {
      ApplyChange(view, change);
    }
    view.mRevision = std::max(view.mRevision, aDelta.mTo);
    DropParts(aStep.mEntry.mFetcher);
    aStep.mEntry.mFetcher.mSource = aFrom;
  }
  RecordPollReply(aStep, aFrom, isNewer);
  return isNewer;
}

bool
HandleSnapshotPart(EntryStep& aStep,
                   const PeerAddress& aFrom,
                   const ConfigSnapshotPart& aPart)
{
  Entry& entry = aStep.mEntry;
  ConfigFetcher& fetcher = entry.mFetcher;
  const bool isNews = fetcher.mReplaceCopy
                        ? aPart.mRevision >= entry.mConfig.mRevision
                        : aPart.mRevision > entry.mConfig.mRevision;
  if (!isNews) {
    DropParts(fetcher);
    RecordPollReply(aStep, aFrom, false);
    return false;
  }
  if (aPart.mOffset == 0) {
    DropParts(fetcher);
    fetcher.mPartRevision = aPart.mRevision;
  }
  const bool inOrder = aPart.mRevision == fetcher.mPartRevision &&
                       aPart.mOffset == fetcher.mParts.size();
  if (inOrder) {
    fetcher.mParts.insert(
      fetcher.mParts.end(), aPart.mChanges.begin(), aPart.mChanges.end());
  } else if (aPart.mRevision != fetcher.mPartRevision) {
    DropParts(fetcher); // the replica has a newer snapshot: start over
  }
  bool applied = false;
  if (inOrder && aPart.mLast) {
    applied =
      ApplySnapshot(entry.mConfig, aPart.mRevision, fetcher.mParts).ok();
    fetcher.mSource = aFrom;
    if (applied && fetcher.mReplaceCopy) {
      fetcher.mReplaceCopy = false;
      fetcher.mReplacedAt = aStep.mNow;
    }
    DropParts(fetcher);
  }
  RecordPollReply(aStep, aFrom, true);
  return applied;
}

std::vector<LogField>
CopyFields(const Entry& aEntry, MonoTime aNow)
{
  const ConfigView& view = aEntry.mConfig;
  return { { "revision", std::to_string(view.mRevision.mValue) },
           { "plan", std::to_string(view.mPlan ? view.mPlan->mVersion : 0) },
           { "copy_from", aEntry.mFetcher.mSource.mValue },
           { "lease", HasValidLease(aEntry, aNow) ? "valid" : "none" },
           { "term", std::to_string(aEntry.mSession.mTerm.mValue) } };
}

void
FetchPeerLost(EntryStep& aStep, const PeerAddress& aPeer)
{
  Entry& entry = aStep.mEntry;
  if (!entry.mSettings.mControl.empty() && aPeer == FetchPeer(entry)) {
    SwitchReplica(aStep);
  }
}

} // namespace caraway
