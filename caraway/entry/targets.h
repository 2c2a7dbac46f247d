#pragma once
// The targets that this entry may use, and what it knows of their load.

#include "caraway/entry/entry_step.h"

namespace caraway {

// The node's member record, if it is a live node.
const Member*
NodeMember(const Entry& aEntry, const InstanceId& aNode);

// Candidates for a model (mModel set) or a service.
const std::vector<RouteCandidate>&
CandidatesFor(EntryStep& aStep, const TargetCall& aCall);

TargetState&
StateOf(EntryStep& aStep, const InstanceId& aNode, Epoch aEpoch);

// A load figure that came with an answer, a refusal or a report.
void
RecordNodeLoad(EntryStep& aStep,
               const InstanceId& aNode,
               Epoch aEpoch,
               const LoadFigures& aFigures);

// Members, zones or targets may have changed.
void
TopologyChanged(EntryStep& aStep);

// Asks the watched nodes for load reports again.
void
TickWatch(EntryStep& aStep);

// The connection to a node was lost.
void
TargetPeerLost(EntryStep& aStep, const PeerAddress& aPeer);

} // namespace caraway
