#pragma once
// Settings of the control role. The daemon fills them from flags and
// environment.

#include <string>
#include <vector>

#include "caraway/admission/overrun.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/consensus/raft.h"
#include "caraway/rollout/exposure.h"

namespace caraway {

struct ControlSettings
{
  ReplicaId mReplica;               // this replica's id, never reused
  PeerAddress mAddress;             // advertised peer address
  ReplicaSet mInitialReplicas;      // used only if the data folder is empty
  std::string mOperatorTokenDigest; // hex SHA-256 of the operators' token
  uint64_t mSeed = 1;               // random seed for elections
  std::string mKeySeed; // secret from which API keys are derived: 32 bytes from
                        // the system's random source, drawn at every start;
                        // empty: no keys can be created
  RaftSettings mRaft;
  Duration mConfigLease = Seconds(3);
  Duration mRemovalGrace = Seconds(2); // from lease expiry to removal
  Duration mGrantLease = Seconds(2);
  Duration mResultRetention = Seconds(30 * 24 * 3600);
  Duration mClaimRetention = Seconds(24 * 3600);
  // For a group that manages its own replica set (discovery.h). Without seeds,
  // operators change the replica set.
  InstanceId mInstance;
  ZoneId mZone;
  std::vector<PeerAddress> mSeeds; // addresses of entries
  // The whole system starts for the first time, with an empty disk.
  bool mFirstStart = false;
  size_t mWantedVoters = 3;
  // Entries that are cut off from control keep admitting an even share of each
  // rate, so the grantor reserves that share for them.
  bool mEntriesAdmitWhenCutOff = false;
  RateTolerance mRateTolerance; // above the contracts
  ExposureLimit mExposure;      // of versions on trial
  // A target without a heartbeat for this long is removed.
  Duration mTargetSilence = Seconds(5);
};

} // namespace caraway
