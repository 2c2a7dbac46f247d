#pragma once
// The node's session with control: registration, lease and configuration.

#include <vector>

#include "caraway/config/config_view.h"
#include "caraway/node/node_io.h"

namespace caraway {

struct NodeSession
{
  uint64_t mIncarnation = 0;
  Epoch mEpoch;       // none until registered
  bool mLive = false; // the epoch is current as far as is known
  MonoTime mLeaseEnd{ 0 };
  size_t mLeaderIndex = 0; // of mControl, when mLeader is empty
  PeerAddress mLeader;     // as told by NotLeader
  MonoTime mHeardAt{ 0 };  // last answer of the leader
  MonoTime mUnansweredSince{
    0
  }; // first Register or Renew not yet answered, 0 = none
  MonoTime mRegisterAt{ 0 };
  MonoTime mRenewAt{ 0 };
  MonoTime mRedirectedAt{ 0 }; // last NotLeader, bounds redirect loops
  ConfigView mView;
  size_t mConfigIndex = 0;     // replica that serves the configuration
  bool mFetching = false;      // a ConfigFetch waits for its answer
  MonoTime mFetchTimeout{ 0 }; // next fetch; while fetching, from another
  Revision mSnapshotRevision;  // none when not in a snapshot
  std::vector<ConfigChange> mSnapshot;
};

} // namespace caraway
