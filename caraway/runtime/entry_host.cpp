// The entry role on the event loop.

#include "caraway/runtime/entry_host.h"

#include "caraway/base/visitor.h"
#include "caraway/runtime/logging.h"

namespace caraway {

EntryHost::EntryHost(Loop& aLoop,
                     const EntrySettings& aSettings,
                     const PeerSettings& aPeer,
                     const HttpServerSettings& aHttp,
                     uint64_t aIncarnation)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mPeers(aLoop, aPeer)
  , mHttp(aLoop, aHttp)
  , mPump(aLoop,
          { [this](MonoTime aNow,
                   const EntryEvent& aEvent,
                   std::vector<EntryAction>& aOut) {
             StepEntry(*mEntry, aNow, aEvent, aOut);
           },
            [this](EntryAction& aAction) { CarryOut(aAction); },
            [this] { return NextWakeup(*mEntry); },
            nullptr })
{
}

absl::Status
EntryHost::Start()
{
  if (auto status = mPeers.Listen(); !status.ok()) {
    return status;
  }
  if (auto status = mHttp.Listen(); !status.ok()) {
    return status;
  }
  mSettings.mAddress = mPeers.Address();
  mEntry =
    std::make_unique<Entry>(MakeEntry(mSettings, mIncarnation, mLoop.Now()));
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
  mLoop.mOnStop.connect([this] { mPump.Post(StopRequested{}); });
  mLoop.mOnReload.connect([this] {
    mPeers.ReloadTls().IgnoreError();
    mHttp.ReloadTls().IgnoreError();
  });
  WriteLog(
    LogLevel::eInfo,
    "listening",
    { { "peer", mPeers.Address().mValue }, { "http", mHttp.Address() } });
  mPump.Post(Wakeup{});
  return absl::OkStatus();
}

void
EntryHost::CarryOut(EntryAction& aAction)
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
      [this](const HttpResponse& aResponse) { mHttp.Respond(aResponse); },
      [this](const HttpBegin& aBegin) { mHttp.Begin(aBegin); },
      [this](const HttpChunk& aChunk) { mHttp.Chunk(aChunk); },
      [this](const HttpEnd& aEnd) { mHttp.End(aEnd); },
      [this](const HttpAbort& aAbort) { mHttp.Abort(aAbort); },
      [](const DecisionLog& aDecision) { WriteLog(aDecision); },
      [this](const Stopped&) { mLoop.Exit(); },
    },
    aAction);
}

} // namespace caraway
