#pragma once
// A copy of the configuration at one revision. Every holder keeps one, and
// control's durable state contains one.

#include <map>
#include <memory>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "caraway/config/change.h"

namespace caraway {

// The changes that a holder receives.
enum class ConfigScope : uint8_t
{
  eAll,      // entries and control
  eNodeOnly, // zones, targets, members, routes; keys only as withdrawals
};

struct ConfigView
{
  Revision mRevision; // last applied; never decreases
  absl::flat_hash_map<WorkspaceId, Contract> mContracts;
  absl::flat_hash_map<KeyId, ApiKey> mKeys;
  std::map<RouteId, Route> mRoutes;
  std::map<ZoneId, bool> mZoneInService;     // absent means in service
  std::map<TargetId, bool> mTargetInService; // absent means in service
  std::map<InstanceId, Member> mMembers;
  std::map<TargetId, Target> mTargets;
  // Software versions at which streams of each service may have begun: those of
  // its targets, and of former targets until ForgetVersion.
  std::map<ServiceId, std::set<std::string>> mVersions;
  std::shared_ptr<const ServingPlan> mPlan; // null until the first one is set
  // The last roll-out of each service, also after its end.
  std::map<ServiceId, Rollout> mRollouts;
  std::map<InputBlockId, InputBlock> mInputBlocks; // at most kMaxInputBlocks
  // Keys of mPlan. Contracts of its workspaces are in mContracts.
  std::map<KeyDigest, WorkspaceId> mPlanKeys;
  // Importance of those workspaces of mPlan that override their routes'.
  std::map<WorkspaceId, uint32_t> mPlanRanks;
  // Revision of each object's last change, for the optimistic concurrency check
  // of operator writes. Keyed "contract/lindholt", "key/ck_...", "route/...",
  // "zone/...", "target/...".
  std::map<std::string, Revision> mObjectRevisions;
};

// Applies one change. A revision at or below the view's own is ignored, so
// duplicate and late deltas are harmless and the view never reverts.
void
ApplyChange(ConfigView& aView, const RevisedChange& aChange);

// False if the key or its contract is withdrawn or doesn't exist.
bool
IsKeyValid(const ConfigView& aView, const KeyId& aKey);

bool
ZoneInService(const ConfigView& aView, const ZoneId& aZone);

bool
TargetInService(const ConfigView& aView, const TargetId& aTarget);

// True if a target of the service has the software version.
bool
HasTargetOf(const ConfigView& aView,
            const ServiceId& aService,
            const std::string& aVersion);

// True if streams of the service may have begun at different software versions.
bool
HasSeveralVersions(const ConfigView& aView, const ServiceId& aService);

// The last roll-out of the service, nullptr if there was none.
const Rollout*
FindRollout(const ConfigView& aView, const ServiceId& aService);

// The block in force that covers the request, nullptr if there is none.
const InputBlock*
FindInputBlock(const ConfigView& aView,
               const WorkspaceId& aWorkspace,
               const InputParts& aParts);

// The object that a change concerns, as a key of mObjectRevisions.
std::string
ObjectName(const ConfigChange& aChange);

// True if holders of this scope receive the change.
bool
InScope(const ConfigChange& aChange, ConfigScope aScope);

// Changes that rebuild the whole view, all at its revision, in the order that
// ApplySnapshot needs.
std::vector<ConfigChange>
SnapshotChanges(const ConfigView& aView, ConfigScope aScope);

// Replaces the view with the given changes at aRevision. If aRevision is older
// than the view's, fails with eStaleEpoch and changes nothing.
absl::Status
ApplySnapshot(ConfigView& aView,
              Revision aRevision,
              const std::vector<ConfigChange>& aChanges);

} // namespace caraway
