// Sends the announcements of a stand-in.

#include "standins/announcer.h"

namespace caraway {

Announcer::Announcer(Loop& aLoop,
                     const std::string& aNode,
                     const std::string& aBody)
  : mLoop(aLoop)
  , mUrl("http://" + aNode + "/announce")
  , mBody(aBody)
  , mTimer(aLoop, [this] { Announce(); })
{
}

void
Announcer::Start()
{
  Announce();
}

void
Announcer::Announce()
{
  FetchRequest request;
  request.mMethod = "POST";
  request.mUrl = mUrl;
  request.mHeaders = { { "Content-Type", "application/json" } };
  request.mBody = mBody;
  request.mTimeout = Seconds(1);
  // A failure needs no retry: a node that is not up yet gets the next one.
  Fetch(mLoop, request, [](const absl::StatusOr<FetchAnswer>&) {});
  mTimer.ArmAt(mLoop.Now() + Seconds(1));
}

} // namespace caraway
