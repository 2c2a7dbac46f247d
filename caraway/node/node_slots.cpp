// Slots: handles requests and releases of entries, and grants.

#include <algorithm>
#include <set>

#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

// A SlotsHeld list or a release may cross a grant in transit, so a slot granted
// more recently than this is kept although the list lacks it.
constexpr Duration kHeldGrace = Seconds(3);
// Share of the time until its goal that a request may wait for a slot. The rest
// is left for processing the prompt and for delivering the first event.
constexpr int64_t kWaitShareNumerator = 3;
constexpr int64_t kWaitShareDenominator = 4;

void
SendSlotReply(Node& aNode,
              MonoTime aNow,
              const SlotKey& aKey,
              SlotState aState,
              Duration aWait,
              NodeActions& aOut)
{
  const Scheduler& scheduler = aNode.mScheduler;
  SlotReply reply;
  reply.mRequest = aKey.second;
  reply.mState = aState;
  reply.mExpectedWait = aWait;
  reply.mRunning = scheduler.mRunningOnline;
  reply.mBatch = BatchCalls(aNode);
  reply.mQueued = QueuedCalls(aNode);
  reply.mLimit = UsableSlots(aNode);
  reply.mTargetStart = aNode.mRecord.mStartedAt;
  reply.mRate = HeardRateOfTarget(aNode, aNow);
  reply.mRateWait = RateWait(aNode, aNow);
  reply.mPace = KnownPace(aNode);
  aOut.emplace_back(SendMessage{ aKey.first, std::move(reply) });
}

void
LogSlot(const Node& aNode,
        const SlotKey& aKey,
        const char* aChoice,
        std::string aReason,
        NodeActions& aOut)
{
  DecisionLog log;
  log.mEvent = "slot";
  log.mRequest = aKey.second;
  log.mChoice = aChoice;
  log.mReason = std::move(aReason);
  log.mExtra = { { "entry", aKey.first.mValue },
                 { "online", std::to_string(aNode.mScheduler.mRunningOnline) },
                 { "batch", std::to_string(BatchCalls(aNode)) },
                 { "queued", std::to_string(QueuedCalls(aNode)) },
                 { "limit", std::to_string(CallLimit(aNode.mScheduler)) } };
  aOut.emplace_back(std::move(log));
}

Duration
CurrentWait(const Node& aNode, MonoTime aNow)
{
  const Scheduler& scheduler = aNode.mScheduler;
  return std::max(
    ExpectedWait(scheduler.mRate,
                 scheduler.mOnline.mBacklog + scheduler.mRate.mCost,
                 CallLimit(scheduler)),
    RateWait(aNode, aNow));
}

Work
WorkFor(const SlotRequest& aRequest, WorkId aId, MonoTime aNow)
{
  Work work;
  work.mId = aId;
  work.mWorkspace = aRequest.mWorkspace;
  work.mPrompt = aRequest.mPromptTokens;
  // The cost is the output alone, which takes nearly all of the time. Weighting
  // prompt against output tokens by a fixed tenth would be far off.
  work.mCost = std::max<double>(1.0, aRequest.mOutputTokens);
  work.mDeadline = aNow + aRequest.mWait;
  if (aRequest.mTimeToGoal > Duration{}) {
    work.mStartGoal =
      aNow + aRequest.mTimeToGoal * kWaitShareNumerator / kWaitShareDenominator;
  }
  work.mMayReturn = aRequest.mMayReturn;
  work.mIsCallerRetry = aRequest.mIsCallerRetry;
  work.mRank = aRequest.mRank;
  work.mWeight = std::max<uint32_t>(1, aRequest.mWeight);
  return work;
}

void
RemoveSlot(Node& aNode, std::map<SlotKey, NodeSlot>::iterator aSlot)
{
  aNode.mSlots.mByWork.erase(aSlot->second.mWork);
  aNode.mSlots.mSlots.erase(aSlot);
}

void
ReleaseSlot(Node& aNode,
            MonoTime aNow,
            std::map<SlotKey, NodeSlot>::iterator aSlot,
            SlotEnding aEnding)
{
  const WorkId work = aSlot->second.mWork;
  if (aSlot->second.mGranted) {
    if (aEnding == SlotEnding::eUnused) {
      ReturnStart(aNode.mScheduler.mPace, aSlot->second.mSince);
    }
    // The quality of the answer is judged by the entry and does not change the
    // limit here, which is the target's own number of slots.
    RecordCallEnd(aNode.mScheduler,
                  aNow,
                  work,
                  aEnding == SlotEnding::eServed ? Ending::eGood
                                                 : Ending::eCancelled,
                  0);
  } else {
    WithdrawWaiting(aNode.mScheduler, aNow, work);
  }
  RemoveSlot(aNode, aSlot);
}

} // namespace

