// The node's local HTTP server: announcements of the target, health checks and
// metrics.

#include "caraway/node/node_internal.h"
#include "caraway/node/target_json.h"

#include "caraway/base/absl_view.h"

namespace caraway {

namespace {

void
Respond(const HttpRequest& aRequest,
        int aStatus,
        std::string aBody,
        NodeActions& aOut,
        const char* aType = "application/json")
{
  HttpResponse response;
  response.mCall = aRequest.mCall;
  response.mStatus = aStatus;
  response.mHeaders = { { "Content-Type", aType } };
  response.mBody = std::move(aBody);
  aOut.emplace_back(std::move(response));
}

void
RespondState(const Node& aNode,
             MonoTime aNow,
             const HttpRequest& aRequest,
             int aStatus,
             NodeActions& aOut)
{
  Respond(
    aRequest,
    aStatus,
    AnnounceReplyBody(aNode.mSettings.mInstance.mValue, StateName(aNode, aNow)),
    aOut);
}

void
OnAnnounce(Node& aNode,
           MonoTime aNow,
           const HttpRequest& aRequest,
           NodeActions& aOut)
{
  const auto announcement = ParseAnnouncement(aRequest.mBody);
  if (!announcement.ok()) {
    Respond(aRequest,
            400,
            ErrorBody(ErrorKindName(KindOf(announcement.status())),
                      StdView(announcement.status().message())),
            aOut);
    return;
  }
  OnAnnouncement(aNode, aNow, *announcement, aOut);
  RespondState(aNode, aNow, aRequest, 200, aOut);
}

} // namespace

void
OnHttp(Node& aNode,
       MonoTime aNow,
       const HttpRequest& aRequest,
       NodeActions& aOut)
{
  const std::string& path = aRequest.mPath;
  const bool post = aRequest.mMethod == "POST";
  const bool get = aRequest.mMethod == "GET";
  if (post && path == "/announce") {
    OnAnnounce(aNode, aNow, aRequest, aOut);
  } else if (post && path == "/leave") {
    OnTargetLeave(aNode, aNow, aOut);
    RespondState(aNode, aNow, aRequest, 200, aOut);
  } else if (get && path == "/healthz") {
    RespondState(aNode, aNow, aRequest, 200, aOut);
  } else if (get && path == "/readyz") {
    const bool ready = RefusalReason(aNode, aNow) == ErrorKind::eNone;
    RespondState(aNode, aNow, aRequest, ready ? 200 : 503, aOut);
  } else if (get && path == "/metrics") {
    Respond(
      aRequest, 200, MetricsText(aNode), aOut, "text/plain; version=0.0.4");
  } else {
    Respond(aRequest,
            404,
            ErrorBody("not_found",
                      "no such path; use POST /announce, POST /leave, "
                      "GET /healthz, GET /readyz or GET /metrics"),
            aOut);
  }
}

} // namespace caraway
