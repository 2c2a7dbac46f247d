#pragma once
// Events that the control role handles and actions that it requests from its
// host.

#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "caraway/base/http.h"
#include "caraway/base/role_io.h"
#include "caraway/consensus/raft.h"

namespace caraway {

// Action: write bytes at an offset of a blob file under blobs/. Writing the
// same bytes again is harmless. The write is not synced; SaveSnapshot syncs all
// blobs first.
struct WriteBlob
{
  std::string mName; // "file-..." or "batch_..." plus ".data" or ".index"
  uint64_t mOffset = 0;
  std::string mBytes;
};

struct RemoveBlob
{
  std::string mName;
};

// Action: read from a blob; answered by BlobRead with the same mRead.
struct ReadBlob
{
  uint64_t mRead = 0;
  std::string mName;
  uint64_t mOffset = 0;
  uint32_t mLength = 0; // fewer bytes come back at the end of the file
};

// Event: the result of ReadBlob.
struct BlobRead
{
  uint64_t mRead = 0;
  bool mOk = true;
  std::string mBytes;
};

// Event: a RaftWrite was synced or failed.
struct LogWritten
{
  uint64_t mWrite = 0;
  bool mOk = true;
};

// Action: sync all blobs, then write and sync the snapshot file.
struct SaveSnapshot
{
  SnapshotMark mMark;
  std::string mState; // encoded ControlState
};

// Event: the data folder failed. The replica leaves its group, and callers that
// wait for it are told that their outcome is unknown or that nothing was done.
// It is made anew from the folder.
struct StorageFailed
{};

// Event: the result of SaveSnapshot.
struct SnapshotSaved
{
  LogIndex mIndex;
  bool mOk = true;
};

// Event: the result of a RaftReadSnapshotPart.
struct SnapshotPartRead
{
  ReplicaId mTo;
  SnapshotPart mPart;
  bool mOk = true;
};

// Event: the result of a RaftStoreSnapshotPart. mMark and mState are set when
// the whole snapshot is stored.
struct SnapshotPartStored
{
  ReplicaId mFrom;
  SnapshotPartReply mReply;
  SnapshotMark mMark;
  std::string mState;
  bool mOk = true;
};

// Action: the disk failed or data is corrupt; the replica must stop.
struct Halt
{
  std::string mReason;
};

// Action: this replica founds a new replication group. The host records it in
// the data folder before anything else happens.
struct BeginGroup
{};

using ControlEvent = std::variant<Wakeup,
                                  MessageReceived,
                                  PeerLost,
                                  HttpRequest,
                                  HttpClosed,
                                  LogWritten,
                                  BlobRead,
                                  SnapshotSaved,
                                  SnapshotPartRead,
                                  SnapshotPartStored,
                                  StorageFailed,
                                  StopRequested>;

using ControlActionVariant = std::variant<SendMessage,
                                          HttpResponse,
                                          HttpBegin,
                                          HttpChunk,
                                          HttpEnd,
                                          HttpAbort,
                                          RaftWrite,
                                          RaftReadSnapshotPart,
                                          RaftStoreSnapshotPart,
                                          SaveSnapshot,
                                          WriteBlob,
                                          RemoveBlob,
                                          ReadBlob,
                                          DecisionLog,
                                          Halt,
                                          BeginGroup,
                                          Stopped>;

// Its special members are compiled in control_io.cpp only: each file that
// moves or drops one would compile them for all of its types.
struct ControlAction : ControlActionVariant
{
  ControlAction();
  template<class T>
  requires(!std::is_base_of_v<ControlActionVariant, std::remove_cvref_t<T>>)
    // NOLINTNEXTLINE(bugprone-forwarding-reference-overload): it is constrained
    ControlAction(T&& aOne)
    : ControlActionVariant(std::in_place_type<std::remove_cvref_t<T>>,
                           std::forward<T>(aOne))
  {
  }
  ControlAction(const ControlAction& aOther);
  ControlAction(ControlAction&& aOther) noexcept;
  ControlAction& operator=(const ControlAction& aOther);
  ControlAction& operator=(ControlAction&& aOther) noexcept;
  ~ControlAction();
};

} // namespace caraway