void
OnSlotRequest(Node& aNode,
              MonoTime aNow,
              const PeerAddress& aFrom,
              const SlotRequest& aRequest,
              NodeActions& aOut)
{
  if (aRequest.mRate) {
    OnHeardRate(aNode, aNow, *aRequest.mRate, aOut);
  }
  const SlotKey key{ aFrom, aRequest.mRequest };
  auto known = aNode.mSlots.mSlots.find(key);
  if (known != aNode.mSlots.mSlots.end()) {
    SendSlotReply(aNode,
                  aNow,
                  key,
                  known->second.mGranted ? SlotState::eGranted
                                         : SlotState::eQueued,
                  CurrentWait(aNode, aNow),
                  aOut);
    return;
  }
  const ErrorKind reason = RefusalReason(aNode, aNow);
  if (reason != ErrorKind::eNone) {
    LogSlot(aNode, key, "refused", std::string(ErrorKindName(reason)), aOut);
    SendSlotReply(aNode, aNow, key, SlotState::eRefused, Seconds(1), aOut);
    return;
  }
  const WorkId work(aNode.mNextWork++);
  const OfferResult offer =
    OfferOnline(aNode.mScheduler, aNow, WorkFor(aRequest, work, aNow));
  if (offer.mVerdict == Verdict::eRefused) {
    LogSlot(
      aNode, key, "refused", std::string(ErrorKindName(offer.mKind)), aOut);
    SendSlotReply(aNode,
                  aNow,
                  key,
                  SlotState::eRefused,
                  std::max(offer.mRetryAfter, offer.mExpectedWait),
                  aOut);
    return;
  }
  aNode.mSlots.mSlots[key] = { work, false, aNow };
  aNode.mSlots.mByWork[work] = key;
  if (!offer.mEvicted.IsNone()) {
    RefuseSlot(aNode, aNow, offer.mEvicted, aOut);
  }
  RunSchedule(aNode, aNow, aOut);
  auto place = aNode.mSlots.mSlots.find(key);
  if (place != aNode.mSlots.mSlots.end() && !place->second.mGranted) {
    LogSlot(aNode, key, "queued", "all slots are taken", aOut);
    SendSlotReply(
      aNode, aNow, key, SlotState::eQueued, offer.mExpectedWait, aOut);
  }
}

bool
GrantSlot(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut)
{
  auto key = aNode.mSlots.mByWork.find(aWork);
  if (key == aNode.mSlots.mByWork.end()) {
    return false;
  }
  NodeSlot& slot = aNode.mSlots.mSlots.at(key->second);
  slot.mGranted = true;
  slot.mSince = aNow;
  ++aNode.mCounters.mStarted;
  LogSlot(aNode, key->second, "granted", "a slot is free", aOut);
  SendSlotReply(aNode, aNow, key->second, SlotState::eGranted, {}, aOut);
  return true;
}

bool
RefuseSlot(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut)
{
  auto key = aNode.mSlots.mByWork.find(aWork);
  if (key == aNode.mSlots.mByWork.end()) {
    return false;
  }
  const SlotKey slot = key->second;
  LogSlot(aNode, slot, "refused", "no slot became free in time", aOut);
  SendSlotReply(
    aNode, aNow, slot, SlotState::eRefused, CurrentWait(aNode, aNow), aOut);
  RemoveSlot(aNode, aNode.mSlots.mSlots.find(slot));
  return true;
}

void
OnSlotRelease(Node& aNode,
              MonoTime aNow,
              const PeerAddress& aFrom,
              const SlotRelease& aRelease)
{
  if (aRelease.mPace > 0) {
    RecordPace(aNode.mPace, aRelease.mPace);
  }
  const bool answered = aRelease.mEnding == SlotEnding::eServed ||
                        aRelease.mEnding == SlotEnding::eFailed;
  if (aNode.mSettings.mSlowStart && answered) {
    RecordStartAnswer(
      aNode.mScheduler.mSlowStart,
      JudgeStartAnswer(aRelease.mEnding == SlotEnding::eServed, aRelease.mPace),
      aNode.mScheduler.mSettings.mFixedLimit);
  }
  auto slot = aNode.mSlots.mSlots.find({ aFrom, aRelease.mRequest });
  if (slot != aNode.mSlots.mSlots.end()) {
    ReleaseSlot(aNode, aNow, slot, aRelease.mEnding);
  }
}

void
OnSlotsHeld(Node& aNode,
            MonoTime aNow,
            const PeerAddress& aFrom,
            const SlotsHeld& aHeld)
{
  const std::set<RequestId> held(aHeld.mRequests.begin(),
                                 aHeld.mRequests.end());
  auto& slots = aNode.mSlots.mSlots;
  for (auto slot = slots.lower_bound({ aFrom, RequestId() });
       slot != slots.end() && slot->first.first == aFrom;) {
    auto next = std::next(slot);
    if (slot->second.mGranted && !held.contains(slot->first.second) &&
        aNow - slot->second.mSince > kHeldGrace) {
      ReleaseSlot(aNode, aNow, slot, SlotEnding::eCancelled);
    }
    slot = next;
  }
  for (const RequestId& request : held) {
    const SlotKey key{ aFrom, request };
    if (slots.contains(key)) {
      continue;
    }
    // This node has restarted while the call was running: adopt its slot.
    const WorkId work(aNode.mNextWork++);
    SlotRequest adopted;
    adopted.mRequest = request;
    AdoptOnline(aNode.mScheduler, aNow, WorkFor(adopted, work, aNow));
    slots[key] = { work, true, aNow };
    aNode.mSlots.mByWork[work] = key;
  }
}

void
DropEntrySlots(Node& aNode, MonoTime aNow, const PeerAddress& aEntry)
{
  auto& slots = aNode.mSlots.mSlots;
  for (auto slot = slots.lower_bound({ aEntry, RequestId() });
       slot != slots.end() && slot->first.first == aEntry;) {
    auto next = std::next(slot);
    ReleaseSlot(aNode, aNow, slot, SlotEnding::eCancelled);
    slot = next;
  }
}

double
KnownPace(const Node& aNode)
{
  return aNode.mPace.mSamples == 0 ? 0 : PaceOf(aNode.mPace);
}

uint32_t
BatchCalls(const Node& aNode)
{
  return static_cast<uint32_t>(aNode.mScheduler.mRunning.size()) -
         aNode.mScheduler.mRunningOnline;
}

} // namespace caraway
