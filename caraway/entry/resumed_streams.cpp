// Finds the software version that began a resumed stream, and keeps the origins
// of this entry's own streams at the control replicas.

#include "caraway/entry/resumed_streams.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/config/stream_versions.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/direct_internal.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/session.h"

namespace caraway {

namespace {

// An election takes up to half a second, and without a leader nobody can say
// that a service has had one version only.
constexpr Duration kOriginTimeout = Millis(600);
constexpr Duration kAskAgain = Millis(100);
// After the leader has said that it does not know. Another replica may, since
// records are lost with a process that restarts.
constexpr Duration kOtherReplicasTimeout = Millis(50);
// Retry-After if nobody answers: by then there is usually a leader.
constexpr Duration kOriginRetry = Millis(300);
constexpr Duration kNoRetry = Micros(-1); // no Retry-After
// Streams that began earlier have ended, if their route lets them run no
// longer, and their callers have resumed them.
constexpr Duration kRecentStreams = Seconds(10);
// Between two messages of one entry, for each entry of the fleet. Bounds what
// each replica receives, whatever the number of entries.
constexpr Duration kTellIntervalPerEntry = Millis(2);
constexpr Duration kMinTellInterval = Millis(20);

void
LogOrigin(EntryStep& aStep,
          const CallerRequest& aRequest,
          const char* aChoice,
          const std::string& aReason)
{
  const DirectCall& direct = aRequest.mDirect;
  DecisionLog log;
  log.mEvent = "origin";
  log.mRequest = aRequest.mId;
  log.mWorkspace = aRequest.mWorkspace;
  log.mChoice = aChoice;
  log.mReason = aReason;
  log.mExtra = {
    { "stream", absl::StrCat(absl::Hex(direct.mResumes.mValue)) },
    { "service", direct.mService.mValue },
    { "version", direct.mOrigin ? direct.mOrigin->mVersion : "" },
    { "age_ms", absl::StrCat((aStep.mNow - aRequest.mReceivedAt).Millis()) },
  };
  aStep.mOut.emplace_back(std::move(log));
}

void
RefuseStream(EntryStep& aStep,
             CallerRequest& aRequest,
             const char* aReason,
             Duration aRetryAfter)
{
  LogOrigin(aStep, aRequest, "refused", aReason);
  CallerError error;
  error.mKind = DirectProvenNotRun(aRequest) ? ErrorKind::eUnavailable
                                             : ErrorKind::eTargetFailed;
  error.mMessage = aReason;
  error.mRemedy = "send the request again without the events received so far";
  error.mRetryAfter = aRetryAfter;
  error.mFractionalRetryAfter = true;
  FailRequest(aStep, aRequest, std::move(error));
}

bool
RouteHasService(const EntryStep& aStep,
                const DirectCall& aDirect,
                const ServiceId& aService)
{
  const PlanRoute* route =
    aStep.mEntry.mConfig.mPlan
      ? PlanRouteById(*aStep.mEntry.mConfig.mPlan, aDirect.mRoute)
      : nullptr;
  return route != nullptr && std::any_of(route->mShares.begin(),
                                         route->mShares.end(),
                                         [&](const RouteShare& aShare) {
                                           return aShare.mService == aService &&
                                                  aShare.mWeight > 0;
                                         });
}

void
UseOrigin(EntryStep& aStep,
          CallerRequest& aRequest,
          const StreamOrigin& aOrigin,
          const char* aSource)
{
  DirectCall& direct = aRequest.mDirect;
  if (!RouteHasService(aStep, direct, aOrigin.mService)) {
    RefuseStream(aStep,
                 aRequest,
                 "the service that began the stream no longer has the route",
                 kNoRetry);
    return;
  }
  direct.mOrigin = aOrigin;
  direct.mService = aOrigin.mService;
  aRequest.mTarget.mService = aOrigin.mService;
  LogOrigin(aStep, aRequest, "found", aSource);
  StartDirect(aStep, aRequest);
}

void
AskReplicas(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectCall& direct = aRequest.mDirect;
  direct.mOriginReplies = 0;
  for (const PeerAddress& replica : aStep.mEntry.mSettings.mControl) {
    Send(aStep,
         replica,
         OriginQuery{ aRequest.mId, direct.mResumes, direct.mService });
  }
  direct.mCheckAt = std::min(direct.mOriginBy, aStep.mNow + kAskAgain);
  ScheduleRequest(aStep, aRequest);
}

void
TellReplicas(ResumedStreams& aStreams,
             MonoTime aTellAt,
             StreamId aStream,
             const StreamOrigin& aOrigin)
{
  aStreams.mUntold.emplace_back(aStream, aOrigin);
  aStreams.mTellAt = std::min(aStreams.mTellAt, aTellAt);
}

// Tells replicas of the streams of the services that may still run or be
// resumed.
void
TellRecentStreams(EntryStep& aStep, const std::set<ServiceId>& aServices)
{
  ResumedStreams& streams = aStep.mEntry.mStreams;
  if (aServices.empty()) {
    return;
  }
  const Duration recent =
    std::max(kRecentStreams, LongestStream(aStep.mEntry.mConfig));
  for (const auto& [stream, record] : streams.mOrigins.mRecords) {
    const StreamOrigin& origin = streams.mOrigins.mOrigins[record.mOrigin];
    if (aServices.contains(origin.mService) && !record.mAmbiguous &&
        aStep.mNow - record.mNotedAt <= recent) {
      TellReplicas(streams, aStep.mNow, stream, origin);
    }
  }
}

// Takes up to kMaxBegunStreams records from the end of the untold ones.
StreamsBegun
NextMessage(ResumedStreams& aStreams)
{
  StreamsBegun message;
  while (!aStreams.mUntold.empty() &&
         message.mStreams.size() < kMaxBegunStreams) {
    const auto& [stream, origin] = aStreams.mUntold.back();
    auto known =
      std::find(message.mOrigins.begin(), message.mOrigins.end(), origin);
    if (known == message.mOrigins.end()) {
      known = message.mOrigins.insert(known, origin);
    }
    message.mStreams.push_back(
      { stream, static_cast<uint16_t>(known - message.mOrigins.begin()) });
    aStreams.mUntold.pop_back();
  }
  return message;
}

} // namespace

bool
NeedsOrigin(const CallerRequest& aRequest)
{
  const DirectCall& direct = aRequest.mDirect;
  return IsStream(direct) && direct.mResumeAfter && !direct.mOrigin;
}

void
FindOrigin(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectCall& direct = aRequest.mDirect;
  if (auto own = OriginOf(aStep.mEntry.mStreams.mOrigins, direct.mResumes)) {
    UseOrigin(aStep, aRequest, *own, "the stream began at this entry");
    return;
  }
  aRequest.mPhase = RequestPhase::eDirect;
  direct.mOriginBy =
    aStep.mNow +
    std::min(kOriginTimeout, (aRequest.mDeadline - aStep.mNow) / 3);
  AskReplicas(aStep, aRequest);
}

void
TickOriginSearch(EntryStep& aStep, CallerRequest& aRequest)
{
  const DirectCall& direct = aRequest.mDirect;
  if (aStep.mNow < direct.mOriginBy) {
    AskReplicas(aStep, aRequest);
  } else if (direct.mOriginUnknown) {
    RefuseStream(aStep,
                 aRequest,
                 "the software version that began the stream is not known",
                 kNoRetry);
  } else {
    RefuseStream(aStep,
                 aRequest,
                 "control cannot be asked which software version began the "
                 "stream",
                 kOriginRetry);
  }
}

void
HandleOriginReply(EntryStep& aStep, const OriginReply& aReply)
{
  Entry& entry = aStep.mEntry;
  auto serial = entry.mById.find(aReply.mRequest);
  if (serial == entry.mById.end()) {
    return;
  }
  CallerRequest& request = entry.mRequests.at(serial->second);
  DirectCall& direct = request.mDirect;
  if (request.mPhase != RequestPhase::eDirect || !NeedsOrigin(request)) {
    return;
  }
  if (aReply.mState == OriginState::eKnown) {
    UseOrigin(aStep, request, aReply.mOrigin, "recorded by control");
    return;
  }
  if (aReply.mState == OriginState::eOneVersion && aReply.mLeader) {
    UseOrigin(aStep, request, aReply.mOrigin, "the service has one version");
    return;
  }
  ++direct.mOriginReplies;
  if (aReply.mLeader && !direct.mOriginUnknown) {
    direct.mOriginUnknown = true;
    direct.mOriginBy =
      std::min(direct.mOriginBy, aStep.mNow + kOtherReplicasTimeout);
    direct.mCheckAt = std::min(direct.mCheckAt, direct.mOriginBy);
    ScheduleRequest(aStep, request);
  }
  if (direct.mOriginUnknown &&
      direct.mOriginReplies >= entry.mSettings.mControl.size()) {
    direct.mOriginBy = aStep.mNow;
    TickOriginSearch(aStep, request);
  }
}

void
RecordStreamEvent(EntryStep& aStep, CallerRequest& aRequest)
{
  DirectCall& direct = aRequest.mDirect;
  if (direct.mOriginRecorded) {
    return;
  }
  direct.mOriginRecorded = true;
  if (!direct.mOrigin) {
    direct.mOrigin =
      StreamOrigin{ direct.mService, LiveAttempt(aRequest).mTargetVersion };
  }
  const StreamId stream =
    direct.mResumeAfter ? direct.mResumes : StreamIdOf(aRequest.mId);
  if (stream.IsNone()) {
    return;
  }
  ResumedStreams& streams = aStep.mEntry.mStreams;
  NoteOrigin(streams.mOrigins, aStep.mNow, stream, *direct.mOrigin);
  if (streams.mTold.contains(direct.mOrigin->mService)) {
    const Duration interval = std::max(
      kMinTellInterval,
      kTellIntervalPerEntry * static_cast<int64_t>(EntriesKnown(aStep.mEntry)));
    TellReplicas(streams, aStep.mNow + interval, stream, *direct.mOrigin);
  }
}

bool
MayContinueAt(const DirectCall& aDirect, const Target& aTarget)
{
  return !aDirect.mOrigin || (aDirect.mOrigin->mService == aTarget.mService &&
                              aDirect.mOrigin->mVersion == aTarget.mVersion);
}

void
RefuseContinuation(EntryStep& aStep, CallerRequest& aRequest)
{
  RefuseStream(aStep,
               aRequest,
               "no target of the software version that began the stream takes "
               "requests",
               kNoRetry);
}

void
VersionsChanged(EntryStep& aStep)
{
  const ConfigView& view = aStep.mEntry.mConfig;
  ResumedStreams& streams = aStep.mEntry.mStreams;
  std::erase_if(streams.mTold, [&](const ServiceId& aService) {
    return !NeedsStreamRecords(view, aService);
  });
  std::set<ServiceId> added;
  for (const auto& [service, versions] : view.mVersions) {
    if (NeedsStreamRecords(view, service) &&
        streams.mTold.insert(service).second) {
      added.insert(service);
    }
  }
  TellRecentStreams(aStep, added);
}

void
TellStreamsAgain(EntryStep& aStep)
{
  TellRecentStreams(aStep, aStep.mEntry.mStreams.mTold);
}

void
TickResumedStreams(EntryStep& aStep)
{
  ResumedStreams& streams = aStep.mEntry.mStreams;
  if (aStep.mNow < streams.mTellAt) {
    return;
  }
  streams.mTellAt = kNever;
  while (!streams.mUntold.empty()) {
    const StreamsBegun message = NextMessage(streams);
    for (const PeerAddress& replica : aStep.mEntry.mSettings.mControl) {
      Send(aStep, replica, message);
    }
  }
}

} // namespace caraway
