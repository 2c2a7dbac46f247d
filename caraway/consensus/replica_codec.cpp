// Encoding of replica sets.

#include "caraway/consensus/replica_codec.h"

#include "caraway/consensus/serialize_raft.h"
#include "caraway/wire/codec.h"

namespace caraway {

std::string
EncodeReplicaSet(const ReplicaSet& aReplicas)
{
  return EncodeWith(aReplicas);
}

absl::StatusOr<ReplicaSet>
DecodeReplicaSet(std::string_view aBytes)
{
  return DecodeWith<ReplicaSet>(aBytes);
}

} // namespace caraway
