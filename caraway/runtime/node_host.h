#pragma once
// Runs the node role on the event loop and gives it peers, HTTP and calls to
// its target.

#include "caraway/node/node.h"
#include "caraway/runtime/dialect.h"
#include "caraway/runtime/http_server.h"
#include "caraway/runtime/peer_transport.h"
#include "caraway/runtime/role_pump.h"
#include "caraway/runtime/sent_exit.h"
#include "caraway/runtime/target_client.h"

namespace caraway {

class NodeHost
{
public:
  NodeHost(Loop& aLoop,
           const NodeSettings& aSettings,
           const PeerSettings& aPeer,
           const HttpServerSettings& aHttp,
           uint64_t aIncarnation,
           TargetDialect aDialect = {});

  // Binds the listeners and starts the role.
  absl::Status Start();

  const HttpServer& Http() const { return mHttp; }

private:
  void CarryOut(NodeAction& aAction);

  Loop& mLoop;
  NodeSettings mSettings;
  uint64_t mIncarnation;
  PeerTransport mPeers;
  HttpServer mHttp; // announcements of the target, health, metrics
  TargetClient mTarget;
  TargetDialect mDialect;
  std::unique_ptr<Node> mNode;
  RolePump<NodeEvent, NodeAction> mPump;
  SentExit mExit;
};

} // namespace caraway
