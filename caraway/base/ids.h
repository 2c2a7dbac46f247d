#pragma once
// The identifiers of the system, as strong types (see strong.h).

#include "caraway/base/strong.h"

namespace caraway {

using WorkspaceId = StringId<struct WorkspaceTag>; // tenant, "lindholt"
using KeyId = StringId<struct KeyTag>;             // public part of a key
using RegionId = StringId<struct RegionTag>;       // "region-1"
using ZoneId = StringId<struct ZoneTag>;         // availability zone, "zone-a"
using TargetId = StringId<struct TargetTag>;     // "target-07"
using InstanceId = StringId<struct InstanceTag>; // one process, "entry-1"
using ModelId = StringId<struct ModelTag>;       // "model-1"
using ServiceId = StringId<struct ServiceTag>;   // plain service, "lager-app"
using RouteId = StringId<struct RouteTag>;       // chosen by the operator
using PeerAddress = StringId<struct PeerTag>;    // advertised "ip:port"
using OperationId = StringId<struct OperationTag>; // operator request id
using IdempotencyKey = StringId<struct IdempotencyTag>;
using FileId = StringId<struct FileTag>;       // "file-..."
using JobId = StringId<struct JobTag>;         // "batch_..."
using RequestId = StringId<struct RequestTag>; // unique per caller request

// Identifies a member's session. Control assigns the log index of the Register
// command, so epochs are unique and increase.
using Epoch = NumberId<struct EpochTag>;
// Position in the total order of configuration changes.
using Revision = NumberId<struct RevisionTag>;
// Log index of the lease under which its holder acts. A larger token is newer.
using FencingToken = NumberId<struct FencingTag>;
// Replication group of the ledger. Group 0 is the only one today.
using GroupId = NumberId<struct GroupTag>;
// Position in the log. The first entry is 1.
using LogIndex = NumberId<struct LogIndexTag>;
// Raft term, 0 before the first election.
using Term = NumberId<struct TermTag>;
// Raft replica. A replica that lost its disk rejoins with a new id.
using ReplicaId = NumberId<struct ReplicaTag>;

} // namespace caraway
