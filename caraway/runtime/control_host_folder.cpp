// How the control role comes by its data folder: damaged data of a replica
// whose id comes from the folder is set aside.

#include <filesystem>
#include <system_error>

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

} // namespace caraway
