#pragma once
// Functions shared by the source files of the fleet driver.

#include <deque>

#include "fuzz/fleet/fleet.h"

namespace caraway::fleet {

MonoTime
LocalTime(const LocalClock& aClock, MonoTime aNow);

void
Enqueue(Fleet& aFleet,
        MonoTime aAt,
        const PeerAddress& aTo,
        const PeerAddress& aFrom,
        std::variant<Message, PeerLost, LogWritten, SnapshotSaved> aWhat);

void
StepAt(Fleet& aFleet, const PeerAddress& aAddress, const EntryEvent& aEvent);
void
StepAt(Fleet& aFleet, const PeerAddress& aAddress, const NodeEvent& aEvent);
void
StepAt(Fleet& aFleet, const PeerAddress& aAddress, const ControlEvent& aEvent);

void
CarryOutControl(Fleet& aFleet,
                const PeerAddress& aAddress,
                ControlProcess& aProcess,
                ControlAction& aAction,
                std::deque<ControlEvent>& aEvents);

// Record the answer of an entry to a caller, as it arrives.
void
RecordAnswerStart(Fleet& aFleet,
                  EntryProcess& aProcess,
                  HttpCallId aCall,
                  int aStatus);
void
RecordAnswerBytes(Fleet& aFleet,
                  EntryProcess& aProcess,
                  HttpCallId aCall,
                  const std::string& aBytes);
void
RecordAnswerEnd(Fleet& aFleet,
                EntryProcess& aProcess,
                HttpCallId aCall,
                bool aWhole);

// Handle the end of a process: its callers lose their connections and its peers
// are notified.
void
LoseEntry(Fleet& aFleet, const PeerAddress& aAddress, EntryProcess& aProcess);
void
LoseNode(Fleet& aFleet, const PeerAddress& aAddress, NodeProcess& aProcess);

// Delivers announcements and answers of a node's target that are due.
void
AdvanceTargetOf(Fleet& aFleet,
                const PeerAddress& aAddress,
                NodeProcess& aProcess);

// Start or restart a role.
void
BootControl(Fleet& aFleet, ControlProcess& aProcess);
void
BootEntry(Fleet& aFleet, EntryProcess& aProcess);
void
BootNode(Fleet& aFleet, NodeProcess& aProcess);

} // namespace caraway::fleet
