#pragma once
// A change of the configuration: the unit of replication and of distribution to
// holders. Each change has a revision of its own.

#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "caraway/config/api_key.h"
#include "caraway/config/contract.h"
#include "caraway/config/input_block.h"
#include "caraway/config/member.h"
#include "caraway/config/rollout.h"
#include "caraway/config/route.h"
#include "caraway/config/serving_plan.h"
#include "caraway/config/target.h"

namespace caraway {

struct SetContract
{
  Contract mContract;
};

// Also withdraws every key of the workspace.
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

// Creates or replaces a member. The epoch is assigned when the registration is
// applied.
struct SetMember
{
  Member mMember;
};

struct RemoveMember
{
  InstanceId mInstance;
  Epoch mEpoch; // removed only if this epoch is still the current one
};

// Replaces the serving plan, and the contracts and keys derived from it.
struct SetPlan
{
  ServingPlan mPlan;
};

// Creates or replaces the record of a target.
struct SetTarget
{
  Target mTarget;
};

// Removes the record of a target.
struct RemoveTarget
{
  TargetId mTarget;
  int64_t mStartedAt = 0; // removed only if this start is the one recorded
};

// Creates or replaces a block.
struct SetInputBlock
{
  InputBlock mBlock;
};

struct RemoveInputBlock
{
  InputBlockId mBlock;
};

// A software version that streams of the service may have begun at. Targets add
// theirs by their records; this change adds one that no target has any more.
struct RememberVersion
{
  ServiceId mService;
  std::string mVersion;
};

// No stream of the service that began at the version can go on any more.
struct ForgetVersion
{
  ServiceId mService;
  std::string mVersion;
};

// Creates or replaces the roll-out of a service.
struct SetRollout
{
  Rollout mRollout;
};

using ConfigChangeVariant = std::variant<SetContract,
                                         WithdrawContract,
                                         CreateKey,
                                         WithdrawKey,
                                         SetRoute,
                                         RemoveRoute,
                                         SetZoneService,
                                         SetTargetService,
                                         SetMember,
                                         RemoveMember,
                                         SetPlan,
                                         SetTarget,
                                         RemoveTarget,
                                         SetInputBlock,
                                         RemoveInputBlock,
                                         RememberVersion,
                                         ForgetVersion,
                                         SetRollout>;

// Its special members are compiled in change.cpp only: each file that
// moves or drops one would compile them for all of its types.
struct ConfigChange : ConfigChangeVariant
{
  ConfigChange();
  template<class T>
  requires(!std::is_base_of_v<ConfigChangeVariant, std::remove_cvref_t<T>>)
    // NOLINTNEXTLINE(bugprone-forwarding-reference-overload): it is constrained
    ConfigChange(T&& aOne)
    : ConfigChangeVariant(std::in_place_type<std::remove_cvref_t<T>>,
                          std::forward<T>(aOne))
  {
  }
  ConfigChange(const ConfigChange& aOther);
  ConfigChange(ConfigChange&& aOther) noexcept;
  ConfigChange& operator=(const ConfigChange& aOther);
  ConfigChange& operator=(ConfigChange&& aOther) noexcept;
  ~ConfigChange();
};

// A change and its revision.
struct RevisedChange
{
  Revision mRevision;
  ConfigChange mChange;
};

} // namespace caraway
