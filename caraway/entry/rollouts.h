#pragma once
// Roll-outs at the entry: which targets a request may go to in each phase, and
// the evidence that the leader judges by.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Takes over roll-outs that began or changed their phase.
void
RolloutsChanged(EntryStep& aStep);

// True if the roll-out of the target's service lets the request go there now.
bool
RolloutAccepts(const EntryStep& aStep,
               const DirectCall& aDirect,
               const Target& aTarget);

// Leaves the candidates that the roll-out prefers for the request's first slot
// request, and all others if there are none. aCandidates are accepted ones.
void
PreferByRollout(EntryStep& aStep,
                const DirectCall& aDirect,
                std::vector<PlacementCandidate>& aCandidates);

// Counts a call to the target.
void
RecordRolloutCall(EntryStep& aStep, const Target& aTarget);

// Counts the end of a call that may have run.
void
RecordRolloutAnswer(EntryStep& aStep,
                    const CallerRequest& aRequest,
                    const DirectAttempt& aAttempt,
                    bool aGood);

void
TickRollouts(EntryStep& aStep);

} // namespace caraway
