#pragma once
// Answers of nodes: parts, refusals, outcome replies, silence and loss.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
HandleAnswerPart(EntryStep& aStep, AnswerPart aPart);

void
HandleRefusal(EntryStep& aStep, const Refusal& aRefusal);

void
HandleOutcomeReply(EntryStep& aStep, const OutcomeReply& aReply);

// The request's timer is due while an attempt runs.
void
TickAttempt(EntryStep& aStep, CallerRequest& aRequest);

// The connection to a node was lost.
void
AttemptsPeerLost(EntryStep& aStep, const PeerAddress& aPeer);

// Members changed: asks about attempts at nodes that are gone or have started
// again. They fail once that is confirmed or nobody answers.
void
AttemptsTopologyChanged(EntryStep& aStep);

} // namespace caraway
