// Slot requests of direct requests: where they are sent, and how the replies
// are handled.

#include <algorithm>
#include <optional>

#include "absl/strings/str_cat.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/direct_internal.h"
#include "caraway/entry/drain.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/resumed_streams.h"
#include "caraway/entry/rollouts.h"
#include "caraway/entry/start_times.h"
#include "caraway/refusal/slot_search.h"

namespace caraway {

namespace {

// Slot requests in flight per request. As the first grant is used, waiting in
// three queues comes close to one queue for all targets.
constexpr size_t kMaxSlotRequests = 3;
// A load report tells of free places for this long.
constexpr Duration kFreePlaceLifetime = Seconds(1);
// A node that has not replied by then is avoided for a while.
constexpr Duration kSlotReplyTimeout = Millis(150);

// False if the request continues a stream and no target of its version takes
// requests, however busy they are.
bool
AnyAccepts(const EntryStep& aStep, const DirectCall& aDirect)
{
  const auto& targets = aStep.mEntry.mConfig.mTargets;
  return !aDirect.mOrigin ||
         std::any_of(targets.begin(), targets.end(), [&](const auto& aOne) {
           return AcceptsRequest(aStep, aDirect, aOne.second);
         });
}

std::vector<PlacementCandidate>
CandidatesOf(EntryStep& aStep, const DirectCall& aDirect)
{
  const Entry& entry = aStep.mEntry;
  std::vector<PlacementCandidate> candidates;
  for (const auto& [id, target] : entry.mConfig.mTargets) {
    if (AcceptsRequest(aStep, aDirect, target) &&
        (NodeOfTarget(entry, target) != nullptr ||
         NeedsStartTime(aStep, target) || MayCallWithoutGrant(aStep, target))) {
      candidates.push_back({ id, target.mZone, target.mSlots });
    }
  }
  return candidates;
}

void
ReleaseSlotRequest(EntryStep& aStep,
                   CallerRequest& aRequest,
                   const PendingSlotRequest& aSlotRequest)
{
  if (aSlotRequest.mState == SlotRequestState::eRefused) {
    // Nothing is held.
  } else if (aSlotRequest.mForStartTime) {
    ReleaseStartTime(aStep, aSlotRequest.mTarget, aRequest.mId);
  } else {
    Send(aStep,
         aSlotRequest.mNode,
         SlotRelease{ aRequest.mId, SlotEnding::eUnused, 0 });
  }
  auto load = aStep.mEntry.mPlacement.find(aSlotRequest.mTarget);
  if (load != aStep.mEntry.mPlacement.end() && load->second.mOwn > 0) {
    --load->second.mOwn;
  }
}

void
RequestSlot(EntryStep& aStep,
            CallerRequest& aRequest,
            const Target& aTarget,
            const Member& aNode)
{
  const DirectCall& direct = aRequest.mDirect;
  SlotRequest slotRequest;
  slotRequest.mRequest = aRequest.mId;
  slotRequest.mWorkspace = aRequest.mWorkspace;
  // A resumed stream has no latency goal left. A request past its goal queues
  // behind those that can still meet theirs.
  slotRequest.mTimeToGoal =
    aRequest.mReplyBegun ? Duration{}
                         : std::max(Millis(1), direct.mGoalAt - aStep.mNow);
  slotRequest.mMayReturn = MayAdviseRetry(aStep, aRequest);
  slotRequest.mWait = aRequest.mDeadline - aStep.mNow;
  slotRequest.mPromptTokens = aRequest.mTarget.mPromptTokens;
  slotRequest.mOutputTokens = aRequest.mTarget.mOutputTokens;
  slotRequest.mRank = direct.mRank;
  slotRequest.mIsCallerRetry = direct.mIsCallerRetry;
  const auto& contracts = aStep.mEntry.mConfig.mContracts;
  if (auto own = contracts.find(aRequest.mWorkspace); own != contracts.end()) {
    slotRequest.mWeight = ShareWeight(own->second);
  }
  PlacementLoad& load = LoadOfTarget(aStep, aTarget);
  slotRequest.mRate = HeardRateOf(load.mRate, aStep.mNow, aTarget.mStartedAt);
  ++load.mOwn;
  load.mUnansweredSince = std::min(load.mUnansweredSince, aStep.mNow);
  aRequest.mDirect.mSlotRequests.push_back(
    { aTarget.mId, aNode.mAddress, aStep.mNow, SlotRequestState::eSent, {} });
  Send(aStep, aNode.mAddress, std::move(slotRequest));
}

// How long the request still waits at least, by the replies to its slot
// requests. 0 while one of them is not answered.
Duration
ExpectedWait(const EntryStep& aStep, const DirectCall& aDirect)
{
  std::optional<Duration> shortest;
  for (const PendingSlotRequest& slotRequest : aDirect.mSlotRequests) {
    if (slotRequest.mState != SlotRequestState::eRefused) {
      Duration wait;
      if (slotRequest.mState == SlotRequestState::eQueued) {
        wait = slotRequest.mExpectedWait;
      } else if (slotRequest.mState == SlotRequestState::eReserved) {
        wait = slotRequest.mStartAt - aStep.mNow;
      }
      shortest = shortest ? std::min(*shortest, wait) : wait;
    }
  }
  return shortest.value_or(Duration{});
}

// Records and logs that the node has not replied, so that other targets are
// preferred for a while.
void
RecordUnresponsiveNode(EntryStep& aStep,
                       const CallerRequest& aRequest,
                       PendingSlotRequest& aSlotRequest)
{
  auto load = aStep.mEntry.mPlacement.find(aSlotRequest.mTarget);
  if (load != aStep.mEntry.mPlacement.end() &&
      load->second.mAvoidUntil <= aStep.mNow) {
    RecordPlacementFailure(load->second, aStep.mNow);
  }
  DecisionLog log;
  log.mLevel = LogLevel::eWarning;
  log.mEvent = "slot";
  log.mRequest = aRequest.mId;
  log.mChoice = "elsewhere";
  log.mReason = "no reply to the slot request; preferring other targets";
  log.mExtra = {
    { "target", aSlotRequest.mTarget.mValue },
    { "waited_ms", absl::StrCat((aStep.mNow - aSlotRequest.mSentAt).Millis()) }
  };
  aStep.mOut.emplace_back(std::move(log));
}

// Replaces slot requests that were not answered in time. Returns true if a call
// was started or the request has ended.
bool
ReplaceUnansweredSlotRequests(EntryStep& aStep, CallerRequest& aRequest)
{
  Entry& entry = aStep.mEntry;
  DirectCall& direct = aRequest.mDirect;
  for (size_t at = 0; at < direct.mSlotRequests.size();) {
    PendingSlotRequest& slotRequest = direct.mSlotRequests[at];
    auto target = entry.mConfig.mTargets.find(slotRequest.mTarget);
    if (slotRequest.mState != SlotRequestState::eSent ||
        aStep.mNow - slotRequest.mSentAt < kSlotReplyTimeout ||
        target == entry.mConfig.mTargets.end()) {
      ++at;
      continue;
    }
    if (MayContinueAt(direct, target->second) &&
        RolloutAccepts(aStep, direct, target->second) &&
        MayCallWithoutGrant(aStep, target->second)) {
      const Target chosen = target->second;
      CancelSlotRequests(aStep, aRequest);
      CallTarget(aStep, aRequest, chosen, {});
      return true;
    }
    RecordUnresponsiveNode(aStep, aRequest, slotRequest);
    if (!RequestNextSlot(aStep, aRequest)) {
      return false; // it may still reply, or be called without a grant later
    }
    if (aRequest.mPhase != RequestPhase::eDirect || IsCalling(direct)) {
      return true;
    }
    ReleaseSlotRequest(aStep, aRequest, direct.mSlotRequests[at]);
    direct.mSlotRequests.erase(direct.mSlotRequests.begin() +
                               static_cast<ptrdiff_t>(at));
  }
  return false;
}

bool
HasFreePlace(const PlacementLoad& aLoad, MonoTime aNow)
{
  // Requests also wait beside free slots, where a target is cold.
  return aNow - aLoad.mReportAt < kFreePlaceLifetime && aLoad.mWaiting == 0 &&
         OnlineAt(aLoad, aNow) + aLoad.mBatch < aLoad.mLimit &&
         aNow >= aLoad.mAvoidUntil && aNow >= aLoad.mNextStartAt;
}

// True if a target that was not asked yet has a free place by its last report.
bool
KnowsFreePlace(EntryStep& aStep, const DirectCall& aDirect)
{
  const PlacementLoads& loads = aStep.mEntry.mPlacement;
  const auto isAsked = [&](const TargetId& aTarget) {
    return std::find(aDirect.mTried.begin(), aDirect.mTried.end(), aTarget) !=
             aDirect.mTried.end() ||
           std::any_of(aDirect.mSlotRequests.begin(),
                       aDirect.mSlotRequests.end(),
                       [&](const PendingSlotRequest& aOne) {
                         return aOne.mTarget == aTarget;
                       });
  };
  const std::vector<PlacementCandidate> candidates =
    CandidatesOf(aStep, aDirect);
  return std::any_of(
    candidates.begin(), candidates.end(), [&](const auto& aCandidate) {
      auto load = loads.find(aCandidate.mTarget);
      return load != loads.end() && HasFreePlace(load->second, aStep.mNow) &&
             !isAsked(aCandidate.mTarget);
    });
}

bool
MayRequestAnotherSlot(EntryStep& aStep, const DirectCall& aDirect)
{
  const PlacementLoads& loads = aStep.mEntry.mPlacement;
  const auto rated = std::count_if(
    aDirect.mSlotRequests.begin(),
    aDirect.mSlotRequests.end(),
    [&](const PendingSlotRequest& aSlotRequest) {
      auto load = loads.find(aSlotRequest.mTarget);
      return load != loads.end() && load->second.mRate.mPerSecond > 0;
    });
  SlotSearch search;
  search.mAsked = aDirect.mSlotRequests.size();
  search.mRated = static_cast<size_t>(rated);
  if (MayAskAnother(search)) {
    return true; // without a look at all targets
  }
  search.mHasFreePlace = KnowsFreePlace(aStep, aDirect);
  return MayAskAnother(search);
}

} // namespace

bool
AllRefused(const DirectCall& aDirect)
{
  return std::all_of(aDirect.mSlotRequests.begin(),
                     aDirect.mSlotRequests.end(),
                     [](const PendingSlotRequest& aSlotRequest) {
                       return aSlotRequest.mState == SlotRequestState::eRefused;
                     });
}

PendingSlotRequest*
FindSlotRequest(CallerRequest& aRequest, const PeerAddress& aNode)
{
  for (PendingSlotRequest& slotRequest : aRequest.mDirect.mSlotRequests) {
    if (slotRequest.mNode == aNode && !aNode.Empty()) {
      return &slotRequest;
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

bool
RequestNextSlot(EntryStep& aStep, CallerRequest& aRequest)
{
  Entry& entry = aStep.mEntry;
  DirectCall& direct = aRequest.mDirect;
  PlacementQuery query{
    aRequest.mId,  aRequest.mWorkspace,      entry.mSettings.mZone,
    direct.mTried, aRequest.mTarget.mPrefix, PrefixShare(aRequest.mTarget)
  };
  for (const PendingSlotRequest& slotRequest : direct.mSlotRequests) {
    query.mExclude.push_back(slotRequest.mTarget);
  }
  std::vector<PlacementCandidate> candidates = CandidatesOf(aStep, direct);
  PreferByRollout(aStep, direct, candidates);
  Placement placement = ChoosePlacement(
    candidates, entry.mPlacement, query, aStep.mNow, entry.mRandom);
  placement.mLog.mExtra.push_back(
    { "revision", absl::StrCat(entry.mConfig.mRevision.mValue) });
  aStep.mOut.emplace_back(std::move(placement.mLog));
  entry.mMetrics.mHomePlacements += placement.mHome ? 1 : 0;
  if (!placement.mIndex) {
    return false;
  }
  const Target& target =
    entry.mConfig.mTargets.at(candidates[*placement.mIndex].mTarget);
  if (const Member* node = NodeOfTarget(entry, target)) {
    RequestSlot(aStep, aRequest, target, *node);
  } else if (NeedsStartTime(aStep, target)) {
    RequestStartTime(aStep, aRequest, target);
  } else {
    CancelSlotRequests(aStep, aRequest);
    CallTarget(aStep, aRequest, target, {});
  }
  return true;
}

void
StartDirect(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectCall& direct = aRequest.mDirect;
  aRequest.mPhase = RequestPhase::eDirect;
  direct.mSlotRequests.clear();
  if (StopsBeforeAnswer(aStep, aRequest, Duration{})) {
    FailStoppingRequest(aStep, aRequest);
    return;
  }
  if (NeedsOrigin(aRequest)) {
    FindOrigin(aStep, aRequest);
    return;
  }
  if (!RequestNextSlot(aStep, aRequest)) {
    if (!AnyAccepts(aStep, direct)) {
      RefuseContinuation(aStep, aRequest);
      return;
    }
    RefuseDirect(aStep,
                 aRequest,
                 ErrorKind::eUnavailable,
                 "no target of the service is available now",
                 kNoTargetRetry);
    return;
  }
  if (aRequest.mPhase == RequestPhase::eDirect) {
    direct.mCheckAt = aStep.mNow + kHedgeDelay;
    ScheduleRequest(aStep, aRequest);
  }
}

void
TickSlotRequests(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectCall& direct = aRequest.mDirect;
  if (direct.mSlotRequests.empty()) {
    StartDirect(aStep, aRequest);
    return;
  }
  if (StopsBeforeAnswer(aStep, aRequest, Duration{})) {
    FailStoppingRequest(aStep, aRequest);
    return;
  }
  if (TickReservedStart(aStep, aRequest) || RefuseAfterWait(aStep, aRequest) ||
      ReplaceUnansweredSlotRequests(aStep, aRequest)) {
    return;
  }
  const PendingSlotRequest& last = direct.mSlotRequests.back();
  if (last.mState == SlotRequestState::eSent &&
      direct.mSlotRequests.size() < kMaxSlotRequests &&
      aStep.mNow - last.mSentAt >= kHedgeDelay) {
    RequestNextSlot(aStep, aRequest);
    if (aRequest.mPhase != RequestPhase::eDirect) {
      return;
    }
  }
  direct.mCheckAt = aStep.mNow + kHedgeDelay;
  ScheduleRequest(aStep, aRequest);
}

void
CancelSlotRequests(EntryStep& aStep, CallerRequest& aRequest)
{
  for (const PendingSlotRequest& slotRequest : aRequest.mDirect.mSlotRequests) {
    ReleaseSlotRequest(aStep, aRequest, slotRequest);
  }
  aRequest.mDirect.mSlotRequests.clear();
}

namespace {

// True if the node knows of a later start of the target, which may run another
// software version than its record here says, or of an earlier one.
bool
IsForAnotherStart(const SlotReply& aReply, const Target& aTarget)
{
  return aReply.mTargetStart != 0 && aReply.mTargetStart != aTarget.mStartedAt;
}

} // namespace

void
NoSlotAtOnce(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectCall& direct = aRequest.mDirect;
  if (MayRequestAnotherSlot(aStep, direct)) {
    RequestNextSlot(aStep, aRequest);
  }
  if (aRequest.mPhase == RequestPhase::eDirect &&
      !direct.mSlotRequests.empty() && AllRefused(direct)) {
    RefuseNoFreeSlot(aStep, aRequest);
  }
}

void
HandleSlotReply(EntryStep& aStep,
                const PeerAddress& aFrom,
                const SlotReply& aReply)
{
  Entry& entry = aStep.mEntry;
  CallerRequest* request = WaitingRequest(entry, aReply.mRequest);
  PendingSlotRequest* slotRequest =
    request == nullptr ? nullptr : FindSlotRequest(*request, aFrom);
  if (slotRequest == nullptr) {
    if (aReply.mState == SlotState::eGranted) {
      // Granted after the request was sent elsewhere or ended.
      Send(aStep,
           aFrom,
           SlotRelease{ aReply.mRequest, SlotEnding::eCancelled, 0 });
    }
    return;
  }
  auto target = entry.mConfig.mTargets.find(slotRequest->mTarget);
  if (target != entry.mConfig.mTargets.end()) {
    LoadOfTarget(aStep, target->second).mUnansweredSince = kNever;
    RecordLoadReport(LoadOfTarget(aStep, target->second),
                     aStep.mNow,
                     aReply.mRunning + aReply.mQueued,
                     aReply.mBatch,
                     aReply.mLimit,
                     aReply.mQueued);
    RecordNodeRate(aStep, target->second, aReply.mRate, aReply.mRateWait);
    LoadOfTarget(aStep, target->second).mNodePace = aReply.mPace;
  }
  slotRequest->mExpectedWait = aReply.mExpectedWait;
  if (aReply.mState == SlotState::eGranted) {
    if (target == entry.mConfig.mTargets.end() ||
        !AcceptsRequest(aStep, request->mDirect, target->second) ||
        IsForAnotherStart(aReply, target->second)) {
      request->mDirect.mTried.push_back(slotRequest->mTarget);
      CancelSlotRequests(aStep, *request);
      StartDirect(aStep, *request);
      return;
    }
    const Target chosen = target->second;
    // Removed first, so that CancelSlotRequests does not release the grant.
    if (auto load = entry.mPlacement.find(slotRequest->mTarget);
        load != entry.mPlacement.end() && load->second.mOwn > 0) {
      --load->second.mOwn;
    }
    request->mDirect.mSlotRequests.erase(
      request->mDirect.mSlotRequests.begin() +
      (slotRequest - request->mDirect.mSlotRequests.data()));
    CancelSlotRequests(aStep, *request);
    CallTarget(aStep, *request, chosen, aFrom);
    return;
  }
  const bool refused = aReply.mState == SlotState::eRefused;
  slotRequest->mState =
    refused ? SlotRequestState::eRefused : SlotRequestState::eQueued;
  NoSlotAtOnce(aStep, *request);
  if (request->mPhase == RequestPhase::eDirect &&
      !IsCalling(request->mDirect) &&
      StopsBeforeAnswer(
        aStep, *request, ExpectedWait(aStep, request->mDirect))) {
    FailStoppingRequest(aStep, *request);
  }
}

} // namespace caraway
