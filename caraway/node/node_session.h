#pragma once
// State of the node's session with control: registration, lease and
// configuration.

#include <vector>

#include "caraway/config/config_view.h"
#include "caraway/node/node_io.h"

namespace caraway {

struct NodeSession
{
  uint64_t mIncarnation = 0;
  Epoch mEpoch;            // none before the first registration
  bool mLive = false;      // registered, and not known to have ended
  MonoTime mLeaseEnd{ 0 }; // configuration lease, 0: none
  size_t mLeaderIndex = 0; // replica addressed while mLeader is empty
  PeerAddress mLeader;     // leader named by NotLeader, empty: unknown
  MonoTime mHeardAt{ 0 };  // last RenewReply
  // Time of the oldest Register or Renew without an answer, 0: none.
  MonoTime mUnansweredSince{ 0 };
  MonoTime mRegisterAt{ 0 };   // next Register
  MonoTime mRenewAt{ 0 };      // next Renew
  MonoTime mRedirectedAt{ 0 }; // last redirect, to limit the rate of loops
  ConfigView mView;
  size_t mConfigIndex = 0; // replica that is polled for the configuration
  bool mFetching = false;  // a ConfigFetch is outstanding
  // Next fetch. While one is outstanding, the time to ask the next replica.
  MonoTime mFetchTimeout{ 0 };
  Revision mSnapshotRevision; // snapshot being received, none: no snapshot
  std::vector<ConfigChange> mSnapshot; // parts received so far
};

} // namespace caraway
