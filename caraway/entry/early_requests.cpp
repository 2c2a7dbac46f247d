// Holds requests until the first configuration is confirmed.

#include "caraway/entry/early_requests.h"

#include <algorithm>

#include "caraway/entry/drain.h"
#include "caraway/entry/forward.h"
#include "caraway/entry/session.h"

namespace caraway {

namespace {

// The bodies take no extra memory, since evhttp holds them anyway.
constexpr size_t kMaxHeldRequests = 512;
// An entry has a configuration a few hundred milliseconds after its start, or
// seconds later if control is unreachable.
constexpr Duration kMaxHoldTime = Millis(1500);
// A request is held for at most a third of its caller's time. That leaves as
// much again for delays on the way and for a retry elsewhere.
constexpr int64_t kHoldDivisor = 3;

} // namespace

bool
HoldEarlyRequest(EntryStep& aStep, ForwardRequest& aRequest)
{
  Entry& entry = aStep.mEntry;
  if (HasConfirmedPlan(entry) || RefusesNewWork(entry, aStep.mNow) ||
      entry.mEarlyRequests.size() >= kMaxHeldRequests) {
    return false;
  }
  const Duration holdTime =
    aRequest.mDeadline ? *aRequest.mDeadline / kHoldDivisor : kMaxHoldTime;
  EarlyRequest early;
  early.mReceivedAt = aStep.mNow;
  early.mRefuseAt = aStep.mNow + std::min(holdTime, kMaxHoldTime);
  early.mRequest = std::move(aRequest);
  entry.mEarlyRequests.push_back(std::move(early));
  return true;
}

void
ProcessEarlyRequests(EntryStep& aStep)
{
  if (!HasConfirmedPlan(aStep.mEntry)) {
    return;
  }
  for (EarlyRequest& early : std::exchange(aStep.mEntry.mEarlyRequests, {})) {
    ProcessForwardRequest(aStep, std::move(early.mRequest), early.mReceivedAt);
  }
}

bool
DropEarlyRequest(Entry& aEntry, HttpCallId aCall)
{
  return std::erase_if(aEntry.mEarlyRequests, [&](const EarlyRequest& aEarly) {
           return aEarly.mRequest.mCall == aCall;
         }) > 0;
}

void
TickEarlyRequests(EntryStep& aStep)
{
  std::deque<EarlyRequest>& held = aStep.mEntry.mEarlyRequests;
  const bool stopping = RefusesNewWork(aStep.mEntry, aStep.mNow);
  for (size_t at = 0; at < held.size();) {
    if (!stopping && aStep.mNow < held[at].mRefuseAt) {
      ++at;
      continue;
    }
    EarlyRequest early = std::move(held[at]);
    held.erase(held.begin() + static_cast<ptrdiff_t>(at));
    ProcessForwardRequest(aStep, std::move(early.mRequest), early.mReceivedAt);
  }
}

MonoTime
EarlyRequestsWakeup(const Entry& aEntry)
{
  MonoTime next = kNever;
  for (const EarlyRequest& early : aEntry.mEarlyRequests) {
    next = std::min(next, early.mRefuseAt);
  }
  return next;
}

} // namespace caraway
