#pragma once
// Operator writes in the one revision order: operation ids make a resend
// harmless, expected revisions make the loser of a race visible, and the newest
// changes are kept so that holders can be sent deltas.

#include <deque>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "caraway/base/error.h"
#include "caraway/config/config_view.h"

namespace caraway {

constexpr size_t kMaxKeptChanges = 10000;    // for deltas
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
  bool mRepeated = false;    // answered from the record of the first time
};

struct ConfigHistory
{
  ConfigView mView;
  std::deque<RevisedChange> mRecent; // newest kMaxKeptChanges, without gaps
  absl::flat_hash_map<OperationId, OperationResult> mOperations;
  std::deque<OperationId> mOperationOrder; // oldest first
};

// Gives the change the next revision, applies it and remembers it.
Revision
AppendChange(ConfigHistory& aHistory, ConfigChange aChange);

// Carries out an operator's write once. The same id again gets the first
// result; the same id with another fingerprint fails with kConflict. Failures
// are not remembered, so an operator may correct the cause and resend.
OperationResult
ApplyOperation(ConfigHistory& aHistory, const ConfigOperation& aOperation);

// The revision at which the object was last changed, 0 if it never was.
Revision
ObjectRevision(const ConfigView& aView, const std::string& aObject);

// True if the kept changes lead from aHeld to the newest revision.
bool
HasChangesSince(const ConfigHistory& aHistory, Revision aHeld);

} // namespace caraway
