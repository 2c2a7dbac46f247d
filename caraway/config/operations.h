#pragma once
// Applies operator writes in one revision order. Operation ids make writes
// idempotent, expected revisions detect concurrent writes, and the newest
// changes are kept so that holders can be sent deltas.

#include <deque>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "caraway/base/error.h"
#include "caraway/config/config_view.h"

namespace caraway {

// For deltas. The restart of a fleet of 390 entries and 700 nodes, each with
// its target, takes 1,800 changes. At some 600 bytes each, 2.5 MB in memory.
constexpr size_t kMaxKeptChanges = 4096;
constexpr size_t kMaxKeptOperations = 10000; // ten days at the design size

struct ConfigOperation
{
  OperationId mId;                   // chosen by the operator
  uint64_t mFingerprint = 0;         // hash of the operator's whole request
  std::optional<Revision> mExpected; // of the object; 0: it must not exist
  ConfigChange mChange;
};

struct OperationResult
{
  ErrorKind mError = ErrorKind::eNone;
  std::string mMessage;      // what failed; empty when it succeeded
  Revision mRevision;        // of the change; on a conflict, the object's
  uint64_t mFingerprint = 0; // of the request that was carried out
  std::string mObject;       // ObjectName of the change
  bool mRepeated = false;    // answered with the recorded first result
};

struct ConfigHistory
{
  ConfigView mView;
  // The newest kMaxKeptChanges, by revision. Invariant: of the changes after
  // mKeptSince only plans are missing that a later plan in here has replaced.
  std::deque<RevisedChange> mRecent;
  Revision mKeptSince;
  absl::flat_hash_map<OperationId, OperationResult> mOperations;
  std::deque<OperationId> mOperationOrder; // oldest first
};

// Takes over changes that were kept without gaps, as older program versions
// stored them.
void
KeepChanges(ConfigHistory& aHistory, std::deque<RevisedChange> aChanges);

// Assigns the next revision to the change, applies it and keeps it for deltas.
Revision
AppendChange(ConfigHistory& aHistory, ConfigChange aChange);

// Executes an operator's write once. A write with the same id gets the recorded
// result, or fails with eConflict if its fingerprint differs. Failures are not
// recorded, so an operator may correct the cause and resend.
OperationResult
ApplyOperation(ConfigHistory& aHistory, const ConfigOperation& aOperation);

// The revision at which the object was last changed, 0 if it never was.
Revision
ObjectRevision(const ConfigView& aView, const std::string& aObject);

// True if the kept changes lead a holder at aHeld to the newest revision.
bool
HasChangesSince(const ConfigHistory& aHistory, Revision aHeld);

// The first kept change after aHeld, or the end.
std::deque<RevisedChange>::const_iterator
FirstChangeAfter(const ConfigHistory& aHistory, Revision aHeld);

} // namespace caraway
