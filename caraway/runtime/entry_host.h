#pragma once
// Runs the entry role on the event loop and gives it peers, HTTP listeners and
// calls to targets.

#include <memory>
#include <vector>

#include "caraway/entry/entry.h"
#include "caraway/runtime/dialect.h"
#include "caraway/runtime/http_server.h"
#include "caraway/runtime/peer_transport.h"
#include "caraway/runtime/role_pump.h"
#include "caraway/runtime/sent_exit.h"
#include "caraway/runtime/target_client.h"

namespace caraway {

class EntryHost
{
public:
  EntryHost(Loop& aLoop,
            const EntrySettings& aSettings,
            const PeerSettings& aPeer,
            const HttpServerSettings& aHttp,
            uint64_t aIncarnation);

  // With several listeners and the deployment's own dialect.
  EntryHost(Loop& aLoop,
            const EntrySettings& aSettings,
            const PeerSettings& aPeer,
            const std::vector<ListenerSettings>& aListeners,
            EntryDialect aDialect,
            uint64_t aIncarnation);

  // Binds the listeners and starts the role.
  absl::Status Start();

  // The listener for callers.
  const HttpServer& Http() const { return *mServers.front().mServer; }

private:
  struct Server
  {
    ListenerUse mUse = ListenerUse::eCallers;
    std::unique_ptr<HttpServer> mServer;
  };

  void CarryOut(EntryAction& aAction);
  void HandleRequest(ListenerUse aUse, const HttpRequest& aRequest);
  void HandleDecoded(DecodedRequest aDecoded);
  uint64_t ClosedConnections() const;
  HttpServer& ServerForCall(HttpCallId aCall);

  Loop& mLoop;
  EntrySettings mSettings;
  uint64_t mIncarnation;
  PeerTransport mPeers;
  std::vector<Server> mServers; // indexed by the upper bits of call ids
  EntryDialect mDialect;
  TargetClient mTargets;
  std::unique_ptr<Entry> mEntry;
  RolePump<EntryEvent, EntryAction> mPump;
  SentExit mExit;
};

} // namespace caraway
