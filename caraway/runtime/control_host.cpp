// Connects the control role to the event loop, its peers, HTTP and the data
// folder.

#include "caraway/runtime/control_host.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "caraway/base/visitor.h"
#include "caraway/runtime/data_folder_files.h"
#include "caraway/runtime/logging.h"
#include "caraway/runtime/process_metrics.h"

namespace caraway {

namespace {

// For the last replies to operators, once the role has stopped.
constexpr Duration kReplyTime = Seconds(1);

// This file marks a replica that created its group as the only member.
constexpr const char* kFounderFileName = "founder";
constexpr const char* kFounderPathSuffix = "/founder";

} // namespace

ControlHost::ControlHost(Loop& aLoop,
                         const ControlSettings& aSettings,
                         const std::string& aDataFolder,
                         const PeerSettings& aPeer,
                         const HttpServerSettings& aHttp)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mPath(aDataFolder)
  , mPeers(aLoop, aPeer)
  , mHttp(aLoop, aHttp)
  , mPump(aLoop,
          { [this](MonoTime aNow,
                   const ControlEvent& aEvent,
                   std::vector<ControlAction>& aOut) {
             StepControl(*mControl, aNow, mLoop.UnixSeconds(), aEvent, aOut);
           },
            [this](ControlAction& aAction) { CarryOut(aAction); },
            [this] { return NextWakeup(*mControl); },
            [this] { ScheduleSync(); } })
  , mExit(aLoop, [this] { return mHttp.UnsentBytes(); })
{
}

absl::Status
ControlHost::Start()
{
  auto folder = DataFolder::Open(mPath);
  if (!folder.ok()) {
    return folder.status();
  }
  mFolder = std::move(*folder);
  if (auto status = mPeers.Listen(); !status.ok()) {
    return status;
  }
  if (auto status = mHttp.Listen(); !status.ok()) {
    return status;
  }
  mSettings.mAddress = mPeers.Address();
  RaftRecovered recovered = mFolder->Recovered();
  if (mSettings.mReplica.IsNone()) {
    // For a group that manages its own membership, the identity of the folder
    // is the replica id, so a replica that lost its disk gets a new id.
    mSettings.mReplica = ReplicaId(recovered.mDisk);
  }
  mDisk = recovered.mDisk;
  if (ReadWholeFile(mPath + kFounderPathSuffix).ok()) {
    mSettings.mInitialReplicas = SingleReplicaSet();
  }
  const std::string entries = absl::StrCat(recovered.mEntries.size());
  const std::string snapshot = absl::StrCat(recovered.mSnapshot.mIndex.mValue);
  auto control = MakeControl(mSettings,
                             std::move(recovered),
                             mFolder->RecoveredState(),
                             mLoop.Now(),
                             mLoop.UnixSeconds());
  if (!control.ok()) {
    return control.status();
  }
  mControl = std::make_unique<Control>(std::move(*control));
  mPeers.mOnMessage.connect(
    [this](const PeerAddress& aFrom, const Message& aMessage) {
      mPump.Post(MessageReceived{ aFrom, aMessage });
    });
  mPeers.mOnPeerLost.connect(
    [this](const PeerAddress& aPeer) { mPump.Post(PeerLost{ aPeer }); });
  mHttp.mOnRequest.connect(
    [this](const HttpRequest& aRequest) { mPump.Post(aRequest); });
  mHttp.mOnClosed.connect(
    [this](const HttpClosed& aClosed) { mPump.Post(aClosed); });
  mLoop.mOnStop.connect([this] { mPump.Post(StopRequested{}); });
  mLoop.mOnReload.connect([this] {
    LogReload("peers", mPeers.ReloadTls());
    LogReload(mHttp.Address(), mHttp.ReloadTls());
  });
  WriteLog(LogLevel::eInfo,
           "listening",
           { { "peer", mPeers.Address().mValue },
             { "http", mHttp.Address() },
             { "replica", absl::StrCat(mSettings.mReplica.mValue) },
             { "recovered_entries", entries },
             { "snapshot_index", snapshot } });
  mPump.Post(Wakeup{});
  return absl::OkStatus();
}

ReplicaSet
ControlHost::SingleReplicaSet() const
{
  Replica self;
  self.mId = mSettings.mReplica;
  self.mAddress = mSettings.mAddress.mValue;
  return ReplicaSet{ { self } };
}

void
ControlHost::CreateGroup()
{
  // The founder file is durable before the group exists, so that a restart
  // never finds a log without its initial replica set.
  Check(ReplaceFile(mPath, kFounderFileName, "1"));
  if (mFailed) {
    return;
  }
  mSettings.mInitialReplicas = SingleReplicaSet();
  RaftRecovered fresh;
  fresh.mDisk = mDisk;
  auto control = MakeControl(
    mSettings, std::move(fresh), {}, mLoop.Now(), mLoop.UnixSeconds());
  Check(control.status());
  if (control.ok()) {
    *mControl = std::move(*control);
    mPump.Post(Wakeup{});
  }
}

void
ControlHost::Fail(const std::string& aReason)
{
  if (mFailed) {
    return;
  }
  mFailed = true;
  WriteLog(LogLevel::eError, "replica_halted", { { "reason", aReason } });
  mLoop.Exit();
}

void
ControlHost::Check(const absl::Status& aStatus)
{
  if (!aStatus.ok()) {
    Fail(std::string(aStatus.message()));
  }
}

void
ControlHost::Write(const RaftWrite& aWrite)
{
  const absl::Status status = mFolder->Append(aWrite);
  if (!status.ok()) {
    Check(status);
    mPump.Post(LogWritten{ aWrite.mWrite, false });
    return;
  }
  mUnsynced.push_back(aWrite.mWrite);
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
    SyncWrites();
  });
}

