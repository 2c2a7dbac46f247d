#pragma once
// Start times of calls to targets that state a rate and have no node.
//
// The entry that rendezvous hashing ranks first for the target divides the rate
// among all entries: it reserves a start time for each call. Starts that the
// former one has reserved lie at most 2 s ahead when another entry takes over.
// Entries that get no reply use their share of the rate, see
// scheduling/start_pace.h.

#include <string_view>

#include "caraway/entry/entry_step.h"

namespace caraway {

// True if calls to the target need a start time.
bool
NeedsStartTime(EntryStep& aStep, const Target& aTarget);

// Asks for a start time. The reply arrives at HandleStartTimeReply, also if
// this entry divides the rate itself.
void
AskStartTime(EntryStep& aStep,
             const Target& aTarget,
             const StartTimeRequest& aRequest);

// Gives back a reserved start that is not used.
void
ReleaseStartTime(EntryStep& aStep,
                 const TargetId& aTarget,
                 const RequestId& aRequest);

void
HandleStartTimeRequest(EntryStep& aStep,
                       const PeerAddress& aFrom,
                       const StartTimeRequest& aRequest);
void
HandleStartTimeRelease(EntryStep& aStep, const StartTimeRelease& aRelease);

// Handles the replies to this entry's own requests.
void
DeliverOwnStartTimes(EntryStep& aStep);

// Records the rate that an answer states, and tells the process that grants
// starts at the target if it has changed.
void
RecordAnswerRate(EntryStep& aStep,
                 const TargetId& aTarget,
                 int64_t aTargetStart,
                 const TargetCallBegan& aAnswer);

// Records the rate that another process has heard from the target.
void
RecordRateNotice(EntryStep& aStep,
                 const TargetId& aTarget,
                 const HeardRate& aHeard,
                 std::string_view aSource);

// Forgets targets that have left the configuration.
void
ForgetStartTimes(Entry& aEntry);

} // namespace caraway
