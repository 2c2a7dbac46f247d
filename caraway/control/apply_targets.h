#pragma once
// Internal: reports of targets and what a serving plan changes for them,
// applied to the durable state.
//
// Anyone may report a target of any service at any address. Only a target whose
// service the serving plan lists gets a record in the configuration, where it
// replaces the one that started earlier at its address. The others are kept
// aside and get their record together with the plan that lists their service.
// Both orders of plan and report in the log lead to the same records.

#include "caraway/control/command.h"

namespace caraway {

// True if the serving plan lists the service.
bool
ListsService(const ControlState& aState, const ServiceId& aService);

// True if the target gets no record: the plan does not list its service, and it
// has no record from a plan that did.
bool
IsUnlisted(const ControlState& aState, const Target& aTarget);

// True if no plan has listed the service of a record. Such records come from
// states of a version that made one for every target; others replace them.
bool
IsStrayRecord(const ControlState& aState, const Target& aRecord);

// True if the report of this target would change the state now.
bool
ChangesTargets(const ControlState& aState, const Target& aTarget);

void
ApplyTargetSeen(ControlState& aState, const Target& aTarget);

// Of a target that said itself that it has ended.
void
ApplyTargetGone(ControlState& aState, const EndedTarget& aGone);

// Removes the record unless the target has started again. One that was draining
// counts as ended.
void
RemoveSilentTarget(ControlState& aState, const EndedTarget& aSilent);

void
RemoveUnlistedTarget(ControlState& aState, const UnlistedTargetStart& aSilent);

// Call it after the plan has taken the place of aFormer, which may be null.
void
ApplyPlanToTargets(ControlState& aState, const ServingPlan* aFormer);

} // namespace caraway
