// Slots: requests of entries, grants, releases.

#include <algorithm>
#include <set>

#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

// A release or a SlotsHeld may be on its way past a grant for this long.
constexpr Duration kHeldGrace = Seconds(3);
// Part of the time until the goal that a request may wait for its place. The
// rest is for its prompt and for the way of the first event.
constexpr int64_t kWaitPart = 3;
constexpr int64_t kWaitParts = 4;

void
Reply(Node& aNode,
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
  reply.mLimit = CallLimit(scheduler);
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
WaitNow(const Node& aNode)
{
  const Scheduler& scheduler = aNode.mScheduler;
  return ExpectedWait(scheduler.mRate,
                      scheduler.mOnline.mBacklog + scheduler.mRate.mCost,
                      CallLimit(scheduler));
}

Work
WorkFor(const SlotRequest& aRequest, WorkId aId, MonoTime aNow)
{
  Work work;
  work.mId = aId;
  work.mWorkspace = aRequest.mWorkspace;
  work.mPrompt = aRequest.mPromptTokens;
  // A tenth of a prompt token's time per output token would be wrong by far:
  // output takes nearly all the time, so it alone is the cost.
  work.mCost = std::max<double>(1.0, aRequest.mOutputTokens);
  work.mDeadline = aNow + aRequest.mWait;
  if (aRequest.mTimeToGoal > Duration{}) {
    work.mStartGoal = aNow + aRequest.mTimeToGoal * kWaitPart / kWaitParts;
  }
  work.mMayReturn = aRequest.mMayReturn;
  return work;
}

void
Drop(Node& aNode, std::map<SlotKey, NodeSlot>::iterator aSlot)
{
  aNode.mSlots.mByWork.erase(aSlot->second.mWork);
  aNode.mSlots.mSlots.erase(aSlot);
}

void
Free(Node& aNode,
     MonoTime aNow,
     std::map<SlotKey, NodeSlot>::iterator aSlot,
     SlotEnding aEnding)
{
  const WorkId work = aSlot->second.mWork;
  if (aSlot->second.mGranted) {
    // How the answer was is the entry's to judge; the limit is the target's
    // own number of places.
    NoteEnd(aNode.mScheduler,
            aNow,
            work,
            aEnding == SlotEnding::eServed ? Ending::eGood : Ending::eCancelled,
            0);
  } else {
    WithdrawWaiting(aNode.mScheduler, aNow, work);
  }
  Drop(aNode, aSlot);
}

} // namespace

void
OnSlotRequest(Node& aNode,
              MonoTime aNow,
              const PeerAddress& aFrom,
              const SlotRequest& aRequest,
              NodeActions& aOut)
{
  const SlotKey key{ aFrom, aRequest.mRequest };
  auto known = aNode.mSlots.mSlots.find(key);
  if (known != aNode.mSlots.mSlots.end()) {
    Reply(aNode,
          key,
          known->second.mGranted ? SlotState::eGranted : SlotState::eQueued,
          WaitNow(aNode),
          aOut);
    return;
  }
  const ErrorKind reason = RefusalReason(aNode, aNow);
  if (reason != ErrorKind::eNone) {
    LogSlot(aNode, key, "refused", std::string(ErrorKindName(reason)), aOut);
    Reply(aNode, key, SlotState::eRefused, Seconds(1), aOut);
    return;
  }
  const WorkId work(aNode.mNextWork++);
  const Offer offer =
    OfferOnline(aNode.mScheduler, aNow, WorkFor(aRequest, work, aNow));
  if (offer.mVerdict == Verdict::eRefused) {
    LogSlot(
      aNode, key, "refused", std::string(ErrorKindName(offer.mKind)), aOut);
    Reply(aNode,
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
    LogSlot(aNode, key, "queued", "all places are taken", aOut);
    Reply(aNode, key, SlotState::eQueued, offer.mExpectedWait, aOut);
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
  LogSlot(aNode, key->second, "granted", "a place is free", aOut);
  Reply(aNode, key->second, SlotState::eGranted, {}, aOut);
  return true;
}

bool
RefuseSlot(Node& aNode, MonoTime, WorkId aWork, NodeActions& aOut)
{
  auto key = aNode.mSlots.mByWork.find(aWork);
  if (key == aNode.mSlots.mByWork.end()) {
    return false;
  }
  const SlotKey slot = key->second;
  LogSlot(aNode, slot, "refused", "no place came in time", aOut);
  Reply(aNode, slot, SlotState::eRefused, WaitNow(aNode), aOut);
  Drop(aNode, aNode.mSlots.mSlots.find(slot));
  return true;
}

void
OnSlotRelease(Node& aNode,
              MonoTime aNow,
              const PeerAddress& aFrom,
              const SlotRelease& aRelease)
{
  auto slot = aNode.mSlots.mSlots.find({ aFrom, aRelease.mRequest });
  if (slot != aNode.mSlots.mSlots.end()) {
    Free(aNode, aNow, slot, aRelease.mEnding);
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
      Free(aNode, aNow, slot, SlotEnding::eCancelled);
    }
    slot = next;
  }
  for (const RequestId& request : held) {
    const SlotKey key{ aFrom, request };
    if (slots.contains(key)) {
      continue;
    }
    // This node has restarted and the call still runs.
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
    Free(aNode, aNow, slot, SlotEnding::eCancelled);
    slot = next;
  }
}

uint32_t
BatchCalls(const Node& aNode)
{
  return static_cast<uint32_t>(aNode.mScheduler.mRunning.size()) -
         aNode.mScheduler.mRunningOnline;
}

} // namespace caraway
