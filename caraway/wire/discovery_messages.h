#pragma once
// Messages by which processes that know only seed addresses find the control
// replicas, and replicas find their group.

#include <vector>

#include "caraway/base/ids.h"

namespace caraway {

// Control replica -> entries, every half second.
struct ReplicaHello
{
  ReplicaId mReplica;
  InstanceId mInstance;
  ZoneId mZone;
  bool mInGroup = false;    // it holds a log or snapshot of a group
  bool mFirstStart = false; // of the whole system, with an empty disk
};

// Any process -> entry: where are the control replicas?
struct ControlQuery
{};

// Entry -> asker or replica.
struct ControlMap
{
  std::vector<PeerAddress> mReplicas; // in the group
  std::vector<PeerAddress> mEntries;
};

// Entry -> replica at the first start of the system: begin a group.
struct FoundGroup
{};

// Replica outside the group -> replicas of the group; the leader adds it.
struct JoinGroup
{
  ReplicaId mReplica;
  InstanceId mInstance;
  ZoneId mZone;
};

// Entry -> leader, twice a second: targets whose heartbeats came lately.
struct TargetsHeard
{
  std::vector<TargetId> mTargets;
};

} // namespace caraway
