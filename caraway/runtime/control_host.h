#pragma once
// Runs the control role on the event loop and gives it peers, HTTP and the data
// folder.
//
// When the disk refuses a write or a sync, the replica leaves its group at once
// and keeps nothing that is not durable, and the host opens the folder again
// until that works. The process goes on: a restart would meet the same disk.

#include <string>

#include "caraway/control/control.h"
#include "caraway/runtime/data_folder.h"
#include "caraway/runtime/disk_worker.h"
#include "caraway/runtime/http_server.h"
#include "caraway/runtime/logging.h"
#include "caraway/runtime/peer_transport.h"
#include "caraway/runtime/role_pump.h"
#include "caraway/runtime/sent_exit.h"

namespace caraway {

class ControlHost
{
public:
  ControlHost(Loop& aLoop,
              const ControlSettings& aSettings,
              const std::string& aDataFolder,
              const PeerSettings& aPeer,
              const HttpServerSettings& aHttp);

  // Recovers the data folder, binds the listeners and starts the role. A disk
  // that refuses is no failure: the folder is opened later.
  absl::Status Start();

  const HttpServer& Http() const { return mHttp; }

private:
  enum class Storage : uint8_t
  {
    eUp,
    eFailing, // a write failed; the role has not been told yet
    eDown,    // there is no role and no folder
  };

  void Step(MonoTime aNow,
            const ControlEvent& aEvent,
            std::vector<ControlAction>& aOut);
  // Answers what cannot be served without the data folder.
  void AnswerWithoutStorage(const ControlEvent& aEvent,
                            std::vector<ControlAction>& aOut);
  void CarryOut(ControlAction& aAction);
  // Carry out actions that need the data folder.
  void UseFolder(const RaftWrite& aWrite);
  void UseFolder(const SaveSnapshot& aSave);
  void UseFolder(const RaftReadSnapshotPart& aRead);
  void UseFolder(const RaftStoreSnapshotPart& aStore);
  void UseFolder(const ReadBlob& aRead);
  void UseFolder(const WriteBlob& aWrite);
  void UseFolder(const RemoveBlob& aRemove);
  void AddStorageMetrics(HttpResponse& aResponse) const;

  // The replica set of a new group: this replica alone.
  ReplicaSet SingleReplicaSet() const;
  // Starts a new group with this replica as its only member.
  void CreateGroup();

  // Group commit: one sync covers the writes for all messages received in one
  // iteration of the loop. With a sync per write, a replica waits for its disk
  // most of the time while a large fleet registers.
  void ScheduleSync();
  void SyncWrites();
  // Syncs the blobs of an incoming snapshot while the next ones arrive, so that
  // little is left at its end.
  void SyncBlobs();

  // Damaged data of a replica whose id comes from its folder is set aside: the
  // replica goes on as an empty one, as after a lost disk.
  absl::Status OpenFolder();
  absl::Status SetDataAside(const absl::Status& aDamage);
  // Removes data that was set aside if the disk is full.
  void FreeSpace() const;
  // Makes the role from the folder.
  absl::Status StartRole();
  // Stops the role and begins to open the folder again. From here on, nothing
  // is sent that could depend on data that is not durable; callers that wait
  // for the role are told so.
  void LoseStorage(const absl::Status& aStatus);
  void RetryStorage();
  // Ends the process: the role cannot go on with its data.
  void HaltRole(const std::string& aReason);
  void LogStorage(LogLevel aLevel,
                  const char* aChoice,
                  const std::string& aReason) const;
  // Handles an error status: loses the storage, or ends the process if another
  // attempt can't help.
  void Check(const absl::Status& aStatus);

  Loop& mLoop;
  ControlSettings mSettings;
  // The replica id is that of the folder, for a group that manages itself.
  const bool mIdFromFolder;
  const ReplicaSet mGivenReplicas; // by the settings, for an empty folder
  std::string mPath;
  std::unique_ptr<DataFolder> mFolder; // null unless mStorage is eUp
  PeerTransport mPeers;
  HttpServer mHttp;                  // operators
  std::unique_ptr<Control> mControl; // null while mStorage is eDown
  // Numbers of the writes that were appended and are in no sync yet.
  std::vector<uint64_t> mUnsynced;
  bool mSyncScheduled = false;     // SyncWrites is deferred in the loop
  uint64_t mFolderNumber = 0;      // of the folder that a task was begun on
  uint64_t mDisk = 0;              // identity of the data folder
  std::vector<LogField> mRecovery; // what the folder held when it was opened
  bool mDataSetAside = false;      // the folder held data that was damaged

  Storage mStorage = Storage::eDown;
  SyncedTail mTail; // of the folder that failed
  MonoTime mStorageLostAt;
  MonoTime mStorageLoggedAt;
  MonoTime mStorageRegainedAt{ -kNever.mMicros };
  Duration mStoragePause;        // before the next attempt
  uint64_t mStorageAttempts = 0; // since mStorageLostAt
  uint64_t mStorageLosses = 0;   // since the start of the process
  Timer mStorageRetry;
  // A snapshot takes many syncs, and commits do not wait for it.
  DiskWorker mLogWorker;
  DiskWorker mSnapshotWorker;

  RolePump<ControlEvent, ControlAction> mPump;
  SentExit mExit;
};

} // namespace caraway
