// Connects the control role to the event loop, its peers, HTTP and the data
// folder.

#include "caraway/runtime/control_host.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "caraway/base/error.h"
#include "caraway/base/visitor.h"
#include "caraway/consensus/raft_api.h"
#include "caraway/runtime/logging.h"
#include "caraway/runtime/process_metrics.h"

namespace caraway {

namespace {

// For the last replies to operators, once the role has stopped.
constexpr Duration kReplyTime = Seconds(1);

// Between attempts to open the data folder. An attempt on a disk that refuses
// costs one small write.
constexpr Duration kStorageRetry = Millis(200);
// The pause doubles with each loss that follows the last one sooner than this.
constexpr Duration kStorageSteady = Seconds(10);
constexpr Duration kMaxStorageRetry = Seconds(2);
// Between log lines while the disk keeps refusing.
constexpr Duration kStorageLogInterval = Seconds(5);

} // namespace

ControlHost::ControlHost(Loop& aLoop,
                         const ControlSettings& aSettings,
                         const std::string& aDataFolder,
                         const PeerSettings& aPeer,
                         const HttpServerSettings& aHttp)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mIdFromFolder(aSettings.mReplica.IsNone())
  , mGivenReplicas(aSettings.mInitialReplicas)
  , mPath(aDataFolder)
  , mPeers(aLoop, aPeer)
  , mHttp(aLoop, aHttp)
  , mStorageRetry(aLoop, [this] { RetryStorage(); })
  , mLogWorker(aLoop, "log")
  , mSnapshotWorker(aLoop, "snapshot")
  , mPump(
      aLoop,
      { [this](MonoTime aNow,
               const ControlEvent& aEvent,
               std::vector<ControlAction>& aOut) { Step(aNow, aEvent, aOut); },
        [this](ControlAction& aAction) { CarryOut(aAction); },
        [this] { return mControl ? NextWakeup(*mControl) : kNever; },
        [this] { ScheduleSync(); } })
  , mExit(aLoop, [this] { return mHttp.UnsentBytes(); })
{
}

absl::Status
ControlHost::Start()
{
  mStorageLostAt = mLoop.Now();
  for (DiskWorker* worker : { &mLogWorker, &mSnapshotWorker }) {
    if (absl::Status status = worker->Start(); !status.ok()) {
      return status;
    }
  }
  // Before the listeners: nobody reads them while the disk does not answer.
  absl::Status storage = OpenFolder();
  if (!storage.ok() && KindOf(storage) != ErrorKind::eDiskFailed) {
    return storage;
  }
  if (auto status = mPeers.Listen(); !status.ok()) {
    return status;
  }
  if (auto status = mHttp.Listen(); !status.ok()) {
    return status;
  }
  mSettings.mAddress = mPeers.Address();
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
  if (storage.ok()) {
    storage = StartRole();
    if (!storage.ok()) {
      return storage;
    }
  }
  std::vector<LogField> fields{ { "peer", mPeers.Address().mValue },
                                { "http", mHttp.Address() } };
  fields.insert(fields.end(), mRecovery.begin(), mRecovery.end());
  WriteLog(LogLevel::eInfo, "listening", fields);
  if (storage.ok()) {
    mPump.Post(Wakeup{});
  } else {
    LoseStorage(storage);
  }
  return absl::OkStatus();
}

absl::Status
ControlHost::StartRole()
{
  const RecoveryReport report = mFolder->Report();
  RaftRecovered recovered = mFolder->Recovered();
  mDisk = recovered.mDisk;
  if (mIdFromFolder) {
    // A replica that lost its disk gets a new id.
    mSettings.mReplica = ReplicaId(mDisk);
  }
  mSettings.mInitialReplicas =
    mFolder->IsFounder() ? SingleReplicaSet() : mGivenReplicas;
  mRecovery = {
    { "replica", absl::StrCat(mSettings.mReplica.mValue) },
    { "recovered_entries", absl::StrCat(recovered.mEntries.size()) },
    { "snapshot_index", absl::StrCat(recovered.mSnapshot.mIndex.mValue) },
    { "segments", absl::StrCat(report.mSegments) },
    { "leftover_segments", absl::StrCat(report.mLeftovers) },
    { "cut_bytes", absl::StrCat(report.mCutBytes) }
  };
  auto control = MakeControl(mSettings,
                             std::move(recovered),
                             mFolder->RecoveredState(),
                             mLoop.Now(),
                             mLoop.UnixSeconds());
  if (!control.ok()) {
    return control.status();
  }
  mControl = std::make_unique<Control>(std::move(*control));
  mStorage = Storage::eUp;
  return absl::OkStatus();
}

void
ControlHost::LoseStorage(const absl::Status& aStatus)
{
  if (mStorage == Storage::eFailing) {
    return;
  }
  ++mStorageLosses;
  // A disk with a little room fails again at the next large write.
  mStoragePause = mLoop.Now() - mStorageRegainedAt < kStorageSteady
                    ? std::min(mStoragePause * 2, kMaxStorageRetry)
                    : kStorageRetry;
  mStorageLostAt = mStorageLoggedAt = mLoop.Now();
  mStorageAttempts = 0;
  LogStorage(LogLevel::eError, "lost", std::string(aStatus.message()));
  mStorageRetry.ArmAt(mLoop.Now() + mStoragePause);
  if (mStorage == Storage::eUp) {
    mStorage = Storage::eFailing;
    mTail = mFolder->Tail();
    mUnsynced.clear();
    mPump.Post(StorageFailed{});
  }
}

void
ControlHost::RetryStorage()
{
  if (mLogWorker.Busy() || mSnapshotWorker.Busy()) {
    // They still work on files of the folder.
    mStorageRetry.ArmAt(mLoop.Now() + mStoragePause);
    return;
  }
  ++mStorageAttempts;
  FreeSpace();
  absl::Status status = DataFolder::Probe(mPath);
  if (status.ok() || KindOf(status) == ErrorKind::eNotFound) {
    status = OpenFolder();
  }
  if (status.ok()) {
    status = StartRole();
  }
  if (status.ok()) {
    mStorageRegainedAt = mLoop.Now();
    LogStorage(LogLevel::eWarning, "regained", "the disk takes writes again");
    mPump.Post(Wakeup{});
    return;
  }
  if (KindOf(status) != ErrorKind::eDiskFailed) {
    mLoop.Exit(ProcessEnd::eHalted, std::string(status.message()));
    return;
  }
  if (mLoop.Now() - mStorageLoggedAt >= kStorageLogInterval) {
    mStorageLoggedAt = mLoop.Now();
    LogStorage(LogLevel::eError, "away", std::string(status.message()));
  }
  mStorageRetry.ArmAt(mLoop.Now() + mStoragePause);
}

void
ControlHost::LogStorage(LogLevel aLevel,
                        const char* aChoice,
                        const std::string& aReason) const
{
  DecisionLog line;
  line.mLevel = aLevel;
  line.mEvent = "storage";
  line.mChoice = aChoice;
  line.mReason = aReason;
  line.mExtra = { { "away_ms",
                    absl::StrCat((mLoop.Now() - mStorageLostAt).Millis()) },
                  { "attempts", absl::StrCat(mStorageAttempts) },
                  { "losses", absl::StrCat(mStorageLosses) } };
  line.mExtra.insert(line.mExtra.end(), mRecovery.begin(), mRecovery.end());
  WriteLog(line);
}

void
ControlHost::Step(MonoTime aNow,
                  const ControlEvent& aEvent,
                  std::vector<ControlAction>& aOut)
{
  if (mControl == nullptr) {
    AnswerWithoutStorage(aEvent, aOut);
    return;
  }
  StepControl(*mControl, aNow, mLoop.UnixSeconds(), aEvent, aOut);
  if (!std::holds_alternative<StorageFailed>(aEvent)) {
    return;
  }
  // A group that was founded is not founded again, whatever the folder holds
  // when it comes back.
  mSettings.mFirstStart =
    mSettings.mFirstStart && TermOf(mControl->mRaft).IsNone();
  // The new role counts its keys from the start, and no key may come twice.
  ++mSettings.mSeed;
  mSettings.mKeySeed += mSettings.mKeySeed.empty() ? "" : "+";
  mRecovery.clear();
  const bool stopping = mControl->mStopping;
  mControl.reset();
  mFolder.reset();
  mStorage = Storage::eDown;
  if (stopping) {
    aOut.emplace_back(Stopped{});
  }
}

void
ControlHost::AnswerWithoutStorage(const ControlEvent& aEvent,
                                  std::vector<ControlAction>& aOut)
{
  constexpr int kUnavailable = 503;
  if (const auto* request = std::get_if<HttpRequest>(&aEvent)) {
    HttpResponse response;
    response.mCall = request->mCall;
    if (request->mPath == "/metrics") {
      response.mStatus = 200;
      response.mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } };
    } else {
      response.mStatus = kUnavailable;
      response.mHeaders = { { "Content-Type", "application/json" },
                            { "Retry-After", "1" } };
      response.mBody = R"({"error":{"code":"disk_failed",)"
                       R"("message":"this replica's disk takes no writes; )"
                       R"(try another replica"}})";
    }
    aOut.emplace_back(std::move(response));
  } else if (const auto* message = std::get_if<MessageReceived>(&aEvent)) {
    // Members that would wait for an answer try another replica at once.
    if (std::holds_alternative<Register>(message->mMessage) ||
        std::holds_alternative<Renew>(message->mMessage) ||
        std::holds_alternative<ControlCall>(message->mMessage)) {
      NotLeader reply;
      reply.mDiskAway = true;
      aOut.emplace_back(SendMessage{ message->mFrom, std::move(reply) });
    }
  } else if (std::holds_alternative<StopRequested>(aEvent)) {
    aOut.emplace_back(Stopped{});
  }
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
  // Before the group exists, so that a restart never finds a log without its
  // initial replica set.
  if (absl::Status status = mFolder->MarkFounder(); !status.ok()) {
    Check(status);
    return;
  }
  mSettings.mInitialReplicas = SingleReplicaSet();
  // The new role numbers its writes from the start.
  mUnsynced.clear();
  ++mFolderNumber;
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
ControlHost::Check(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return;
  }
  if (KindOf(aStatus) == ErrorKind::eDiskFailed) {
    LoseStorage(aStatus);
  } else {
    HaltRole(std::string(aStatus.message()));
  }
}

