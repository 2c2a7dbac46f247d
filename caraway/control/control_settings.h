#pragma once
// Settings of the control role. The daemon fills them from flags and
// environment.

#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/consensus/raft.h"

namespace caraway {

struct ControlSettings
{
  ReplicaId mReplica;               // this replica's id, never reused
  PeerAddress mAddress;             // advertised peer address
  ReplicaSet mInitialReplicas;      // only read when the data folder is empty
  std::string mOperatorTokenDigest; // hex SHA-256 of the operators' token
  uint64_t mSeed = 1;               // elections
  std::string mKeySeed; // 32 bytes from the system's random source, drawn at
                        // every start; keys are derived from it, so it is
                        // secret; empty allows no new keys
  RaftSettings mRaft;
  Duration mConfigLease = Seconds(3);
  Duration mRemovalGrace = Seconds(2); // after a lease ran out
  Duration mGrantLease = Seconds(2);
  Duration mResultRetention = Seconds(30 * 24 * 3600);
  Duration mClaimRetention = Seconds(24 * 3600);
  // A group that changes its own replicas (discovery.h). Without seeds,
  // operators change it.
  InstanceId mInstance;
  ZoneId mZone;
  std::vector<PeerAddress> mSeeds; // entries
  bool mFirstStart = false;        // of the whole system, with an empty disk
  size_t mWantedVoters = 3;
  // Entries go on admitting their even share of each rate when they are cut
  // off, so the grantor leaves that share to them.
  bool mEntriesAdmitWhenCutOff = false;
  // A target whose heartbeats stay away for so long is removed.
  Duration mTargetSilence = Seconds(5);
};

} // namespace caraway
