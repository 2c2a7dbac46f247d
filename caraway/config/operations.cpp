// Checks operator writes against the current configuration and records their
// results.

#include "caraway/config/operations.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace caraway {

namespace {

OperationResult
Failure(ErrorKind aKind, std::string aMessage, Revision aRevision = {})
{
  OperationResult result;
  result.mError = aKind;
  result.mMessage = std::move(aMessage);
  result.mRevision = aRevision;
  return result;
}

// Returns why the key cannot be created, if it cannot.
std::optional<OperationResult>
CheckCreateKey(const ConfigView& aView, const ApiKey& aKey)
{
  auto contract = aView.mContracts.find(aKey.mWorkspace);
  if (contract == aView.mContracts.end() || contract->second.mWithdrawn) {
    return Failure(ErrorKind::eNotFound,
                   absl::StrCat("workspace ",
                                aKey.mWorkspace.mValue,
                                " has no contract in force"));
  }
  if (aView.mKeys.contains(aKey.mId)) {
    return Failure(ErrorKind::eConflict, "a key with this id already exists");
  }
  return std::nullopt;
}

std::optional<OperationResult>
CheckChange(const ConfigView& aView, const ConfigChange& aChange)
{
  if (const auto* create = std::get_if<CreateKey>(&aChange)) {
    return CheckCreateKey(aView, create->mKey);
  }
  if (const auto* key = std::get_if<WithdrawKey>(&aChange)) {
    if (!aView.mKeys.contains(key->mKey)) {
      return Failure(ErrorKind::eNotFound,
                     absl::StrCat("no key ", key->mKey.mValue));
    }
  }
  if (const auto* contract = std::get_if<WithdrawContract>(&aChange)) {
    if (!aView.mContracts.contains(contract->mWorkspace)) {
      return Failure(
        ErrorKind::eNotFound,
        absl::StrCat("no contract for ", contract->mWorkspace.mValue));
    }
  }
  if (const auto* route = std::get_if<RemoveRoute>(&aChange)) {
    if (!aView.mRoutes.contains(route->mRoute)) {
      return Failure(ErrorKind::eNotFound,
                     absl::StrCat("no route ", route->mRoute.mValue));
    }
  }
  if (const auto* block = std::get_if<RemoveInputBlock>(&aChange)) {
    if (!aView.mInputBlocks.contains(block->mBlock)) {
      return Failure(
        ErrorKind::eNotFound,
        absl::StrCat("no input block ", FormatInputBlockId(block->mBlock)));
    }
  }
  return std::nullopt;
}

bool
IsPlan(const RevisedChange& aChange)
{
  return std::holds_alternative<SetPlan>(aChange.mChange);
}

// A plan replaces the one before as a whole, so holders need the newest only.
void
DropReplacedPlans(std::deque<RevisedChange>& aChanges)
{
  const auto newest = std::find_if(aChanges.rbegin(), aChanges.rend(), IsPlan);
  if (newest != aChanges.rend()) {
    const auto end = std::prev(newest.base());
    aChanges.erase(std::remove_if(aChanges.begin(), end, IsPlan), end);
  }
}

void
TrimChanges(ConfigHistory& aHistory)
{
  while (aHistory.mRecent.size() > kMaxKeptChanges) {
    aHistory.mKeptSince = aHistory.mRecent.front().mRevision;
    aHistory.mRecent.pop_front();
  }
}

void
RecordResult(ConfigHistory& aHistory,
             const OperationId& aId,
             const OperationResult& aResult)
{
  aHistory.mOperations.emplace(aId, aResult);
  aHistory.mOperationOrder.push_back(aId);
  while (aHistory.mOperationOrder.size() > kMaxKeptOperations) {
    aHistory.mOperations.erase(aHistory.mOperationOrder.front());
    aHistory.mOperationOrder.pop_front();
  }
}

} // namespace

void
KeepChanges(ConfigHistory& aHistory, std::deque<RevisedChange> aChanges)
{
  aHistory.mRecent = std::move(aChanges);
  aHistory.mKeptSince =
    aHistory.mRecent.empty()
      ? aHistory.mView.mRevision
      : Revision(aHistory.mRecent.front().mRevision.mValue - 1);
  DropReplacedPlans(aHistory.mRecent);
  TrimChanges(aHistory);
}

Revision
AppendChange(ConfigHistory& aHistory, ConfigChange aChange)
{
  const Revision revision(aHistory.mView.mRevision.mValue + 1);
  aHistory.mRecent.push_back({ revision, std::move(aChange) });
  ApplyChange(aHistory.mView, aHistory.mRecent.back());
  if (IsPlan(aHistory.mRecent.back())) {
    DropReplacedPlans(aHistory.mRecent);
  }
  TrimChanges(aHistory);
  return revision;
}

OperationResult
ApplyOperation(ConfigHistory& aHistory, const ConfigOperation& aOperation)
{
  auto known = aHistory.mOperations.find(aOperation.mId);
  if (known != aHistory.mOperations.end()) {
    if (known->second.mFingerprint != aOperation.mFingerprint) {
      return Failure(ErrorKind::eConflict,
                     "the operation id was used for another request");
    }
    OperationResult repeated = known->second;
    repeated.mRepeated = true;
    return repeated;
  }
  const std::string object = ObjectName(aOperation.mChange);
  const Revision current = ObjectRevision(aHistory.mView, object);
  if (aOperation.mExpected && *aOperation.mExpected != current) {
    return Failure(ErrorKind::eRevisionConflict,
                   absl::StrCat(object, " was changed by another operation"),
                   current);
  }
  if (auto failure = CheckChange(aHistory.mView, aOperation.mChange)) {
    return *failure;
  }
  OperationResult result;
  result.mFingerprint = aOperation.mFingerprint;
  result.mObject = object;
  result.mRevision = AppendChange(aHistory, aOperation.mChange);
  RecordResult(aHistory, aOperation.mId, result);
  return result;
}

Revision
ObjectRevision(const ConfigView& aView, const std::string& aObject)
{
  auto found = aView.mObjectRevisions.find(aObject);
  return found == aView.mObjectRevisions.end() ? Revision() : found->second;
}

bool
HasChangesSince(const ConfigHistory& aHistory, Revision aHeld)
{
  if (aHeld >= aHistory.mView.mRevision) {
    return true;
  }
  return aHeld >= aHistory.mKeptSince;
}

std::deque<RevisedChange>::const_iterator
FirstChangeAfter(const ConfigHistory& aHistory, Revision aHeld)
{
  return std::upper_bound(aHistory.mRecent.begin(),
                          aHistory.mRecent.end(),
                          aHeld,
                          [](Revision aOne, const RevisedChange& aChange) {
                            return aOne < aChange.mRevision;
                          });
}

} // namespace caraway
