#pragma once
// Messages of nodes about attempts: answer parts, refusals and outcome replies;
// also missing replies and lost connections. HandleAnswerPart is in relay.cpp,
// the rest in attempt_outcomes.cpp.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
HandleAnswerPart(EntryStep& aStep, AnswerPart aPart);

void
HandleRefusal(EntryStep& aStep, const Refusal& aRefusal);

void
HandleOutcomeReply(EntryStep& aStep, const OutcomeReply& aReply);

// Handles the request's due timer while it is eRunning: queries a silent node,
// or fails the attempt.
void
TickAttempt(EntryStep& aStep, CallerRequest& aRequest);

// The connection to a node was lost: retries idempotent attempts there and
// queries the outcome of the others.
void
AttemptsPeerLost(EntryStep& aStep, const PeerAddress& aPeer);

// Queries the outcome of attempts at nodes that were removed or have a new
// epoch. They fail once the reply confirms it or several queries stay
// unanswered.
void
AttemptsTopologyChanged(EntryStep& aStep);

} // namespace caraway
