#pragma once
// One change of configuration. Changes are the unit of replication, of
// distribution to holders, and of the revision order.

#include <variant>
#include <vector>

#include "caraway/config/api_key.h"
#include "caraway/config/contract.h"
#include "caraway/config/member.h"
#include "caraway/config/route.h"

namespace caraway {

struct SetContract
{
  Contract mContract;
};

// Also ends every key of the workspace.
struct WithdrawContract
{
  WorkspaceId mWorkspace;
};

struct CreateKey
{
  ApiKey mKey;
};

struct WithdrawKey
{
  KeyId mKey;
};

struct SetRoute
{
  Route mRoute;
};

struct RemoveRoute
{
  RouteId mRoute;
};

struct SetZoneService
{
  ZoneId mZone;
  bool mInService = true;
};

struct SetTargetService
{
  TargetId mTarget;
  bool mInService = true;
};

// Creates or replaces a member. The member's epoch is set when applied.
struct SetMember
{
  Member mMember;
};

struct RemoveMember
{
  InstanceId mInstance;
  Epoch mEpoch; // removed only if this epoch is still the current one
};

using ConfigChange = std::variant<SetContract,
                                  WithdrawContract,
                                  CreateKey,
                                  WithdrawKey,
                                  SetRoute,
                                  RemoveRoute,
                                  SetZoneService,
                                  SetTargetService,
                                  SetMember,
                                  RemoveMember>;

// A change with its place in the order.
struct RevisedChange
{
  Revision mRevision;
  ConfigChange mChange;
};

} // namespace caraway
