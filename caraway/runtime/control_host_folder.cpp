// How the control role comes by its data folder, where damaged data of a
// replica whose id comes from the folder is set aside, and the syncs that
// threads wait for.

#include <filesystem>
#include <system_error>
#include <utility>

#include "caraway/base/error.h"
#include "caraway/runtime/control_host.h"
#include "caraway/runtime/logging.h"

namespace caraway {

namespace {

// With less room, a disk that refused a write needs the space of damaged data.
constexpr uint64_t kScarceBytes = 64 << 20;

} // namespace

absl::Status
ControlHost::OpenFolder()
{
  auto folder = DataFolder::Open(mPath, {}, &mTail);
  // A replica with a given id must not come back under it without its votes.
  if (mIdFromFolder && KindOf(folder.status()) == ErrorKind::eCorruptData) {
    if (absl::Status status = SetDataAside(folder.status()); !status.ok()) {
      return status;
    }
    mTail = {};
    folder = DataFolder::Open(mPath, {}, &mTail);
  }
  if (!folder.ok()) {
    return folder.status();
  }
  if (folder.value()->Report().mSetAside) {
    // There was a group, which may live on without this replica.
    mSettings.mFirstStart = false;
    mDataSetAside = true;
  }
  mFolder = std::move(*folder);
  ++mFolderNumber;
  mTail = {};
  return absl::OkStatus();
}

absl::Status
ControlHost::SetDataAside(const absl::Status& aDamage)
{
  const auto kept = DataFolder::SetAside(mPath);
  DecisionLog line;
  line.mLevel = LogLevel::eError;
  line.mEvent = "data_damaged";
  line.mChoice = kept.ok() ? "set_aside" : "left";
  line.mReason = std::string(aDamage.message());
  line.mExtra = {
    { "kept", kept.ok() ? *kept : std::string(kept.status().message()) }
  };
  WriteLog(line);
  return kept.status();
}

void
ControlHost::FreeSpace() const
{
  std::error_code error;
  const auto space = std::filesystem::space(mPath, error);
  if (mDataSetAside && !error && space.available < kScarceBytes) {
    DataFolder::RemoveSetAside(mPath).IgnoreError();
  }
}

void
ControlHost::ScheduleSync()
{
  if (mUnsynced.empty() || mSyncScheduled) {
    return;
  }
  mSyncScheduled = true;
  mLoop.Defer([this] {
    mSyncScheduled = false;
    if (mStorage == Storage::eUp) {
      SyncWrites();
    }
  });
}

void
ControlHost::SyncWrites()
{
  if (mUnsynced.empty() || mLogWorker.Busy()) {
    return; // the end of the sync in progress schedules the next one
  }
  const auto sync = std::make_shared<const PendingSync>(mFolder->BeginSync());
  mLogWorker.Run(
    [sync] { return DataFolder::RunSync(*sync); },
    [this, sync, writes = std::exchange(mUnsynced, {}), number = mFolderNumber](
      const absl::Status& aStatus) {
      ScheduleSync();
      if (mStorage != Storage::eUp || number != mFolderNumber) {
        return;
      }
      if (const absl::Status status = mFolder->FinishSync(*sync, aStatus);
          !status.ok()) {
        Check(status);
        return;
      }
      for (const uint64_t write : writes) {
        mPump.Post(LogWritten{ write });
      }
    });
}

void
ControlHost::UseFolder(const SaveSnapshot& aSave)
{
  const auto snapshot = std::make_shared<const PendingSnapshot>(
    mFolder->BeginSnapshot(aSave.mMark, aSave.mState));
  mSnapshotWorker.Run(
    [snapshot] { return DataFolder::RunSnapshot(*snapshot); },
    [this, snapshot, number = mFolderNumber](const absl::Status& aStatus) {
      if (mStorage != Storage::eUp || number != mFolderNumber) {
        return;
      }
      if (const absl::Status status =
            mFolder->FinishSnapshot(*snapshot, aStatus);
          !status.ok()) {
        Check(status);
        return;
      }
      mPump.Post(SnapshotSaved{ snapshot->mMark.mIndex });
    });
}

void
ControlHost::SyncBlobs()
{
  if (mSnapshotWorker.Busy()) {
    return;
  }
  const auto sync =
    std::make_shared<const PendingBlobSync>(mFolder->BeginBlobSync());
  mSnapshotWorker.Run(
    [sync] { return DataFolder::RunBlobSync(*sync); },
    [this, sync, number = mFolderNumber](const absl::Status& aStatus) {
      if (mStorage == Storage::eUp && number == mFolderNumber) {
        Check(mFolder->FinishBlobSync(*sync, aStatus));
      }
    });
}

} // namespace caraway
