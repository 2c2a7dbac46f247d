// Connects the entry role to the event loop, its peers, HTTP listeners and
// targets.

#include "caraway/runtime/entry_host.h"

#include "caraway/base/stop_times.h"
#include "caraway/base/visitor.h"
#include "caraway/runtime/logging.h"
#include "caraway/runtime/process_metrics.h"
#include "caraway/runtime/target_events.h"

namespace caraway {

namespace {

// The upper bits of a call id are the index of the listener that received it.
constexpr int kListenerShift = 56;

} // namespace

EntryHost::EntryHost(Loop& aLoop,
                     const EntrySettings& aSettings,
                     const PeerSettings& aPeer,
                     const HttpServerSettings& aHttp,
                     uint64_t aIncarnation)
  : EntryHost(aLoop,
              aSettings,
              aPeer,
              { { ListenerUse::eCallers, aHttp } },
              {},
              aIncarnation)
{
}

EntryHost::EntryHost(Loop& aLoop,
                     const EntrySettings& aSettings,
                     const PeerSettings& aPeer,
                     const std::vector<ListenerSettings>& aListeners,
                     EntryDialect aDialect,
                     uint64_t aIncarnation)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mPeers(aLoop, aPeer)
  , mDialect(std::move(aDialect))
  , mTargets(aLoop, TargetClientSettings{})
  , mPump(aLoop,
          { [this](MonoTime aNow,
                   const EntryEvent& aEvent,
                   std::vector<EntryAction>& aOut) {
             StepEntry(*mEntry, aNow, aEvent, aOut);
           },
            [this](EntryAction& aAction) { CarryOut(aAction); },
            [this] { return NextWakeup(*mEntry); },
            nullptr })
  , mExit(aLoop, [this] {
    size_t unsent = 0;
    for (const Server& server : mServers) {
      unsent += server.mServer->UnsentBytes();
    }
    return unsent;
  })
{
  for (const ListenerSettings& listener : aListeners) {
    HttpServerSettings http = listener.mHttp;
    http.mFirstCallId = (uint64_t{ mServers.size() } << kListenerShift) + 1;
    mServers.push_back(
      { listener.mUse, std::make_unique<HttpServer>(aLoop, http) });
  }
}

absl::Status
EntryHost::Start()
{
  if (auto status = mPeers.Listen(); !status.ok()) {
    return status;
  }
  mSettings.mAddress = mPeers.Address();
  mEntry =
    std::make_unique<Entry>(MakeEntry(mSettings, mIncarnation, mLoop.Now()));
  std::vector<LogField> addresses{ { "peer", mPeers.Address().mValue } };
  for (Server& server : mServers) {
    if (auto status = server.mServer->Listen(); !status.ok()) {
      return status;
    }
    addresses.push_back({ "http", server.mServer->Address() });
    server.mServer->mOnRequest.connect(
      [this, use = server.mUse](const HttpRequest& aRequest) {
        HandleRequest(use, aRequest);
      });
    server.mServer->mOnClosed.connect(
      [this](const HttpClosed& aClosed) { mPump.Post(aClosed); });
  }
  mPeers.mOnMessage.connect(
    [this](const PeerAddress& aFrom, const Message& aMessage) {
      mPump.Post(MessageReceived{ aFrom, aMessage });
    });
  mPeers.mOnPeerLost.connect(
    [this](const PeerAddress& aPeer) { mPump.Post(PeerLost{ aPeer }); });
  mTargets.mOnSent.connect(
    [this](const TargetCallSent& aEvent) { mPump.Post(aEvent); });
  PostTargetEvents(mTargets, mDialect.mTargets, mPump);
  mLoop.mOnStop.connect([this] { mPump.Post(StopRequested{}); });
  mLoop.mOnReload.connect([this] {
    LogReload("peers", mPeers.ReloadTls());
    for (Server& server : mServers) {
      LogReload(server.mServer->Address(), server.mServer->ReloadTls());
    }
  });
  WriteLog(LogLevel::eInfo, "listening", addresses);
  mPump.Post(Wakeup{});
  return absl::OkStatus();
}

void
EntryHost::HandleRequest(ListenerUse aUse, const HttpRequest& aRequest)
{
  if (mDialect.mRead) {
    HandleDecoded(mDialect.mRead(aUse, aRequest));
  } else {
    mPump.Post(aRequest);
  }
}

void
EntryHost::HandleDecoded(DecodedRequest aDecoded)
{
  if (auto* answer = std::get_if<HttpResponse>(&aDecoded)) {
    WriteLog(LogLevel::eWarning,
             "refuse",
             { { "choice", std::to_string(answer->mStatus) },
               { "reason", answer->mBody } });
    ServerForCall(answer->mCall).Respond(*answer);
  } else {
    mPump.Post(std::move(std::get<EntryEvent>(aDecoded)));
  }
}

uint64_t
EntryHost::ClosedConnections() const
{
  uint64_t closed = 0;
  for (const Server& server : mServers) {
    closed += server.mServer->ClosedConnections();
  }
  return closed;
}

HttpServer&
EntryHost::ServerForCall(HttpCallId aCall)
{
  return *mServers.at(aCall.mValue >> kListenerShift).mServer;
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
      [this](HttpResponse& aResponse) {
        AddProcessMetrics(aResponse, mPeers.Counters());
        AddMetric(
          aResponse, kClosedConnectionsMetric, "counter", ClosedConnections());
        ServerForCall(aResponse.mCall).Respond(aResponse);
      },
      [this](const HttpBegin& aBegin) {
        ServerForCall(aBegin.mCall).Begin(aBegin);
      },
      [this](const HttpChunk& aChunk) {
        ServerForCall(aChunk.mCall).Chunk(aChunk);
      },
      [this](const HttpEnd& aEnd) { ServerForCall(aEnd.mCall).End(aEnd); },
      [this](const HttpAbort& aAbort) {
        ServerForCall(aAbort.mCall).Abort(aAbort);
      },
      [](const DecisionLog& aDecision) { WriteLog(aDecision); },
      [this](const Stopped&) {
        mExit.Begin(ExitDue(mEntry->mDrain.mSince, mSettings.mStopGrace));
      },
      [this](const OrderReply& aReply) {
        if (mDialect.mWriteReply) {
          ServerForCall(aReply.mCall).Respond(mDialect.mWriteReply(aReply));
        }
      },
      [this](const ReadJobBody& aRead) {
        if (mDialect.mReadJob) {
          HandleDecoded(mDialect.mReadJob(aRead.mRequest));
        }
      },
      [this](StartTargetCall& aCall) {
        TranslateAndStartCall(mTargets, mDialect.mTargets, aCall);
      },
      [this](const CancelTargetCall& aCancel) { mTargets.Cancel(aCancel); },
      [this](const CheckTarget& aCheck) { mTargets.Check(aCheck); },
    },
    aAction);
}

} // namespace caraway
