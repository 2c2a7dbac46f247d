#pragma once
// The identifiers of the system. All are strong types (see strong.h).

#include "caraway/base/strong.h"

namespace caraway {

using WorkspaceId = StringId<struct WorkspaceTag>; // customer, "lindholt"
using KeyId = StringId<struct KeyTag>;             // public part of a key
using RegionId = StringId<struct RegionTag>;       // "region-1"
using ZoneId = StringId<struct ZoneTag>;         // availability zone, "zone-a"
using TargetId = StringId<struct TargetTag>;     // back end, "target-07"
using InstanceId = StringId<struct InstanceTag>; // one process, "entry-1"
using ModelId = StringId<struct ModelTag>;       // "model-1"
using ServiceId = StringId<struct ServiceTag>;   // plain service, "lager-app"
using RouteId = StringId<struct RouteTag>;       // operator's name of a route
using PeerAddress = StringId<struct PeerTag>;    // advertised "ip:port"
using OperationId = StringId<struct OperationTag>; // operator request id
using IdempotencyKey = StringId<struct IdempotencyTag>;
using FileId = StringId<struct FileTag>;       // "file-..."
using JobId = StringId<struct JobTag>;         // "batch_..."
using RequestId = StringId<struct RequestTag>; // unique per caller request

// Incarnation of a member's session. Assigned by control at registration as the
// log index of the Register command, so it is unique and increases.
using Epoch = NumberId<struct EpochTag>;
// Position in the one order of configuration changes.
using Revision = NumberId<struct RevisionTag>;
// Log index of the lease that a holder acts under. A larger token is newer.
using FencingToken = NumberId<struct FencingTag>;
// Replication group of the ledger. Group 0 is the only one today.
using GroupId = NumberId<struct GroupTag>;
// Log position, first entry is 1.
using LogIndex = NumberId<struct LogIndexTag>;
// Raft term, 0 before the first election.
using Term = NumberId<struct TermTag>;
// Raft replica; a replica that lost its disk comes back under a new id.
using ReplicaId = NumberId<struct ReplicaTag>;

} // namespace caraway
