#pragma once
// Internal: parses and validates what operators send.

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "caraway/config/contract.h"
#include "caraway/config/route.h"
#include "caraway/consensus/raft.h"

namespace caraway {

// Accepts 1 to 128 characters of [A-Za-z0-9._-]. aWhat names the value in the
// error.
absl::Status
CheckName(const std::string& aWhat, const std::string& aName);

// Parses an unsigned decimal integer. aWhat names it in the error.
absl::StatusOr<uint64_t>
ParseNumber(const std::string& aWhat, const std::string& aText);

absl::StatusOr<Contract>
ParseContract(const std::string& aWorkspace, const std::string& aBody);

absl::StatusOr<Route>
ParseRoute(const std::string& aId, const std::string& aBody);

// Returns the workspace that the new key is for.
absl::StatusOr<WorkspaceId>
ParseKeyRequest(const std::string& aBody);

enum class ReplicaAction : uint8_t
{
  eAdd, // as a learner
  ePromote,
  eRemove,
};

struct ReplicaRequest
{
  ReplicaAction mAction = ReplicaAction::eAdd;
  ReplicaId mId;
  std::string mAddress; // eAdd
};

absl::StatusOr<ReplicaRequest>
ParseReplicaRequest(const std::string& aBody);

struct RolloutRequest
{
  std::string mTo; // software version
  Duration mDuration;
};

absl::StatusOr<RolloutRequest>
ParseRolloutRequest(const std::string& aBody);

} // namespace caraway
