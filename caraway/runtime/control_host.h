#pragma once
// Runs the control role on the event loop and gives it peers, HTTP and the data
// folder.

#include <string>

#include "caraway/control/control.h"
#include "caraway/runtime/data_folder.h"
#include "caraway/runtime/http_server.h"
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

  // Recovers the data folder, binds the listeners and starts the role.
  absl::Status Start();

  const HttpServer& Http() const { return mHttp; }

private:
  void CarryOut(ControlAction& aAction);
  void Write(const RaftWrite& aWrite);
  void Save(const SaveSnapshot& aSave);
  void ReadPart(const RaftReadSnapshotPart& aRead);
  void StorePart(const RaftStoreSnapshotPart& aStore);
  void Read(const ReadBlob& aRead);

  // The replica set of a new group: this replica alone.
  ReplicaSet SingleReplicaSet() const;
  // Starts a new group with this replica as its only member.
  void CreateGroup();

  // Group commit: one sync covers the writes for all messages received in one
  // iteration of the loop. With a sync per write, a replica waits for its disk
  // most of the time while a large fleet registers.
  void ScheduleSync();
  void SyncWrites();

  // Halts the replica at once after a fatal error: no message that depends on
  // the disk may be sent any more.
  void Fail(const std::string& aReason);
  // Calls Fail if the status is an error.
  void Check(const absl::Status& aStatus);

  Loop& mLoop;
  ControlSettings mSettings;
  std::string mPath;
  std::unique_ptr<DataFolder> mFolder;
  PeerTransport mPeers;
  HttpServer mHttp; // operators
  std::unique_ptr<Control> mControl;
  std::vector<uint64_t>
    mUnsynced;                 // numbers of the writes appended but not synced
  bool mSyncScheduled = false; // SyncWrites is deferred in the loop
  uint64_t mDisk = 0;          // identity of the data folder
  bool mFailed = false;
  RolePump<ControlEvent, ControlAction> mPump;
  SentExit mExit;
};

} // namespace caraway
