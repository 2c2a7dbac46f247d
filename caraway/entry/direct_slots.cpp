// Slots: which targets are asked, and what follows from the answers.

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/direct_internal.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/reply.h"
#include "caraway/entry/session.h"
#include "caraway/entry/targets.h"

namespace caraway {

namespace {

// Nodes asked at once. With the first grant counting, two more queues come
// close to one queue for all targets.
constexpr size_t kMaxAsks = 3;
// A node answers at once; beyond several round trips between zones another one
// is asked.
constexpr Duration kAskWait = Millis(40);
// A node that has not answered by then is left alone for a while.
constexpr Duration kNodeSilence = Millis(150);
// Losses of all nodes asked after which a request pauses before it asks again.
constexpr uint32_t kMaxLostNodes = 3;
// When no target can be used, the next heartbeats may change that.
constexpr Duration kNoTargetRetry = Seconds(1);
constexpr Duration kWatchEvery = Seconds(4);
constexpr Duration kHeldEvery = Seconds(1);
// A caller is not told to come back later than a third of the time it has
// left, which is the most that callers honour.
constexpr int64_t kRetryShare = 3;
constexpr Duration kShortestRetry = Millis(100);

std::vector<PlacementCandidate>
CandidatesOf(EntryStep& aStep, const ServiceId& aService)
{
  const Entry& entry = aStep.mEntry;
  std::vector<PlacementCandidate> candidates;
  for (const auto& [id, target] : entry.mConfig.mTargets) {
    if (target.mService == aService && TakesWork(entry, target) &&
        (NodeBeside(entry, target) != nullptr ||
         MayCallUnguarded(aStep, target))) {
      candidates.push_back({ id, target.mZone, target.mSlots });
    }
  }
  return candidates;
}

void
ReleaseAsk(EntryStep& aStep, CallerRequest& aRequest, const SlotAsk& aAsk)
{
  if (aAsk.mState != AskState::eRefused) {
    Send(
      aStep, aAsk.mNode, SlotRelease{ aRequest.mId, SlotEnding::eCancelled });
  }
  auto load = aStep.mEntry.mPlacement.find(aAsk.mTarget);
  if (load != aStep.mEntry.mPlacement.end() && load->second.mOwn > 0) {
    --load->second.mOwn;
  }
}

// A caller is told to come back at most once, and only while none of its calls
// may have run.
bool
MayReturn(const EntryStep& aStep, const CallerRequest& aRequest)
{
  const DirectCall& direct = aRequest.mDirect;
  return !direct.mReturning && direct.mAttempts.empty() &&
         (aRequest.mDeadline - aStep.mNow) / kRetryShare > direct.mLatencyGoal;
}

void
AskNode(EntryStep& aStep,
        CallerRequest& aRequest,
        const Target& aTarget,
        const Member& aNode)
{
  const DirectCall& direct = aRequest.mDirect;
  SlotRequest ask;
  ask.mRequest = aRequest.mId;
  ask.mWorkspace = aRequest.mWorkspace;
  // A stream that goes on has no second goal, and a caller whose goal has
  // passed waits behind those who can be on time.
  ask.mTimeToGoal = aRequest.mBegun
                      ? Duration{}
                      : std::max(Millis(1), direct.mGoalAt - aStep.mNow);
  ask.mMayReturn = MayReturn(aStep, aRequest);
  ask.mWait = aRequest.mDeadline - aStep.mNow;
  ask.mPromptTokens = aRequest.mTarget.mPromptTokens;
  ask.mOutputTokens = aRequest.mTarget.mOutputTokens;
  PlacementLoad& load = LoadOfTarget(aStep, aTarget);
  ++load.mOwn;
  load.mSilentSince = std::min(load.mSilentSince, aStep.mNow);
  aRequest.mDirect.mAsks.push_back(
    { aTarget.mId, aNode.mAddress, aStep.mNow, AskState::eSent, {} });
  Send(aStep, aNode.mAddress, std::move(ask));
}

// Asks one more target. False if none is left.
bool
AskNext(EntryStep& aStep, CallerRequest& aRequest)
{
  Entry& entry = aStep.mEntry;
  DirectCall& direct = aRequest.mDirect;
  PlacementQuery query;
  query.mRequest = aRequest.mId;
  query.mWorkspace = aRequest.mWorkspace;
  query.mLocalZone = entry.mSettings.mZone;
  query.mExclude = direct.mTried;
  for (const SlotAsk& ask : direct.mAsks) {
    query.mExclude.push_back(ask.mTarget);
  }
  const std::vector<PlacementCandidate> candidates =
    CandidatesOf(aStep, direct.mService);
  Placement placement = ChoosePlacement(
    candidates, entry.mPlacement, query, aStep.mNow, entry.mRandom);
  placement.mLog.mExtra.push_back(
    { "revision", absl::StrCat(entry.mConfig.mRevision.mValue) });
  aStep.mOut.emplace_back(std::move(placement.mLog));
  if (!placement.mIndex) {
    return false;
  }
  const Target& target =
    entry.mConfig.mTargets.at(candidates[*placement.mIndex].mTarget);
  if (const Member* node = NodeBeside(entry, target)) {
    AskNode(aStep, aRequest, target, *node);
  } else {
    EndAsks(aStep, aRequest);
    CallTarget(aStep, aRequest, target, {});
  }
  return true;
}

bool
AllRefused(const DirectCall& aDirect)
{
  return std::all_of(
    aDirect.mAsks.begin(), aDirect.mAsks.end(), [](const SlotAsk& aAsk) {
      return aAsk.mState == AskState::eRefused;
    });
}

Duration
ShortestWait(const DirectCall& aDirect)
{
  Duration shortest = kNoTargetRetry;
  for (const SlotAsk& ask : aDirect.mAsks) {
    if (ask.mState != AskState::eSent) {
      shortest = std::min(shortest, ask.mExpectedWait);
    }
  }
  return shortest;
}

void
RefuseBusy(EntryStep& aStep, CallerRequest& aRequest)
{
  RefuseDirect(aStep,
               aRequest,
               ErrorKind::eOverloaded,
               "no target has a place in time",
               ShortestWait(aRequest.mDirect));
}

// The node has not answered: other targets come first for a while.
void
NoteSilentNode(EntryStep& aStep, const CallerRequest& aRequest, SlotAsk& aAsk)
{
  auto load = aStep.mEntry.mPlacement.find(aAsk.mTarget);
  if (load != aStep.mEntry.mPlacement.end() &&
      load->second.mAvoidUntil <= aStep.mNow) {
    NotePlacementFailure(load->second, aStep.mNow);
  }
  DecisionLog log;
  log.mLevel = LogLevel::eWarning;
  log.mEvent = "slot";
  log.mRequest = aRequest.mId;
  log.mChoice = "elsewhere";
  log.mReason = "the node has not answered";
  log.mExtra = { { "target", aAsk.mTarget.mValue },
                 { "waited_ms",
                   absl::StrCat((aStep.mNow - aAsk.mSentAt).Millis()) } };
  aStep.mOut.emplace_back(std::move(log));
}

// Replaces asks that no node answers. Returns true if the request was sent to
// such a target without a grant, or ended.
bool
ReplaceSilentAsks(EntryStep& aStep, CallerRequest& aRequest)
{
  Entry& entry = aStep.mEntry;
  DirectCall& direct = aRequest.mDirect;
  for (size_t at = 0; at < direct.mAsks.size();) {
    SlotAsk& ask = direct.mAsks[at];
    auto target = entry.mConfig.mTargets.find(ask.mTarget);
    if (ask.mState != AskState::eSent ||
        aStep.mNow - ask.mSentAt < kNodeSilence ||
        target == entry.mConfig.mTargets.end()) {
      ++at;
      continue;
    }
    if (MayCallUnguarded(aStep, target->second)) {
      const Target chosen = target->second;
      EndAsks(aStep, aRequest);
      CallTarget(aStep, aRequest, chosen, {});
      return true;
    }
    NoteSilentNode(aStep, aRequest, ask);
    if (!AskNext(aStep, aRequest)) {
      return false; // it may still answer, or be called without a grant
    }
    if (aRequest.mPhase != RequestPhase::eDirect || IsCalling(direct)) {
      return true;
    }
    ReleaseAsk(aStep, aRequest, direct.mAsks[at]);
    direct.mAsks.erase(direct.mAsks.begin() + static_cast<ptrdiff_t>(at));
  }
  return false;
}

SlotAsk*
AskAt(CallerRequest& aRequest, const PeerAddress& aNode)
{
  for (SlotAsk& ask : aRequest.mDirect.mAsks) {
    if (ask.mNode == aNode) {
      return &ask;
    }
  }
  return nullptr;
}

CallerRequest*
WaitingRequest(Entry& aEntry, const RequestId& aId)
{
  auto serial = aEntry.mById.find(aId);
  if (serial == aEntry.mById.end()) {
    return nullptr;
  }
  CallerRequest& request = aEntry.mRequests.at(serial->second);
  const bool waits =
    request.mPhase == RequestPhase::eDirect && !IsCalling(request.mDirect);
  return waits ? &request : nullptr;
}

} // namespace

void
StartDirect(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectCall& direct = aRequest.mDirect;
  aRequest.mPhase = RequestPhase::eDirect;
  direct.mAsks.clear();
  if (!AskNext(aStep, aRequest)) {
    RefuseDirect(aStep,
                 aRequest,
                 ErrorKind::eUnavailable,
                 "no target of the service can be used now",
                 kNoTargetRetry);
    return;
  }
  if (aRequest.mPhase == RequestPhase::eDirect) {
    direct.mCheckAt = aStep.mNow + kAskWait;
    ScheduleRequest(aStep, aRequest);
  }
}

void
TickAsks(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectCall& direct = aRequest.mDirect;
  if (direct.mAsks.empty()) {
    StartDirect(aStep, aRequest);
    return;
  }
  if (ReplaceSilentAsks(aStep, aRequest)) {
    return;
  }
  const SlotAsk& last = direct.mAsks.back();
  if (last.mState == AskState::eSent && direct.mAsks.size() < kMaxAsks &&
      aStep.mNow - last.mSentAt >= kAskWait) {
    AskNext(aStep, aRequest);
    if (aRequest.mPhase != RequestPhase::eDirect) {
      return;
    }
  }
  direct.mCheckAt = aStep.mNow + kAskWait;
  ScheduleRequest(aStep, aRequest);
}

void
EndAsks(EntryStep& aStep, CallerRequest& aRequest)
{
  for (const SlotAsk& ask : aRequest.mDirect.mAsks) {
    ReleaseAsk(aStep, aRequest, ask);
  }
  aRequest.mDirect.mAsks.clear();
}

void
RefuseDirect(EntryStep& aStep,
             CallerRequest& aRequest,
             ErrorKind aKind,
             const std::string& aMessage,
             Duration aRetryAfter)
{
  CallerError error;
  error.mKind = aKind;
  error.mMessage = aMessage;
  if (!DirectNotRun(aRequest)) {
    // An earlier attempt may have run, so nothing may be promised.
    error.mKind = ErrorKind::eTargetFailed;
    FailRequest(aStep, aRequest, std::move(error));
    return;
  }
  const Duration left = aRequest.mDeadline - aStep.mNow;
  error.mRetryAfter =
    std::max(kShortestRetry, std::min(aRetryAfter, left / kRetryShare));
  error.mExactRetry = true;
  FailRequest(aStep, aRequest, std::move(error));
}

void
HandleSlotReply(EntryStep& aStep,
                const PeerAddress& aFrom,
                const SlotReply& aReply)
{
  Entry& entry = aStep.mEntry;
  CallerRequest* request = WaitingRequest(entry, aReply.mRequest);
  SlotAsk* ask = request == nullptr ? nullptr : AskAt(*request, aFrom);
  if (ask == nullptr) {
    if (aReply.mState == SlotState::eGranted) {
      // Granted after the request went elsewhere or ended.
      Send(
        aStep, aFrom, SlotRelease{ aReply.mRequest, SlotEnding::eCancelled });
    }
    return;
  }
  auto target = entry.mConfig.mTargets.find(ask->mTarget);
  if (target != entry.mConfig.mTargets.end()) {
    LoadOfTarget(aStep, target->second).mSilentSince = kNever;
    NoteLoadReport(LoadOfTarget(aStep, target->second),
                   aStep.mNow,
                   aReply.mRunning + aReply.mQueued,
                   aReply.mBatch,
                   aReply.mLimit);
  }
  ask->mExpectedWait = aReply.mExpectedWait;
  if (aReply.mState == SlotState::eGranted) {
    if (target == entry.mConfig.mTargets.end() ||
        !TakesWork(entry, target->second)) {
      EndAsks(aStep, *request);
      StartDirect(aStep, *request);
      return;
    }
    const Target chosen = target->second;
    // Taken out first, so that it is not released with the others.
    if (auto load = entry.mPlacement.find(ask->mTarget);
        load != entry.mPlacement.end() && load->second.mOwn > 0) {
      --load->second.mOwn;
    }
    request->mDirect.mAsks.erase(request->mDirect.mAsks.begin() +
                                 (ask - request->mDirect.mAsks.data()));
    EndAsks(aStep, *request);
    CallTarget(aStep, *request, chosen, aFrom);
    return;
  }
  const bool refused = aReply.mState == SlotState::eRefused;
  ask->mState = refused ? AskState::eRefused : AskState::eQueued;
  if (request->mDirect.mAsks.size() < kMaxAsks) {
    AskNext(aStep, *request);
  }
  if (request->mPhase == RequestPhase::eDirect &&
      !request->mDirect.mAsks.empty() && AllRefused(request->mDirect)) {
    RefuseBusy(aStep, *request);
  }
}

void
DirectPeerLost(EntryStep& aStep, const PeerAddress& aPeer)
{
  Entry& entry = aStep.mEntry;
  std::vector<uint64_t> waiting;
  std::set<TargetId> lost;
  for (auto& [serial, request] : entry.mRequests) {
    if (request.mPhase != RequestPhase::eDirect) {
      continue;
    }
    for (DirectAttempt& attempt : request.mDirect.mAttempts) {
      if (attempt.mSlotNode == aPeer) {
        attempt.mSlotNode = {};
      }
    }
    if (const SlotAsk* ask = AskAt(request, aPeer)) {
      waiting.push_back(serial);
      lost.insert(ask->mTarget);
    }
  }
  for (const TargetId& target : lost) {
    auto load = entry.mPlacement.find(target);
    if (load != entry.mPlacement.end()) {
      NotePlacementFailure(load->second, aStep.mNow);
    }
  }
  for (const uint64_t serial : waiting) {
    CallerRequest& request = entry.mRequests.at(serial);
    SlotAsk* ask = AskAt(request, aPeer);
    if (ask == nullptr || request.mPhase != RequestPhase::eDirect) {
      continue;
    }
    ask->mState = AskState::eRefused;
    if (!AllRefused(request.mDirect)) {
      continue;
    }
    EndAsks(aStep, request);
    if (++request.mDirect.mLostNodes <= kMaxLostNodes) {
      StartDirect(aStep, request);
    } else {
      // Nodes that refuse connections would be asked without a pause.
      request.mDirect.mCheckAt = aStep.mNow + kAskWait;
      ScheduleRequest(aStep, request);
    }
  }
}

void
TakeDirectLoad(EntryStep& aStep, const LoadReport& aReport)
{
  Entry& entry = aStep.mEntry;
  const Member* node = NodeOf(entry, aReport.mNode);
  if (node == nullptr || node->mEpoch != aReport.mNodeEpoch) {
    return;
  }
  auto target = entry.mConfig.mTargets.find(node->mTarget.mId);
  if (target != entry.mConfig.mTargets.end()) {
    LoadOfTarget(aStep, target->second).mSilentSince = kNever;
    NoteLoadReport(LoadOfTarget(aStep, target->second),
                   aStep.mNow,
                   aReport.mRunning - aReport.mBatch + aReport.mQueued,
                   aReport.mBatch,
                   aReport.mLimit);
  }
}

void
TickDirectNodes(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  if (entry.mConfig.mTargets.empty() || aStep.mNow < entry.mNextHeld) {
    return;
  }
  entry.mNextHeld = aStep.mNow + kHeldEvery;
  const bool watch = aStep.mNow >= entry.mNextDirectWatch;
  if (watch) {
    entry.mNextDirectWatch = aStep.mNow + kWatchEvery;
  }
  std::map<PeerAddress, SlotsHeld> held;
  for (const auto& [serial, request] : entry.mRequests) {
    for (const DirectAttempt& attempt : request.mDirect.mAttempts) {
      if (!attempt.mEnded && !attempt.mSlotNode.Empty()) {
        held[attempt.mSlotNode].mRequests.push_back(request.mId);
      }
    }
  }
  for (const auto& [id, target] : entry.mConfig.mTargets) {
    const Member* node = NodeBeside(entry, target);
    if (node == nullptr) {
      continue;
    }
    auto slots = held.find(node->mAddress);
    if (slots != held.end()) {
      Send(aStep, node->mAddress, std::move(slots->second));
    }
    if (watch) {
      Send(aStep, node->mAddress, Watch{ entry.mSettings.mAddress });
    }
  }
  std::erase_if(entry.mPlacement, [&](const auto& aLoad) {
    return aLoad.second.mOwn == 0 &&
           !entry.mConfig.mTargets.contains(aLoad.first);
  });
}

MonoTime
DirectWakeup(const Entry& aEntry)
{
  return aEntry.mConfig.mTargets.empty() ? kNever : aEntry.mNextHeld;
}

} // namespace caraway