void
ControlHost::HaltRole(const std::string& aReason)
{
  mStorage = Storage::eFailing;
  mLoop.Exit(ProcessEnd::eHalted, aReason);
}

void
ControlHost::UseFolder(const RaftWrite& aWrite)
{
  if (const absl::Status status = mFolder->Append(aWrite); !status.ok()) {
    Check(status);
    return;
  }
  mUnsynced.push_back(aWrite.mWrite);
}

void
ControlHost::UseFolder(const RaftReadSnapshotPart& aRead)
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
ControlHost::UseFolder(const RaftStoreSnapshotPart& aStore)
{
  auto stored = mFolder->StoreSnapshotPart(aStore.mPart);
  if (!stored.ok()) {
    Check(stored.status());
    return;
  }
  if (aStore.mPart.mFileDone && stored->mMark.mIndex.IsNone()) {
    SyncBlobs();
  }
  SnapshotPartStored event;
  event.mFrom = aStore.mFrom;
  event.mReply = std::move(stored->mReply);
  event.mMark = std::move(stored->mMark);
  event.mState = std::move(stored->mState);
  mPump.Post(std::move(event));
}

void
ControlHost::UseFolder(const ReadBlob& aRead)
{
  auto bytes = mFolder->ReadBlob(aRead.mName, aRead.mOffset, aRead.mLength);
  mPump.Post(
    BlobRead{ aRead.mRead, bytes.ok(), bytes.ok() ? *bytes : std::string() });
}

