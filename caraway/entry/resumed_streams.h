#pragma once
// Streams of direct requests that go on after a break: the software version
// that brought a stream's first event, and which targets may continue it.
//
// Invariant: a stream goes on only at a target of the version that began it. A
// stream whose version is not known is refused, never continued by a guess.

#include "caraway/entry/entry_step.h"

namespace caraway {

// True if the request resumes a stream of which the origin is not known yet.
bool
NeedsOrigin(const CallerRequest& aRequest);

// Finds the origin of the resumed stream in this entry's own records, or asks
// the control replicas; StartDirect goes on once it is known.
void
FindOrigin(EntryStep& aStep, CallerRequest& aRequest);

// Asks again, or refuses the request once the origin cannot be found in time.
void
TickOriginSearch(EntryStep& aStep, CallerRequest& aRequest);

void
HandleOriginReply(EntryStep& aStep, const OriginReply& aReply);

// Records that the live attempt has brought the stream's next event.
void
RecordStreamEvent(EntryStep& aStep, CallerRequest& aRequest);

// False if the request continues a stream that another service or version
// began.
bool
MayContinueAt(const DirectCall& aDirect, const Target& aTarget);

// Refuses a stream of whose version no target takes requests.
void
RefuseContinuation(EntryStep& aStep, CallerRequest& aRequest);

// Tells replicas of streams of services that have got another version, or a
// route together with another service.
void
VersionsChanged(EntryStep& aStep);

// Tells replicas of the newest streams again. A new leader may have lost what
// it was told.
void
TellStreamsAgain(EntryStep& aStep);

void
TickResumedStreams(EntryStep& aStep);

} // namespace caraway
