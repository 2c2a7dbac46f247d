#pragma once
// Runs the entry role on the event loop.

#include "caraway/entry/entry.h"
#include "caraway/runtime/http_server.h"
#include "caraway/runtime/peer_transport.h"
#include "caraway/runtime/role_pump.h"

namespace caraway {

class EntryHost
{
public:
  EntryHost(Loop& aLoop,
            const EntrySettings& aSettings,
            const PeerSettings& aPeer,
            const HttpServerSettings& aHttp,
            uint64_t aIncarnation);

  // Binds the listeners and starts the role.
  absl::Status Start();

  const HttpServer& Http() const { return mHttp; }

private:
  void CarryOut(EntryAction& aAction);

  Loop& mLoop;
  EntrySettings mSettings;
  uint64_t mIncarnation;
  PeerTransport mPeers;
  HttpServer mHttp;
  std::unique_ptr<Entry> mEntry;
  RolePump<EntryEvent, EntryAction> mPump;
};

} // namespace caraway