void
ControlHost::UseFolder(const WriteBlob& aWrite)
{
  Check(mFolder->WriteBlob(aWrite.mName, aWrite.mOffset, aWrite.mBytes));
}

void
ControlHost::UseFolder(const RemoveBlob& aRemove)
{
  Check(mFolder->RemoveBlob(aRemove.mName));
}

void
ControlHost::AddStorageMetrics(HttpResponse& aResponse) const
{
  const bool up = mStorage == Storage::eUp;
  const int64_t away = up ? 0 : (mLoop.Now() - mStorageLostAt).Millis();
  AddMetric(aResponse, "caraway_control_storage_up", "gauge", up ? 1 : 0);
  AddMetric(aResponse,
            "caraway_control_data_set_aside",
            "gauge",
            mDataSetAside ? 1 : 0);
  AddMetric(aResponse,
            "caraway_control_storage_away_ms",
            "gauge",
            static_cast<uint64_t>(away));
  AddMetric(aResponse,
            "caraway_control_storage_losses_total",
            "counter",
            mStorageLosses);
  AddMetric(aResponse,
            "caraway_control_slow_disk_total",
            "counter",
            mLogWorker.SlowTasks() + mSnapshotWorker.SlowTasks());
}

void
ControlHost::CarryOut(ControlAction& aAction)
{
  std::visit(Visitor{
               [this](const SendMessage& aSend) {
                 if (mStorage != Storage::eFailing) {
                   mPeers.Send(aSend.mTo, aSend.mMessage);
                 }
               },
               [this](HttpResponse& aResponse) {
                 AddProcessMetrics(aResponse, mPeers.Counters());
                 AddMetric(aResponse,
                           kClosedConnectionsMetric,
                           "counter",
                           mHttp.ClosedConnections());
                 AddStorageMetrics(aResponse);
                 mHttp.Respond(aResponse);
               },
               [this](const HttpBegin& aBegin) { mHttp.Begin(aBegin); },
               [this](const HttpChunk& aChunk) { mHttp.Chunk(aChunk); },
               [this](const HttpEnd& aEnd) { mHttp.End(aEnd); },
               [this](const HttpAbort& aAbort) { mHttp.Abort(aAbort); },
               [](const DecisionLog& aDecision) { WriteLog(aDecision); },
               [this](const Halt& aHalt) { HaltRole(aHalt.mReason); },
               [this](const BeginGroup&) { CreateGroup(); },
               [this](const Stopped&) {
                 mStorageRetry.Disarm();
                 mExit.Begin(mLoop.Now() + kReplyTime);
               },
               [this](const auto& aStorage) {
                 if (mStorage == Storage::eUp) {
                   UseFolder(aStorage);
                 }
               },
             },
             aAction);
}

} // namespace caraway
