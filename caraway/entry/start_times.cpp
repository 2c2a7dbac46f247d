// Divides the stated rates of targets without a node among the entries.

#include "caraway/entry/start_times.h"

#include <algorithm>

#include "caraway/entry/attempts.h"
#include "caraway/entry/direct_internal.h"
#include "caraway/entry/entry.h"
#include "caraway/routing/hash.h"

namespace caraway {

namespace {

// Bounds how far ahead an entry that stops dividing has reserved starts.
constexpr Duration kMaxStartDelay = Seconds(2);
// Reservations are kept for retransmitted requests and late releases.
constexpr Duration kReservationKept = Seconds(1);

// The address of the entry that divides the target's rate.
const PeerAddress&
DividerOf(EntryStep& aStep, const Target& aTarget)
{
  const Entry& entry = aStep.mEntry;
  PlacementLoad& load = LoadOfTarget(aStep, aTarget);
  if (load.mDividerTopology == entry.mTopologyVersion) {
    return load.mDivider;
  }
  load.mDividerTopology = entry.mTopologyVersion;
  load.mDivider = {};
  const InstanceId& self = entry.mSettings.mInstance;
  auto own = entry.mConfig.mMembers.find(self);
  uint64_t best = 0;
  if (own == entry.mConfig.mMembers.end() || !own->second.mDraining) {
    best = RendezvousScore(self.mValue, aTarget.mId.mValue);
    load.mDivider = entry.mSettings.mAddress;
  }
  for (const auto& [id, member] : entry.mConfig.mMembers) {
    if (member.mRole != MemberRole::eEntry || member.mDraining || id == self) {
      continue;
    }
    const uint64_t score = RendezvousScore(id.mValue, aTarget.mId.mValue);
    if (load.mDivider.Empty() || score > best) {
      best = score;
      load.mDivider = member.mAddress;
    }
  }
  return load.mDivider;
}

bool
IsDivider(EntryStep& aStep, const Target& aTarget)
{
  return DividerOf(aStep, aTarget) == aStep.mEntry.mSettings.mAddress;
}

const Target*
FindStart(const Entry& aEntry, const TargetId& aTarget, int64_t aStart)
{
  auto target = aEntry.mConfig.mTargets.find(aTarget);
  return target != aEntry.mConfig.mTargets.end() &&
             target->second.mStartedAt == aStart
           ? &target->second
           : nullptr;
}

// Lets requests that wait for their reserved start look at the rate now.
void
CheckReservedStarts(EntryStep& aStep, const TargetId& aTarget)
{
  for (auto& [serial, request] : aStep.mEntry.mRequests) {
    const auto& pending = request.mDirect.mSlotRequests;
    if (std::any_of(pending.begin(), pending.end(), [&](const auto& aOne) {
          return aOne.mState == SlotRequestState::eReserved &&
                 aOne.mTarget == aTarget;
        })) {
      request.mDirect.mCheckAt = aStep.mNow;
      ScheduleRequest(aStep, request);
    }
  }
}

// Logs the new rate. The divider tells the other entries, which may have no
// requests of their own for the target yet.
void
RateChanged(EntryStep& aStep, const Target& aTarget, std::string_view aSource)
{
  Entry& entry = aStep.mEntry;
  PlacementLoad& load = LoadOfTarget(aStep, aTarget);
  aStep.mOut.emplace_back(RateLog(aTarget.mId, load.mRate.mPerSecond, aSource));
  CheckReservedStarts(aStep, aTarget.mId);
  if (NodeOfTarget(entry, aTarget) != nullptr || !IsDivider(aStep, aTarget)) {
    return;
  }
  const std::optional<HeardRate> heard =
    HeardRateOf(load.mRate, aStep.mNow, aTarget.mStartedAt);
  for (const auto& [id, member] : entry.mConfig.mMembers) {
    if (heard && member.mRole == MemberRole::eEntry &&
        id != entry.mSettings.mInstance) {
      Send(aStep, member.mAddress, RateNotice{ aTarget.mId, *heard });
    }
  }
}

// Returns the divided rate of this start of the target, made on first use.
DividedRate&
DividedRateOf(EntryStep& aStep, const Target& aTarget)
{
  Entry& entry = aStep.mEntry;
  const PlacementLoad& load = LoadOfTarget(aStep, aTarget);
  auto [place, made] = entry.mStartTimes.mTargets.try_emplace(aTarget.mId);
  DividedRate& divided = place->second;
  const double rate = load.mRate.mPerSecond;
  if (made || divided.mTargetStart != aTarget.mStartedAt) {
    divided = {};
    divided.mTargetStart = aTarget.mStartedAt;
  }
  if (divided.mPace.mStatedRate != rate) {
    if (rate > 0 && rate < divided.mPace.mStatedRate) {
      // Starts that were reserved under the higher rate are given up, see
      // UseReservedStart. So the lower one begins as a first one does.
      divided.mReserved.clear();
      divided.mPace.mStatedRate = 0;
    }
    SetStatedRate(divided.mPace, aStep.mNow, rate);
  }
  std::erase_if(divided.mReserved, [&](const auto& aReserved) {
    return aStep.mNow - aReserved.second > kReservationKept;
  });
  return divided;
}

// Reserves the next start that is free, unless it is too far ahead.
void
Reserve(DividedRate& aDivided,
        MonoTime aNow,
        const StartTimeRequest& aRequest,
        StartTimeReply& aReply)
{
  auto known = aDivided.mReserved.find(aRequest.mRequest);
  if (known != aDivided.mReserved.end()) {
    aReply.mGranted = true;
    aReply.mDelay = std::max(Duration{}, known->second - aNow);
    return;
  }
  const MonoTime next = NextStartUnderRate(aDivided.mPace, aNow, 0);
  if (next - aNow <= std::min(aRequest.mWait, kMaxStartDelay)) {
    RecordCallStart(aDivided.mPace, next);
    aDivided.mReserved[aRequest.mRequest] = next;
    aReply.mGranted = true;
    aReply.mDelay = next - aNow;
    return;
  }
  // Callers that are refused return one after the other.
  const MonoTime back = std::max(aDivided.mNextReturn, next);
  aDivided.mNextReturn = back + TimePerStart(aDivided.mPace);
  aReply.mDelay = back - aNow;
}

// Returns nullopt if this entry does not divide the target's rate.
std::optional<StartTimeReply>
AnswerStartTimeRequest(EntryStep& aStep, const StartTimeRequest& aRequest)
{
  RecordRateNotice(aStep, aRequest.mTarget, aRequest.mRate, "an entry");
  const Target* target =
    FindStart(aStep.mEntry, aRequest.mTarget, aRequest.mRate.mTargetStart);
  if (target == nullptr || !IsDivider(aStep, *target)) {
    return std::nullopt;
  }
  StartTimeReply reply;
  reply.mRequest = aRequest.mRequest;
  reply.mTarget = aRequest.mTarget;
  Reserve(DividedRateOf(aStep, *target), aStep.mNow, aRequest, reply);
  reply.mRate = HeardRateOf(
    LoadOfTarget(aStep, *target).mRate, aStep.mNow, target->mStartedAt);
  return reply;
}

} // namespace

bool
NeedsStartTime(EntryStep& aStep, const Target& aTarget)
{
  const auto& plan = aStep.mEntry.mConfig.mPlan;
  const PlanService* service =
    plan ? PlanServiceById(*plan, aTarget.mService) : nullptr;
  return service != nullptr && !service->mEngine &&
         NodeOfTarget(aStep.mEntry, aTarget) == nullptr &&
         LoadOfTarget(aStep, aTarget).mRate.mPerSecond > 0;
}

void
AskStartTime(EntryStep& aStep,
             const Target& aTarget,
             const StartTimeRequest& aRequest)
{
  const PeerAddress divider = DividerOf(aStep, aTarget);
  if (divider != aStep.mEntry.mSettings.mAddress) {
    Send(aStep, divider, aRequest);
  } else if (auto reply = AnswerStartTimeRequest(aStep, aRequest)) {
    aStep.mEntry.mStartTimes.mOwnReplies.push_back(*std::move(reply));
  }
}

void
ReleaseStartTime(EntryStep& aStep,
                 const TargetId& aTarget,
                 const RequestId& aRequest)
{
  auto target = aStep.mEntry.mConfig.mTargets.find(aTarget);
  if (target == aStep.mEntry.mConfig.mTargets.end()) {
    return;
  }
  const PeerAddress divider = DividerOf(aStep, target->second);
  if (divider == aStep.mEntry.mSettings.mAddress) {
    HandleStartTimeRelease(aStep, { aRequest, aTarget });
  } else {
    Send(aStep, divider, StartTimeRelease{ aRequest, aTarget });
  }
}

void
HandleStartTimeRequest(EntryStep& aStep,
                       const PeerAddress& aFrom,
                       const StartTimeRequest& aRequest)
{
  if (auto reply = AnswerStartTimeRequest(aStep, aRequest)) {
    Send(aStep, aFrom, *std::move(reply));
  }
}

void
HandleStartTimeRelease(EntryStep& aStep, const StartTimeRelease& aRelease)
{
  auto& targets = aStep.mEntry.mStartTimes.mTargets;
  auto divided = targets.find(aRelease.mTarget);
  if (divided == targets.end()) {
    return;
  }
  auto reserved = divided->second.mReserved.find(aRelease.mRequest);
  if (reserved == divided->second.mReserved.end()) {
    return;
  }
  StartPace& pace = divided->second.mPace;
  if (reserved->second > aStep.mNow) {
    // Not before the last reserved start, or the next one would come too soon
    // after it.
    pace.mRateUsedUntil = pace.mRateUsedUntil - TimePerStart(pace);
    for (const auto& [request, start] : divided->second.mReserved) {
      pace.mRateUsedUntil = std::max(pace.mRateUsedUntil, start);
    }
  }
  divided->second.mReserved.erase(reserved);
}

void
DeliverOwnStartTimes(EntryStep& aStep)
{
  auto& replies = aStep.mEntry.mStartTimes.mOwnReplies;
  while (!replies.empty()) {
    for (const StartTimeReply& reply : std::exchange(replies, {})) {
      HandleStartTimeReply(aStep, reply);
    }
  }
}

void
RecordAnswerRate(EntryStep& aStep,
                 const TargetId& aTarget,
                 int64_t aTargetStart,
                 const TargetCallBegan& aAnswer)
{
  const Target* target = FindStart(aStep.mEntry, aTarget, aTargetStart);
  if (target == nullptr) {
    return;
  }
  PlacementLoad& load = LoadOfTarget(aStep, *target);
  const std::optional<double> rate = RateOfAnswer(aAnswer, load.mRate);
  if (!rate || !RecordStatedRate(load.mRate, aStep.mNow, *rate)) {
    return;
  }
  RateChanged(aStep, *target, "an answer");
  const RateNotice notice{ aTarget,
                           *HeardRateOf(load.mRate, aStep.mNow, aTargetStart) };
  if (const Member* node = NodeOfTarget(aStep.mEntry, *target)) {
    Send(aStep, node->mAddress, notice);
  } else if (!IsDivider(aStep, *target)) {
    Send(aStep, DividerOf(aStep, *target), notice);
  }
}

void
RecordRateNotice(EntryStep& aStep,
                 const TargetId& aTarget,
                 const HeardRate& aHeard,
                 std::string_view aSource)
{
  const Target* target = FindStart(aStep.mEntry, aTarget, aHeard.mTargetStart);
  if (target != nullptr &&
      RecordHeardRate(LoadOfTarget(aStep, *target).mRate, aStep.mNow, aHeard)) {
    RateChanged(aStep, *target, aSource);
  }
}

void
ForgetStartTimes(Entry& aEntry)
{
  std::erase_if(aEntry.mStartTimes.mTargets, [&](const auto& aDivided) {
    return !aEntry.mConfig.mTargets.contains(aDivided.first);
  });
}

} // namespace caraway
