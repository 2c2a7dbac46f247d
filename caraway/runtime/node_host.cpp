// Connects the node role to the event loop, its peers, HTTP and its target.

#include "caraway/runtime/node_host.h"

#include "caraway/base/stop_times.h"
#include "caraway/base/visitor.h"
#include "caraway/runtime/logging.h"
#include "caraway/runtime/process_metrics.h"
#include "caraway/runtime/target_events.h"

namespace caraway {

NodeHost::NodeHost(Loop& aLoop,
                   const NodeSettings& aSettings,
                   const PeerSettings& aPeer,
                   const HttpServerSettings& aHttp,
                   uint64_t aIncarnation,
                   TargetDialect aDialect)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mPeers(aLoop, aPeer)
  , mHttp(aLoop, aHttp)
  , mTarget(aLoop, TargetClientSettings{})
  , mDialect(std::move(aDialect))
  , mPump(aLoop,
          { [this](MonoTime aNow,
                   const NodeEvent& aEvent,
                   std::vector<NodeAction>& aOut) {
             StepNode(*mNode, aNow, aEvent, aOut);
           },
            [this](NodeAction& aAction) { CarryOut(aAction); },
            [this] { return NextWakeup(*mNode); },
            nullptr })
  , mExit(aLoop, [this] { return mHttp.UnsentBytes(); })
{
}

absl::Status
NodeHost::Start()
{
  if (auto status = mPeers.Listen(); !status.ok()) {
    return status;
  }
  if (auto status = mHttp.Listen(); !status.ok()) {
    return status;
  }
  mSettings.mAddress = mPeers.Address();
  mNode =
    std::make_unique<Node>(MakeNode(mSettings, mIncarnation, mLoop.Now()));
  mPeers.mOnMessage.connect(
    [this](const PeerAddress& aFrom, const Message& aMessage) {
      mPump.Post(MessageReceived{ aFrom, aMessage });
    });
  mPeers.mOnPeerLost.connect(
    [this](const PeerAddress& aPeer) { mPump.Post(PeerLost{ aPeer }); });
  mHttp.mOnRequest.connect(
    [this](const HttpRequest& aRequest) { mPump.Post(aRequest); });
  mHttp.mOnClosed.connect(
    [this](const HttpClosed& aClosed) { mPump.Post(aClosed); });
  PostTargetEvents(mTarget, mDialect, mPump);
  mLoop.mOnStop.connect([this] { mPump.Post(StopRequested{}); });
  mLoop.mOnReload.connect([this] { LogReload("peers", mPeers.ReloadTls()); });
  WriteLog(
    LogLevel::eInfo,
    "listening",
    { { "peer", mPeers.Address().mValue }, { "http", mHttp.Address() } });
  mPump.Post(Wakeup{});
  return absl::OkStatus();
}

void
NodeHost::CarryOut(NodeAction& aAction)
{
  std::visit(
    Visitor{
      [this](const SendMessage& aSend) {
        if (aSend.mDatagram) {
          mPeers.SendDatagram(aSend.mTo, aSend.mMessage);
        } else {
          mPeers.Send(aSend.mTo, aSend.mMessage);
        }
      },
      [this](StartTargetCall& aCall) {
        TranslateAndStartCall(mTarget, mDialect, aCall);
      },
      [this](const CancelTargetCall& aCancel) { mTarget.Cancel(aCancel); },
      [this](const CheckTarget& aCheck) { mTarget.Check(aCheck); },
      [this](HttpResponse& aResponse) {
        AddProcessMetrics(aResponse, mPeers.Counters());
        AddMetric(aResponse,
                  kClosedConnectionsMetric,
                  "counter",
                  mHttp.ClosedConnections());
        mHttp.Respond(aResponse);
      },
      [](const DecisionLog& aDecision) { WriteLog(aDecision); },
      [this](const Stopped&) {
        mExit.Begin(ExitDue(mNode->mStopSince, mSettings.mStopGrace));
      },
    },
    aAction);
}

} // namespace caraway
