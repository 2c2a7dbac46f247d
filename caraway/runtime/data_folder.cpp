// The class DataFolder: returns the first failure from all later calls, and
// delegates to the other data_folder_*.cpp files.

#include "caraway/runtime/data_folder.h"

#include "caraway/base/error.h"
#include "caraway/consensus/log_codec.h"
#include "caraway/runtime/data_folder_state.h"

namespace caraway {

absl::Status
RecordFirstFailure(DataFolderState& aState, absl::Status aStatus)
{
  if (aState.mFailure.ok() && !aStatus.ok()) {
    aState.mFailure = aStatus;
  }
  return aStatus;
}

DataFolder::DataFolder(std::unique_ptr<DataFolderState> aState)
  : mState(std::move(aState))
{
}

DataFolder::~DataFolder() = default;

absl::StatusOr<std::unique_ptr<DataFolder>>
DataFolder::Open(const std::string& aPath,
                 const DataFolderSettings& aSettings,
                 SyncedTail* aTail)
{
  auto state = std::make_unique<DataFolderState>();
  state->mPath = aPath;
  state->mSettings = aSettings;
  if (aTail != nullptr) {
    state->mTail = *aTail;
  }
  if (absl::Status status = RecoverFolder(*state); !status.ok()) {
    if (aTail != nullptr) {
      *aTail = state->mTail;
    }
    return status;
  }
  return std::unique_ptr<DataFolder>(new DataFolder(std::move(state)));
}

absl::Status
DataFolder::Probe(const std::string& aPath)
{
  // As much as a usual write of the log.
  constexpr size_t kProbeBytes = 16 << 10;
  const std::string path = aPath + "/probe";
  auto file = CreateFile({}, path);
  if (!file.ok()) {
    return file.status();
  }
  absl::Status status =
    WriteAt({}, *file, path, 0, std::string(kProbeBytes, '\0'));
  if (status.ok()) {
    status = SyncData({}, *file, path);
  }
  // Removed in any case: a full disk needs the space.
  const absl::Status removed = RemoveFile({}, path);
  return status.ok() ? removed : status;
}

RecoveryReport
DataFolder::Report() const
{
  return mState->mReport;
}

bool
DataFolder::IsFounder() const
{
  return mState->mFounder;
}

absl::Status
DataFolder::MarkFounder()
{
  if (!mState->mFailure.ok()) {
    return mState->mFailure;
  }
  absl::Status status =
    ReplaceFile(mState->mSettings.mWatch, mState->mPath, kFounderFileName, "1");
  mState->mFounder = status.ok();
  return RecordFirstFailure(*mState, status);
}

SyncedTail
DataFolder::Tail() const
{
  return mState->mTail;
}

RaftRecovered
DataFolder::Recovered()
{
  return std::exchange(mState->mRecovered, {});
}

std::string
DataFolder::RecoveredState()
{
  return std::exchange(mState->mRecoveredState, {});
}

absl::Status
DataFolder::Append(const RaftWrite& aWrite)
{
  if (!mState->mFailure.ok()) {
    return mState->mFailure;
  }
  return RecordFirstFailure(*mState, AppendWrite(*mState, aWrite));
}

absl::Status
DataFolder::Sync()
{
  if (!mState->mFailure.ok()) {
    return mState->mFailure;
  }
  return RecordFirstFailure(*mState, SyncLog(*mState));
}

PendingSync
DataFolder::BeginSync() const
{
  return PrepareSync(*mState);
}

absl::Status
DataFolder::RunSync(const PendingSync& aSync)
{
  return RunPreparedSync(aSync);
}

absl::Status
DataFolder::FinishSync(const PendingSync& aSync, const absl::Status& aStatus)
{
  if (mState->mFailure.ok() && aStatus.ok()) {
    NoteSynced(*mState, aSync);
  }
  RecordFirstFailure(*mState, aStatus).IgnoreError();
  return mState->mFailure;
}

PendingBlobSync
DataFolder::BeginBlobSync() const
{
  return PrepareBlobSync(*mState);
}

absl::Status
DataFolder::RunBlobSync(const PendingBlobSync& aSync)
{
  return RunPreparedBlobSync(aSync);
}

absl::Status
DataFolder::FinishBlobSync(const PendingBlobSync& aSync,
                           const absl::Status& aStatus)
{
  if (mState->mFailure.ok() && aStatus.ok()) {
    NoteBlobsSynced(*mState, aSync);
  }
  RecordFirstFailure(*mState, aStatus).IgnoreError();
  return mState->mFailure;
}

absl::Status
DataFolder::SaveSnapshot(const SnapshotMark& aMark, std::string aState)
{
  if (!mState->mFailure.ok()) {
    return mState->mFailure;
  }
  const PendingSnapshot snapshot = BeginSnapshot(aMark, std::move(aState));
  return FinishSnapshot(snapshot, RunSnapshot(snapshot));
}

PendingSnapshot
DataFolder::BeginSnapshot(const SnapshotMark& aMark, std::string aState) const
{
  return { aMark, std::move(aState), PrepareBlobSync(*mState), mState->mPath };
}

absl::Status
DataFolder::RunSnapshot(const PendingSnapshot& aSnapshot)
{
  absl::Status status = RunPreparedBlobSync(aSnapshot.mBlobs);
  if (status.ok()) {
    status = ReplaceFile(aSnapshot.mBlobs.mWatch,
                         aSnapshot.mFolder,
                         SnapshotName(aSnapshot.mMark.mIndex),
                         EncodeSnapshotFile(aSnapshot.mMark, aSnapshot.mState));
  }
  return status;
}

absl::Status
DataFolder::FinishSnapshot(const PendingSnapshot& aSnapshot,
                           const absl::Status& aStatus)
{
  if (!mState->mFailure.ok()) {
    return mState->mFailure;
  }
  absl::Status status = aStatus;
  if (status.ok()) {
    NoteBlobsSynced(*mState, aSnapshot.mBlobs);
    status = UseSnapshot(*mState, aSnapshot.mMark);
  }
  return RecordFirstFailure(*mState, status);
}

absl::StatusOr<StoredSnapshotPart>
DataFolder::StoreSnapshotPart(const SnapshotPart& aPart)
{
  if (!mState->mFailure.ok()) {
    return mState->mFailure;
  }
  if (aPart.mFile != "state") {
    if (absl::Status status = CheckBlobName(aPart.mFile); !status.ok()) {
      return status;
    }
  }
  auto stored = StorePart(*mState, aPart);
  RecordFirstFailure(*mState, stored.status()).IgnoreError();
  return stored;
}

absl::Status
DataFolder::WriteBlob(const std::string& aName,
                      uint64_t aOffset,
                      std::string_view aBytes)
{
  if (!mState->mFailure.ok()) {
    return mState->mFailure;
  }
  if (absl::Status status = CheckBlobName(aName); !status.ok()) {
    return status;
  }
  return RecordFirstFailure(*mState,
                            WriteBlobBytes(*mState, aName, aOffset, aBytes));
}

absl::StatusOr<std::string>
DataFolder::ReadBlob(const std::string& aName,
                     uint64_t aOffset,
                     uint32_t aLength)
{
  if (absl::Status status = CheckBlobName(aName); !status.ok()) {
    return status;
  }
  auto file = OpenBlob(*mState, aName, false);
  if (!file.ok()) {
    return file.status();
  }
  return ReadAt(**file, BlobFolder(*mState) + "/" + aName, aOffset, aLength);
}

absl::Status
DataFolder::RemoveBlob(const std::string& aName)
{
  if (!mState->mFailure.ok()) {
    return mState->mFailure;
  }
  if (absl::Status status = CheckBlobName(aName); !status.ok()) {
    return status;
  }
  return RecordFirstFailure(*mState, RemoveBlobFile(*mState, aName));
}

} // namespace caraway
