#pragma once
// Runs the control role on the event loop, with its data folder.

#include <string>

#include "caraway/control/control.h"
#include "caraway/runtime/data_folder.h"
#include "caraway/runtime/http_server.h"
#include "caraway/runtime/peer_transport.h"
#include "caraway/runtime/role_pump.h"

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

  // The set of a group that this replica begins, and its beginning.
  ReplicaSet SingleReplicaSet() const;
  void CreateGroup();

  // One sync covers the writes for all messages that came in one turn of the
  // loop: with a sync each, a replica waits for its disk most of the time while
  // a large fleet registers.
  void ScheduleSync();
  void SyncWrites();

  // The replica stops at once: nothing that depends on the disk may be
  // acknowledged any more.
  void Fail(const std::string& aReason);
  void Check(const absl::Status& aStatus);

  Loop& mLoop;
  ControlSettings mSettings;
  std::string mPath;
  std::unique_ptr<DataFolder> mFolder;
  PeerTransport mPeers;
  HttpServer mHttp; // operators
  std::unique_ptr<Control> mControl;
  std::vector<uint64_t> mUnsynced; // numbers of writes appended, not yet synced
  bool mSyncScheduled = false;     // deferred to the end of the turn
  uint64_t mDisk = 0;              // identity of the data folder
  bool mFailed = false;
  RolePump<ControlEvent, ControlAction> mPump;
};

} // namespace caraway
