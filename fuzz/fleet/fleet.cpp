// Steps the fleet: clocks, links and actions of the roles.

#include "fuzz/fleet/fleet.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "caraway/base/visitor.h"
#include "fuzz/fleet/fleet_internal.h"

namespace caraway::fleet {

MonoTime
LocalTime(const LocalClock& aClock, MonoTime aNow)
{
  return { aNow.mMicros + aClock.mOffsetMicros +
           aNow.mMicros / 1000000 * aClock.mDriftPerMillion };
}

MonoTime
GlobalTime(const LocalClock& aClock, MonoTime aLocal)
{
  if (aLocal >= kNever) {
    return kNever;
  }
  const double global =
    static_cast<double>(aLocal.mMicros - aClock.mOffsetMicros) /
    (1.0 + static_cast<double>(aClock.mDriftPerMillion) / 1e6);
  return { static_cast<int64_t>(global) };
}

namespace {

constexpr size_t kMaxTrace = 400;

bool
Chance(Fleet& aFleet, double aShare)
{
  return aShare > 0 && DrawUnit(aFleet.mRandom) < aShare;
}

bool
IsCut(const Fleet& aFleet, const PeerAddress& aFrom, const PeerAddress& aTo)
{
  return aFleet.mCut.contains({ aFrom, aTo });
}

void
Trace(Fleet& aFleet, const PeerAddress& aWho, const DecisionLog& aLog)
{
  std::string line = absl::StrCat(aFleet.mNow.mMicros / 1000,
                                  "ms ",
                                  aWho.mValue,
                                  " ",
                                  aLog.mEvent,
                                  " ",
                                  aLog.mRequest.mValue,
                                  " ",
                                  aLog.mChoice,
                                  " ",
                                  aLog.mReason);
  for (const LogField& field : aLog.mExtra) {
    absl::StrAppend(&line, " ", field.mName, "=", field.mValue);
  }
  aFleet.mTrace.push_back(std::move(line));
  if (aFleet.mTrace.size() > kMaxTrace) {
    aFleet.mTrace.erase(aFleet.mTrace.begin());
  }
}

void
SendOnLink(Fleet& aFleet, const PeerAddress& aFrom, const SendMessage& aSend)
{
  if (IsCut(aFleet, aFrom, aSend.mTo) ||
      Chance(aFleet, aFleet.mSettings.mLoss)) {
    return;
  }
  const int copies = Chance(aFleet, aFleet.mSettings.mDuplicate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const auto most = static_cast<uint64_t>(aFleet.mSettings.mDelay.mMicros);
    int64_t delay = 100 + static_cast<int64_t>(DrawBelow(aFleet.mRandom, most));
    if (Chance(aFleet, aFleet.mSettings.mLoss)) {
      delay *= 200; // delayed message, arrives out of order
    }
    Enqueue(
      aFleet, aFleet.mNow + Micros(delay), aSend.mTo, aFrom, aSend.mMessage);
  }
}

void
StepEntryProcess(Fleet& aFleet,
                 const PeerAddress& aAddress,
                 EntryProcess& aProcess,
                 const EntryEvent& aEvent)
{
  std::vector<EntryAction> actions;
  StepEntry(
    *aProcess.mRole, LocalTime(aProcess.mClock, aFleet.mNow), aEvent, actions);
  for (const EntryAction& action : actions) {
    std::visit(
      Visitor{
        [&](const SendMessage& aSend) { SendOnLink(aFleet, aAddress, aSend); },
        [&](const HttpResponse& aResponse) {
          RecordAnswerStart(
            aFleet, aProcess, aResponse.mCall, aResponse.mStatus);
          RecordAnswerBytes(aFleet, aProcess, aResponse.mCall, aResponse.mBody);
          RecordAnswerEnd(aFleet, aProcess, aResponse.mCall, true);
        },
        [&](const HttpBegin& aBegin) {
          RecordAnswerStart(aFleet, aProcess, aBegin.mCall, aBegin.mStatus);
        },
        [&](const HttpChunk& aChunk) {
          RecordAnswerBytes(aFleet, aProcess, aChunk.mCall, aChunk.mBytes);
        },
        [&](const HttpEnd& aEnd) {
          RecordAnswerEnd(aFleet, aProcess, aEnd.mCall, true);
        },
        [&](const HttpAbort& aAbort) {
          RecordAnswerEnd(aFleet, aProcess, aAbort.mCall, false);
        },
        [&](const DecisionLog& aLog) { Trace(aFleet, aAddress, aLog); },
        [&](const Stopped&) { LoseEntry(aFleet, aAddress, aProcess); },
        // Only entries that call targets directly use these; this fleet
        // has none.
        [](const OrderReply&) {},
        [](const ReadJobBody&) {},
        [](const StartTargetCall&) {},
        [](const CancelTargetCall&) {},
        [](const CheckTarget&) {},
      },
      action);
    if (!aProcess.mRole) {
      return;
    }
  }
}

void
RecordStart(Fleet& aFleet,
            const NodeProcess& aProcess,
            const StartTargetCall& aCall)
{
  Execution execution;
  execution.mMarker = MarkerIn(aCall.mBody);
  execution.mNode = aProcess.mSettings.mInstance;
  execution.mZone = aProcess.mSettings.mZone;
  execution.mTarget = TargetId(aProcess.mTarget.mName);
  execution.mStarted = aFleet.mNow;
  for (const auto& [id, secret] : aFleet.mSecrets) {
    execution.mSawSecret |= absl::StrContains(aCall.mBody, secret);
    for (const auto& [name, value] : aCall.mHeaders) {
      execution.mSawSecret |= absl::StrContains(value, secret);
    }
  }
  RecordExecution(aFleet.mOracle, execution);
}

void
StepNodeProcess(Fleet& aFleet,
                const PeerAddress& aAddress,
                NodeProcess& aProcess,
                const NodeEvent& aEvent)
{
  std::deque<NodeEvent> events{ aEvent };
  while (!events.empty() && aProcess.mRole) {
    const NodeEvent event = std::move(events.front());
    events.pop_front();
    std::vector<NodeAction> actions;
    std::vector<NodeEvent> followUps;
    StepNode(
      *aProcess.mRole, LocalTime(aProcess.mClock, aFleet.mNow), event, actions);
    for (const NodeAction& action : actions) {
      std::visit(
        Visitor{
          [&](const SendMessage& aSend) {
            SendOnLink(aFleet, aAddress, aSend);
          },
          [&](const StartTargetCall& aCall) {
            if (StartCall(aProcess.mTarget, aFleet.mNow, aCall, followUps)) {
              RecordStart(aFleet, aProcess, aCall);
            }
          },
          [&](const CancelTargetCall& aCancel) {
            aProcess.mTarget.mCalls.erase(aCancel.mCall);
          },
          [](const CheckTarget&) {},
          [&](const HttpResponse&) {},
          [&](const DecisionLog& aLog) { Trace(aFleet, aAddress, aLog); },
          [&](const Stopped&) { LoseNode(aFleet, aAddress, aProcess); },
        },
        action);
    }
    events.insert(events.end(), followUps.begin(), followUps.end());
  }
}

void
StepControlProcess(Fleet& aFleet,
                   const PeerAddress& aAddress,
                   ControlProcess& aProcess,
                   const ControlEvent& aEvent)
{
  constexpr int64_t kUnixStart = 1700000000;
  std::deque<ControlEvent> events{ aEvent };
  while (!events.empty() && aProcess.mRole) {
    const ControlEvent event = std::move(events.front());
    events.pop_front();
    std::vector<ControlAction> actions;
    StepControl(*aProcess.mRole,
                LocalTime(aProcess.mClock, aFleet.mNow),
                kUnixStart + aFleet.mNow.mMicros / 1000000,
                event,
                actions);
    for (ControlAction& action : actions) {
      CarryOutControl(aFleet, aAddress, aProcess, action, events);
    }
  }
}

} // namespace

void
Enqueue(Fleet& aFleet,
        MonoTime aAt,
        const PeerAddress& aTo,
        const PeerAddress& aFrom,
        std::variant<Message, PeerLost, LogWritten, SnapshotSaved> aWhat)
{
  aFleet.mDue.push({ aAt, ++aFleet.mOrder, aTo, aFrom, std::move(aWhat) });
}

void
CarryOutControl(Fleet& aFleet,
                const PeerAddress& aAddress,
                ControlProcess& aProcess,
                ControlAction& aAction,
                std::deque<ControlEvent>& aEvents)
{
  const MonoTime synced =
    aFleet.mNow +
    Micros(500 + static_cast<int64_t>(DrawBelow(aFleet.mRandom, 3000)));
  std::visit(
    Visitor{
      [&](const SendMessage& aSend) { SendOnLink(aFleet, aAddress, aSend); },
      [&](const HttpResponse& aResponse) {
        aFleet.mOperatorAnswer =
          OperatorAnswer{ aResponse.mCall, aResponse.mStatus, aResponse.mBody };
      },
      [&](const RaftWrite& aWrite) {
        aProcess.mDisk.mUnsynced.push_back(aWrite);
        Enqueue(aFleet,
                synced,
                aAddress,
                aAddress,
                LogWritten{ aWrite.mWrite, true });
      },
      [&](const RaftReadSnapshotPart& aRead) {
        aEvents.emplace_back(ReadSnapshotFile(aProcess.mDisk, aRead));
      },
      [&](const RaftStoreSnapshotPart& aStore) {
        aEvents.emplace_back(StoreSnapshotFile(aProcess.mDisk, aStore));
      },
      [&](SaveSnapshot& aSave) {
        SaveToDisk(aProcess.mDisk, aSave.mMark, std::move(aSave.mState));
        Enqueue(aFleet,
                synced,
                aAddress,
                aAddress,
                SnapshotSaved{ aSave.mMark.mIndex, true });
      },
      [&](const WriteBlob& aWrite) { WriteBlobBytes(aProcess.mDisk, aWrite); },
      [&](const RemoveBlob& aRemove) {
        aProcess.mDisk.mBlobs.erase(aRemove.mName);
      },
      [&](const ReadBlob& aRead) {
        aEvents.emplace_back(
          BlobRead{ aRead.mRead, true, ReadBlobBytes(aProcess.mDisk, aRead) });
      },
      [&](const DecisionLog& aLog) { Trace(aFleet, aAddress, aLog); },
      [](const BeginGroup&) {}, // the settings define the group
      [&](const Halt& aHalt) {
        ReportViolation(
          aFleet.mOracle,
          absl::StrCat("halt without a disk fault: ", aHalt.mReason));
      },
      [&](const auto&) {},
    },
    aAction);
}

void
StepAt(Fleet& aFleet, const PeerAddress& aAddress, const EntryEvent& aEvent)
{
  EntryProcess& process = aFleet.mEntries.at(aAddress);
  if (process.mRole) {
    StepEntryProcess(aFleet, aAddress, process, aEvent);
  }
}

void
StepAt(Fleet& aFleet, const PeerAddress& aAddress, const NodeEvent& aEvent)
{
  NodeProcess& process = aFleet.mNodes.at(aAddress);
  if (process.mRole) {
    StepNodeProcess(aFleet, aAddress, process, aEvent);
  }
}

void
StepAt(Fleet& aFleet, const PeerAddress& aAddress, const ControlEvent& aEvent)
{
  ControlProcess& process = aFleet.mControls.at(aAddress);
  if (process.mRole) {
    StepControlProcess(aFleet, aAddress, process, aEvent);
  }
}

namespace {

template<class Event>
void
Hand(Fleet& aFleet, const Due& aDue)
{
  if (const auto* message = std::get_if<Message>(&aDue.mWhat)) {
    StepAt(aFleet, aDue.mTo, Event(MessageReceived{ aDue.mFrom, *message }));
  } else if (const auto* lost = std::get_if<PeerLost>(&aDue.mWhat)) {
    StepAt(aFleet, aDue.mTo, Event(*lost));
  }
}

void
HandToControl(Fleet& aFleet, const Due& aDue)
{
  ControlProcess& process = aFleet.mControls.at(aDue.mTo);
  if (const auto* written = std::get_if<LogWritten>(&aDue.mWhat)) {
    // A write that was dropped by a crash is never reported.
    const auto& unsynced = process.mDisk.mUnsynced;
    const bool known =
      std::any_of(unsynced.begin(), unsynced.end(), [&](const auto& aWrite) {
        return aWrite.mWrite == written->mWrite;
      });
    if (known && process.mRole) {
      SyncDisk(process.mDisk, written->mWrite);
      StepAt(aFleet, aDue.mTo, ControlEvent(*written));
    }
  } else if (const auto* saved = std::get_if<SnapshotSaved>(&aDue.mWhat)) {
    StepAt(aFleet, aDue.mTo, ControlEvent(*saved));
  } else {
    Hand<ControlEvent>(aFleet, aDue);
  }
}

void
Deliver(Fleet& aFleet, const Due& aDue)
{
  if (aFleet.mControls.contains(aDue.mTo)) {
    HandToControl(aFleet, aDue);
  } else if (aFleet.mEntries.contains(aDue.mTo)) {
    Hand<EntryEvent>(aFleet, aDue);
  } else if (aFleet.mNodes.contains(aDue.mTo)) {
    Hand<NodeEvent>(aFleet, aDue);
  }
}

// Steps every process whose wakeup is due, and returns the time of the next
// wakeup. A role that asks for a time in the past is stepped once per
// millisecond.
MonoTime
WakeDue(Fleet& aFleet)
{
  MonoTime next = kNever;
  const MonoTime soonest = aFleet.mNow + Millis(1);
  const auto wake = [&](auto& aProcesses, auto aEvent) {
    for (auto& [address, process] : aProcesses) {
      if (!process.mRole) {
        continue;
      }
      if (GlobalTime(process.mClock, NextWakeup(*process.mRole)) <=
          aFleet.mNow) {
        StepAt(aFleet, address, aEvent);
      }
      if (process.mRole) {
        next = std::min(
          next,
          std::max(soonest,
                   GlobalTime(process.mClock, NextWakeup(*process.mRole))));
      }
    }
  };
  wake(aFleet.mControls, ControlEvent(Wakeup{}));
  wake(aFleet.mEntries, EntryEvent(Wakeup{}));
  wake(aFleet.mNodes, NodeEvent(Wakeup{}));
  for (auto& [address, process] : aFleet.mNodes) {
    AdvanceTargetOf(aFleet, address, process);
    if (process.mRole) {
      next =
        std::min(next, std::max(soonest, NextTargetEvent(process.mTarget)));
    }
  }
  return next;
}

} // namespace

void
RunFor(Fleet& aFleet, Duration aDuration)
{
  const MonoTime end = aFleet.mNow + aDuration;
  while (aFleet.mNow < end) {
    MonoTime next = WakeDue(aFleet);
    if (!aFleet.mDue.empty()) {
      next = std::min(next, std::max(aFleet.mNow, aFleet.mDue.top().mAt));
    }
    aFleet.mNow = std::min(next, end);
    while (!aFleet.mDue.empty() && aFleet.mDue.top().mAt <= aFleet.mNow) {
      const Due due = aFleet.mDue.top();
      aFleet.mDue.pop();
      Deliver(aFleet, due);
    }
  }
}

} // namespace caraway::fleet
