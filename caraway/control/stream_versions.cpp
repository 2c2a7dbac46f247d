// The origins of streams at control: every replica keeps the records that
// entries send; the leader knows which software versions streams may have begun
// at, and drops those that no stream can go on at any more.

#include <algorithm>

#include "caraway/config/stream_versions.h"
#include "caraway/control/step.h"

namespace caraway {

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& /*aFrom*/,
              const StreamsBegun& aMessage)
{
  for (const BegunStream& begun : aMessage.mStreams) {
    if (begun.mOrigin < aMessage.mOrigins.size()) {
      NoteOrigin(aStep.mControl.mStreamOrigins,
                 aStep.mNow,
                 begun.mStream,
                 aMessage.mOrigins[begun.mOrigin]);
    }
  }
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const OriginQuery& aMessage)
{
  OriginReply reply;
  reply.mRequest = aMessage.mRequest;
  reply.mLeader = aStep.mControl.mLeadership.mStarted && MayServe(aStep);
  const ConfigView& view = aStep.mControl.mState.mConfig.mView;
  auto versions = view.mVersions.find(aMessage.mService);
  if (auto origin = OriginOf(aStep.mControl.mStreamOrigins, aMessage.mStream)) {
    reply.mState = OriginState::eKnown;
    reply.mOrigin = *std::move(origin);
  } else if (reply.mLeader && versions != view.mVersions.end() &&
             !NeedsStreamRecords(view, aMessage.mService)) {
    reply.mState = OriginState::eOneVersion;
    reply.mOrigin = { aMessage.mService, *versions->second.begin() };
  }
  Send(aStep, aFrom, std::move(reply));
}

void
ForgetUnusedVersions(ControlStep& aStep)
{
  const ConfigView& view = aStep.mControl.mState.mConfig.mView;
  // A stream may last that long, its caller's attempts included.
  const Duration lifetime = std::max(kStreamMemory, LongestStream(view));
  auto& unusedSince = aStep.mControl.mLeadership.mVersionUnusedSince;
  ForgetVersions forget;
  for (const auto& [service, versions] : view.mVersions) {
    for (const std::string& version : versions) {
      // The last version stays: it is all that is known of the service.
      if (versions.size() < 2 || HasTargetOf(view, service, version)) {
        unusedSince.erase({ service, version });
        continue;
      }
      MonoTime& since =
        unusedSince.try_emplace({ service, version }, aStep.mNow).first->second;
      if (aStep.mNow - since > lifetime) {
        forget.mVersions.push_back({ service, version });
        since = aStep.mNow; // proposed again after as long a time
      }
    }
  }
  std::erase_if(unusedSince, [&](const auto& aEntry) {
    auto versions = view.mVersions.find(aEntry.first.first);
    return versions == view.mVersions.end() ||
           !versions->second.contains(aEntry.first.second);
  });
  if (!forget.mVersions.empty()) {
    for (const ForgetVersion& version : forget.mVersions) {
      Log(aStep,
          "forget_version",
          version.mVersion,
          "no target of " + version.mService.mValue + " has had it for long");
    }
    (void)Propose(aStep, std::move(forget), {});
  }
}

} // namespace caraway
