#pragma once
// In-memory disk of a control replica. Only synced data survives a crash:
// writes that were not reported as synced and all blob writes since the last
// snapshot are lost.

#include <map>
#include <string>
#include <vector>

#include "caraway/caraway.h"

namespace caraway::fleet {

using Blobs = std::map<std::string, std::string>;

struct MemoryDisk
{
  RaftRecovered mDurable;
  std::string mState;  // of the durable snapshot
  Blobs mDurableBlobs; // as synced by the snapshot
  Blobs mBlobs;        // as written
  std::vector<RaftWrite> mUnsynced;

  // Marks of all snapshots ever taken, shared by the disks of a fleet.
  std::map<LogIndex, SnapshotMark>* mMarks = nullptr;

  // A snapshot being received.
  std::map<std::string, std::string> mIncoming;
  LogIndex mIncomingIndex;
};

// Marks all writes up to and including number aWrite as synced.
void
SyncDisk(MemoryDisk& aDisk, uint64_t aWrite);

void
CrashDisk(MemoryDisk& aDisk);

void
SaveToDisk(MemoryDisk& aDisk, const SnapshotMark& aMark, std::string aState);

std::string
ReadBlobBytes(const MemoryDisk& aDisk, const ReadBlob& aRead);

void
WriteBlobBytes(MemoryDisk& aDisk, const WriteBlob& aWrite);

// Each part is a whole file: fuzz states are far below the message size limit.
SnapshotPartRead
ReadSnapshotFile(const MemoryDisk& aDisk, const RaftReadSnapshotPart& aRead);

SnapshotPartStored
StoreSnapshotFile(MemoryDisk& aDisk, const RaftStoreSnapshotPart& aStore);

} // namespace caraway::fleet
