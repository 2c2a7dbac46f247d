#pragma once
// The nodes that this entry dispatches to, and the load that it knows of them.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Returns the member record of the node, or nullptr if no such node is
// registered.
const Member*
NodeMember(const Entry& aEntry, const InstanceId& aNode);

// Returns the candidate nodes for the call's model, or for its service if no
// model is set.
const std::vector<RouteCandidate>&
CandidatesFor(EntryStep& aStep, const TargetCall& aCall);

// Returns the state of the node, reset if aEpoch is newer.
TargetState&
StateOf(EntryStep& aStep, const InstanceId& aNode, Epoch aEpoch);

// Records the load that an answer, a refusal or a load report carried. Figures
// of another epoch are ignored.
void
RecordNodeLoad(EntryStep& aStep,
               const InstanceId& aNode,
               Epoch aEpoch,
               const LoadFigures& aFigures);

// Updates derived state after members, zones or targets may have changed.
void
TopologyChanged(EntryStep& aStep);

// Renews the subscriptions to load reports and evicts unused groups.
void
TickWatch(EntryStep& aStep);

// Records a failure of the node whose connection was lost.
void
TargetPeerLost(EntryStep& aStep, const PeerAddress& aPeer);

} // namespace caraway
