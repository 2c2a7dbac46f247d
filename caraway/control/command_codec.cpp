// Encodes and decodes commands, and the durable state in snapshots.

#include <algorithm>

#include "caraway/control/command.h"
#include "caraway/ledger/ledger.h"
#include "caraway/wire/codec.h"
#include "caraway/wire/serialize_messages.h"

namespace caraway {

template<class Archive>
void
serialize(Archive& aArchive, ConfigOperation& aValue)
{
  aArchive(aValue.mId, aValue.mFingerprint, aValue.mExpected, aValue.mChange);
}

template<class Archive>
void
serialize(Archive& aArchive, OperationResult& aValue)
{
  aArchive(aValue.mError,
           aValue.mMessage,
           aValue.mRevision,
           aValue.mFingerprint,
           aValue.mObject);
}

template<class Archive>
void
serialize(Archive& aArchive, RegisterMember& aValue)
{
  aArchive(aValue.mMember);
}

template<class Archive>
void
serialize(Archive& aArchive, UpdateMember& aValue)
{
  aArchive(aValue.mInstance, aValue.mEpoch, aValue.mTarget, aValue.mDraining);
}

template<class Archive>
void
serialize(Archive& aArchive, EndSession& aValue)
{
  aArchive(aValue.mInstance, aValue.mEpoch);
}

template<class Archive>
void
serialize(Archive& aArchive, LedgerTick& aValue)
{
  aArchive(aValue.mResultRetention, aValue.mClaimRetention);
}

template<class Archive>
void
serialize(Archive& aArchive, RemoveTargets& aValue)
{
  aArchive(aValue.mTargets);
}

template<class Archive>
void
serialize(Archive& aArchive, UnlistedTargetKey& aValue)
{
  aArchive(aValue.mTarget, aValue.mService);
}

template<class Archive>
void
serialize(Archive& aArchive, UnlistedTarget& aValue)
{
  aArchive(aValue.mTarget, aValue.mColdUntil);
}

template<class Archive>
void
serialize(Archive& aArchive, UnlistedTargetStart& aValue)
{
  aArchive(aValue.mKey, aValue.mStartedAt);
}

template<class Archive>
void
serialize(Archive& aArchive, RemoveUnlistedTargets& aValue)
{
  aArchive(aValue.mTargets);
}

template<class Archive>
void
serialize(Archive& aArchive, ChangeInputBlocks& aValue)
{
  aArchive(aValue.mSet, aValue.mRemove);
}

template<class Archive>
void
serialize(Archive& aArchive, ForgetVersions& aValue)
{
  aArchive(aValue.mVersions);
}

template<class Archive>
void
serialize(Archive& aArchive, AdvanceRollout& aValue)
{
  aArchive(aValue.mService, aValue.mNumber, aValue.mFrom, aValue.mTo);
}

template<class Archive>
void
serialize(Archive& aArchive, UseRateTolerance& aValue)
{
  aArchive(aValue.mInterval);
}

template<class Archive>
void
serialize(Archive& aArchive, ControlCommand& aValue)
{
  aArchive(aValue.mLogical, aValue.mUnixSeconds, aValue.mBody);
}

namespace {

constexpr uint32_t kStateVersion = 6;
constexpr uint32_t kOldestStateVersion = 2;
// The versions that added a field.
constexpr uint32_t kVersionOfExpiredEntries = 3;
constexpr uint32_t kVersionOfKeptSince = 4;
constexpr uint32_t kVersionOfToleranceUse = 5;
constexpr uint32_t kVersionOfUnlistedTargets = 6;

// The stored form of the durable state. The configuration is stored as the
// changes that rebuild it.
struct StoredState
{
  uint32_t mVersion = kStateVersion;
  LogIndex mApplied;
  MonoTime mLogical;
  Revision mRevision;
  std::vector<ConfigChange> mConfig;
  std::map<std::string, Revision> mObjectRevisions;
  std::deque<RevisedChange> mRecent;
  std::vector<std::pair<OperationId, OperationResult>> mOperations;
  std::map<InstanceId, uint64_t> mReplaced;
  std::deque<EndedTarget> mGoneTargets;
  std::set<InstanceId> mRetiring;
  std::string mLedger;
  std::map<InstanceId, MonoTime> mExpiredEntries;
  Revision mKeptSince;
  MonoTime mToleranceUsedAt = kToleranceUnused;
  std::map<UnlistedTargetKey, UnlistedTarget> mUnlistedTargets;
  std::set<ServiceId> mWithdrawnServices;
};

template<class Archive>
void
serialize(Archive& aArchive, StoredState& aValue)
{
  aArchive(aValue.mVersion,
           aValue.mApplied,
           aValue.mLogical,
           aValue.mRevision,
           aValue.mConfig,
           aValue.mObjectRevisions,
           aValue.mRecent,
           aValue.mOperations,
           aValue.mReplaced,
           aValue.mGoneTargets,
           aValue.mRetiring,
           aValue.mLedger);
  if (aValue.mVersion >= kVersionOfExpiredEntries) {
    aArchive(aValue.mExpiredEntries);
  }
  if (aValue.mVersion >= kVersionOfKeptSince) {
    aArchive(aValue.mKeptSince);
  }
  if (aValue.mVersion >= kVersionOfToleranceUse) {
    aArchive(aValue.mToleranceUsedAt);
  }
  if (aValue.mVersion >= kVersionOfUnlistedTargets) {
    aArchive(aValue.mUnlistedTargets, aValue.mWithdrawnServices);
  }
}

absl::Status
RestoreConfig(StoredState& aStored, ConfigHistory& aHistory)
{
  absl::Status restored =
    ApplySnapshot(aHistory.mView, aStored.mRevision, aStored.mConfig);
  if (!restored.ok()) {
    return restored;
  }
  aHistory.mView.mRevision = aStored.mRevision;
  aHistory.mView.mObjectRevisions = std::move(aStored.mObjectRevisions);
  if (aStored.mVersion >= kVersionOfKeptSince) {
    aHistory.mRecent = std::move(aStored.mRecent);
    aHistory.mKeptSince = aStored.mKeptSince;
  } else {
    KeepChanges(aHistory, std::move(aStored.mRecent));
  }
  for (auto& [id, result] : aStored.mOperations) {
    aHistory.mOperationOrder.push_back(id);
    aHistory.mOperations.emplace(id, std::move(result));
  }
  return absl::OkStatus();
}

} // namespace

std::string
EncodeCommand(const ControlCommand& aCommand)
{
  return EncodeWith(aCommand);
}

absl::StatusOr<ControlCommand>
DecodeCommand(std::string_view aBytes)
{
  return DecodeWith<ControlCommand>(aBytes);
}

std::string
EncodeControlState(const ControlState& aState)
{
  const ConfigHistory& config = aState.mConfig;
  StoredState stored;
  stored.mApplied = aState.mApplied;
  stored.mLogical = aState.mLogical;
  stored.mRevision = config.mView.mRevision;
  stored.mConfig = SnapshotChanges(config.mView, ConfigScope::eAll);
  stored.mObjectRevisions = config.mView.mObjectRevisions;
  stored.mRecent = config.mRecent;
  stored.mKeptSince = config.mKeptSince;
  for (const OperationId& id : config.mOperationOrder) {
    stored.mOperations.emplace_back(id, config.mOperations.at(id));
  }
  stored.mReplaced = aState.mReplaced;
  stored.mGoneTargets = aState.mGoneTargets;
  stored.mRetiring = aState.mRetiring;
  stored.mLedger = EncodeLedger(aState.mLedger);
  stored.mExpiredEntries = aState.mExpiredEntries;
  stored.mToleranceUsedAt = aState.mToleranceUsedAt;
  stored.mUnlistedTargets = aState.mUnlistedTargets;
  stored.mWithdrawnServices = aState.mWithdrawnServices;
  return EncodeWith(stored);
}

absl::StatusOr<ControlState>
DecodeControlState(std::string_view aBytes)
{
  ControlState state;
  if (aBytes.empty()) {
    return state;
  }
  absl::StatusOr<StoredState> stored = DecodeWith<StoredState>(aBytes);
  if (!stored.ok()) {
    return stored.status();
  }
  if (stored->mVersion < kOldestStateVersion ||
      stored->mVersion > kStateVersion) {
    return MakeError(ErrorKind::eCorruptData,
                     "the snapshot has an unknown version",
                     "start the version that wrote it");
  }
  absl::StatusOr<Ledger> ledger = DecodeLedger(stored->mLedger);
  if (!ledger.ok()) {
    return ledger.status();
  }
  state.mLedger = *std::move(ledger);
  state.mApplied = stored->mApplied;
  state.mLogical = stored->mLogical;
  state.mReplaced = std::move(stored->mReplaced);
  state.mGoneTargets = std::move(stored->mGoneTargets);
  state.mRetiring = std::move(stored->mRetiring);
  state.mExpiredEntries = std::move(stored->mExpiredEntries);
  state.mToleranceUsedAt = stored->mToleranceUsedAt;
  state.mUnlistedTargets = std::move(stored->mUnlistedTargets);
  state.mWithdrawnServices = std::move(stored->mWithdrawnServices);
  absl::Status restored = RestoreConfig(*stored, state.mConfig);
  if (!restored.ok()) {
    return restored;
  }
  return state;
}

} // namespace caraway