void
ControlHost::SyncWrites()
{
  if (mUnsynced.empty()) {
    return;
  }
  const absl::Status status = mFolder->Sync();
  Check(status);
  for (const uint64_t write : std::exchange(mUnsynced, {})) {
    mPump.Post(LogWritten{ write, status.ok() });
  }
}

void
ControlHost::Save(const SaveSnapshot& aSave)
{
  SyncWrites();
  const absl::Status status = mFolder->SaveSnapshot(aSave.mMark, aSave.mState);
  Check(status);
  mPump.Post(SnapshotSaved{ aSave.mMark.mIndex, status.ok() });
}

void
ControlHost::ReadPart(const RaftReadSnapshotPart& aRead)
{
  auto part = mFolder->ReadSnapshotPart(aRead.mFile, aRead.mOffset);
  SnapshotPartRead read;
  read.mTo = aRead.mTo;
  read.mOk = part.ok();
  if (part.ok()) {
    read.mPart = std::move(*part);
  }
  mPump.Post(std::move(read));
}

void
ControlHost::StorePart(const RaftStoreSnapshotPart& aStore)
{
  auto stored = mFolder->StoreSnapshotPart(aStore.mPart);
  Check(stored.status());
  SnapshotPartStored event;
  event.mFrom = aStore.mFrom;
  event.mOk = stored.ok();
  if (stored.ok()) {
    event.mReply = std::move(stored->mReply);
    event.mMark = std::move(stored->mMark);
    event.mState = std::move(stored->mState);
  }
  mPump.Post(std::move(event));
}

void
ControlHost::Read(const ReadBlob& aRead)
{
  auto bytes = mFolder->ReadBlob(aRead.mName, aRead.mOffset, aRead.mLength);
  mPump.Post(
    BlobRead{ aRead.mRead, bytes.ok(), bytes.ok() ? *bytes : std::string() });
}

void
ControlHost::CarryOut(ControlAction& aAction)
{
  std::visit(
    Visitor{
      [this](const SendMessage& aSend) {
        // After a disk failure, no message may be sent: it could depend on data
        // that is not durable.
        if (!mFailed) {
          mPeers.Send(aSend.mTo, aSend.mMessage);
        }
      },
      [this](HttpResponse& aResponse) {
        AddProcessMetrics(aResponse, mPeers.Counters());
        mHttp.Respond(aResponse);
      },
      [this](const HttpBegin& aBegin) { mHttp.Begin(aBegin); },
      [this](const HttpChunk& aChunk) { mHttp.Chunk(aChunk); },
      [this](const HttpEnd& aEnd) { mHttp.End(aEnd); },
      [this](const HttpAbort& aAbort) { mHttp.Abort(aAbort); },
      [this](const RaftWrite& aWrite) { Write(aWrite); },
      [this](const RaftReadSnapshotPart& aRead) { ReadPart(aRead); },
      [this](const RaftStoreSnapshotPart& aStore) { StorePart(aStore); },
      [this](const SaveSnapshot& aSave) { Save(aSave); },
      [this](const WriteBlob& aWrite) {
        Check(mFolder->WriteBlob(aWrite.mName, aWrite.mOffset, aWrite.mBytes));
      },
      [this](const RemoveBlob& aRemove) {
        Check(mFolder->RemoveBlob(aRemove.mName));
      },
      [this](const ReadBlob& aRead) { Read(aRead); },
      [](const DecisionLog& aDecision) { WriteLog(aDecision); },
      [this](const Halt& aHalt) { Fail(aHalt.mReason); },
      [this](const BeginGroup&) { CreateGroup(); },
      [this](const Stopped&) { mExit.Begin(mLoop.Now() + kReplyTime); },
    },
    aAction);
}

} // namespace caraway
