#pragma once
// Messages by which processes that know only seed addresses discover the
// control replicas, and replicas discover and join their replication group.

#include <vector>

#include "caraway/base/ids.h"

namespace caraway {

// Control replica -> entries, every half second.
struct ReplicaHello
{
  ReplicaId mReplica;
  InstanceId mInstance;
  ZoneId mZone;
  bool mInGroup = false;    // it has a log or snapshot of a group
  bool mFirstStart = false; // first start of the whole system, on an empty disk
};

// Any process -> entry: asks for the addresses of the control replicas.
struct ControlQuery
{};

// Entry -> sender of a ControlQuery or ReplicaHello.
struct ControlMap
{
  std::vector<PeerAddress> mReplicas; // members of the group
  std::vector<PeerAddress> mEntries;
};

// Entry -> replica at the first start of the system: create the group.
struct FoundGroup
{};

// Replica outside the group -> replicas in the group; the leader adds it.
struct JoinGroup
{
  ReplicaId mReplica;
  InstanceId mInstance;
  ZoneId mZone;
};

// Replica that stops -> leader, until it is answered.
struct LeaveGroup
{
  ReplicaId mReplica;
};

// Leader -> replica that stops: the group no longer counts on its vote, or
// nothing better is to be had by waiting.
struct MayLeave
{
  ReplicaId mReplica;
  bool mKeepsVote = false; // no successor is there; it counts until it is back
};

// Entry -> leader, twice a second: targets that sent a heartbeat recently.
struct TargetsHeard
{
  std::vector<TargetId> mTargets;
};

} // namespace caraway
