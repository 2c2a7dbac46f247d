#pragma once
// Encoding of replica sets, the payload of eMembership entries.

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "caraway/consensus/raft.h"

namespace caraway {

std::string
EncodeReplicaSet(const ReplicaSet& aReplicas);

absl::StatusOr<ReplicaSet>
DecodeReplicaSet(std::string_view aBytes);

} // namespace caraway
