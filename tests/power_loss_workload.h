#pragma once
// Random work on a data folder, with a record of its changes on disk and of
// what may be found after a power loss before each of them. Syncs and snapshots
// may be split into their steps, the disk may refuse a run of changes, and the
// process may be killed.

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "caraway/base/error.h"
#include "tests/data_folder_fixture.h"
#include "tests/disk_model.h"

namespace caraway {

// Contents of a folder: the snapshot with its blobs, and the entries after it.
struct Contents
{
  SnapshotMark mSnapshot;
  std::vector<LogEntry> mEntries;
  HardState mHard;
  FileSet mBlobs; // as of the snapshot

  uint64_t Last() const { return mSnapshot.mIndex.mValue + mEntries.size(); }
};

inline bool
IsEqual(const Contents& aExpected, const RaftRecovered& aFound)
{
  return aFound.mSnapshot.mIndex == aExpected.mSnapshot.mIndex &&
         aFound.mHard.mTerm == aExpected.mHard.mTerm &&
         aFound.mHard.mVotedFor == aExpected.mHard.mVotedFor &&
         std::equal(aExpected.mEntries.begin(),
                    aExpected.mEntries.end(),
                    aFound.mEntries.begin(),
                    aFound.mEntries.end(),
                    [](const LogEntry& aOne, const LogEntry& aOther) {
                      return aOne.mIndex == aOther.mIndex &&
                             aOne.mTerm == aOther.mTerm &&
                             aOne.mPayload == aOther.mPayload;
                    });
}

inline bool
HasBlobs(DataFolder& aFolder,
         const FileSet& aBlobs,
         const std::set<std::string>& aRemoved)
{
  return std::all_of(aBlobs.begin(), aBlobs.end(), [&](const auto& aBlob) {
    const auto bytes = aFolder.ReadBlob(
      aBlob.first, 0, static_cast<uint32_t>(aBlob.second.size()));
    return aRemoved.contains(aBlob.first) ||
           (bytes.ok() && *bytes == aBlob.second);
  });
}

// The contents once this snapshot is stored; nullopt if they are beyond it. The
// snapshot may be ahead of what the log holds for certain.
inline std::optional<Contents>
WithSnapshot(const Contents& aContents, const Contents& aSaving)
{
  const uint64_t from = aContents.mSnapshot.mIndex.mValue;
  const uint64_t mark = aSaving.mSnapshot.mIndex.mValue;
  if (mark <= from) {
    return std::nullopt;
  }
  Contents next = aContents;
  next.mSnapshot = aSaving.mSnapshot;
  next.mBlobs = aSaving.mBlobs;
  next.mEntries.erase(next.mEntries.begin(),
                      next.mEntries.begin() +
                        static_cast<std::ptrdiff_t>(std::min<uint64_t>(
                          mark - from, next.mEntries.size())));
  return next;
}

// What may be found after a loss before a change: one of mHistory from mLow to
// mHigh, also with the snapshot that is being stored.
struct Allowed
{
  size_t mLow = 0;
  size_t mHigh = 0;
  std::set<std::string> mRemoved; // blobs removed since the last snapshot
  std::shared_ptr<const Contents> mSaving; // entries are not used
};

// The one of the allowed contents that was found.
inline std::optional<Contents>
FindAllowed(const std::vector<Contents>& aHistory,
            const Allowed& aAllowed,
            const RaftRecovered& aFound)
{
  for (size_t at = aAllowed.mLow; at <= aAllowed.mHigh; ++at) {
    if (IsEqual(aHistory[at], aFound)) {
      return aHistory[at];
    }
    if (aAllowed.mSaving) {
      auto saved = WithSnapshot(aHistory[at], *aAllowed.mSaving);
      if (saved && IsEqual(*saved, aFound)) {
        return saved;
      }
    }
  }
  return std::nullopt;
}

// Thrown when the disk refuses a change.
struct Refused
{};

// Works on a folder at random, records all changes and what may be found after
// a loss.
class Workload
{
public:
  Workload(uint64_t aSeed, const FileSet& aFiles, const Contents& aContents)
    : mRandom(aSeed)
    , mFiles(aFiles)
    , mHistory{ aContents }
  {
    mSettings.mSegmentBytes = 400;
    mSettings.mPartBytes = 20;
    mSettings.mMaxOpenBlobs = 2;
    mSettings.mWatch =
      [this, record = RecordChanges(mPlace.mPath, [this](auto aChange) {
               mChanges.push_back(std::move(aChange));
               mAllowed.push_back(mNow);
             })](const FileChange& aChange) {
        const size_t at = mChanges.size();
        const auto instead = record(aChange);
        return mChanges.size() > at && at >= mRefuseFrom && at < mRefuseTo
                 ? Refuse(aChange)
                 : instead;
      };
    WriteFiles(mPlace.mPath, aFiles);
    mFolder = MustOpen(mPlace.mPath, mSettings);
    for (const auto& [name, bytes] : aContents.mBlobs) {
      auto found = mFolder->ReadBlob(name, 0, 1000);
      mBlobs[name] = found.ok() ? *found : std::string();
    }
  }

  void Append()
  {
    Contents next = mHistory.back();
    RaftWrite write;
    if (DrawBelow(mRandom, 4) == 0 && !next.mEntries.empty() &&
        !(mNow.mSaving &&
          next.Last() <= mNow.mSaving->mSnapshot.mIndex.mValue)) {
      next.mEntries.resize(next.mEntries.size() - 1);
      write.mTruncateFrom = LogIndex(next.Last() + 1);
    }
    next.mHard = { Term(next.mHard.mTerm.mValue + 1),
                   ReplicaId(DrawBelow(mRandom, 3) + 1) };
    write.mHard = next.mHard;
    for (uint64_t count = DrawBelow(mRandom, 2) + 1; count > 0; --count) {
      LogEntry entry;
      entry.mIndex = LogIndex(next.Last() + 1);
      entry.mTerm = next.mHard.mTerm;
      entry.mPayload = std::string(DrawBelow(mRandom, 120), 'p');
      write.mAppend.push_back(entry);
      next.mEntries.push_back(entry);
    }
    Push(next);
    Require(mFolder->Append(write));
  }

  void Sync()
  {
    Require(mFolder->Sync());
    mNow.mLow = mNow.mHigh;
  }

  void WriteBlob()
  {
    WriteBlob("blob-" + std::to_string(DrawBelow(mRandom, 4)));
  }

  void WriteBlob(const std::string& aName)
  {
    const std::string bytes(DrawBelow(mRandom, 60) + 1, 'b');
    if (mNow.mRemoved.contains(aName)) {
      return; // names of blobs are not used again
    }
    const auto blob = mBlobs.find(aName);
    Require(mFolder->WriteBlob(
      aName, blob == mBlobs.end() ? 0 : blob->second.size(), bytes));
    mBlobs[aName] += bytes;
  }

  void RemoveBlob()
  {
    if (mBlobs.empty()) {
      return;
    }
    const std::string name = mBlobs.begin()->first;
    mBlobs.erase(name);
    mNow.mRemoved.insert(name);
    mRemovedSinceBegin.insert(name);
    Require(mFolder->RemoveBlob(name));
  }

  void SaveSnapshot()
  {
    if (mHistory.back().mEntries.empty()) {
      return;
    }
    Sync(); // as the caller does
    Contents next = mHistory.back();
    const size_t count = DrawBelow(mRandom, next.mEntries.size()) + 1;
    const LogEntry last = next.mEntries[count - 1];
    next.mSnapshot = { last.mIndex, last.mTerm, {} };
    next.mEntries.erase(next.mEntries.begin(),
                        next.mEntries.begin() +
                          static_cast<std::ptrdiff_t>(count));
    next.mBlobs = mBlobs;
    Push(next);
    Require(mFolder->SaveSnapshot(next.mSnapshot, "state"));
    mNow.mLow = mNow.mHigh;
    mNow.mRemoved.clear();
  }

  // Start, work and end of a sync of the log, of which other work may come
  // between two.
  void SplitSync()
  {
    if (!mSync) {
      mSync = mFolder->BeginSync();
      mSyncCovers = mNow.mHigh;
    } else if (!mSyncStatus) {
      mSyncStatus = DataFolder::RunSync(*mSync);
    } else {
      Require(mFolder->FinishSync(*mSync, *mSyncStatus));
      mNow.mLow = std::max(mNow.mLow, mSyncCovers);
      mSync.reset();
      mSyncStatus.reset();
    }
  }

  // The same for a snapshot.
  void SplitSnapshot()
  {
    if (!mStoring) {
      Contents saving = mHistory.back();
      if (saving.mEntries.empty()) {
        return;
      }
      const LogEntry last =
        saving.mEntries[DrawBelow(mRandom, saving.mEntries.size())];
      saving.mSnapshot = { last.mIndex, last.mTerm, {} };
      saving.mBlobs = mBlobs;
      mRemovedSinceBegin.clear();
      mNow.mSaving = std::make_shared<const Contents>(saving);
      mStoring = mFolder->BeginSnapshot(saving.mSnapshot, "state");
    } else if (!mStoringStatus) {
      mStoringStatus = DataFolder::RunSnapshot(*mStoring);
    } else {
      const auto next = WithSnapshot(mHistory.back(), *mNow.mSaving);
      BOOST_REQUIRE(next.has_value());
      Push(*next);
      Require(mFolder->FinishSnapshot(*mStoring, *mStoringStatus));
      mNow.mLow = mNow.mHigh;
      mNow.mRemoved = mRemovedSinceBegin;
      mNow.mSaving = {};
      mStoring.reset();
      mStoringStatus.reset();
    }
  }

  // Opens the folder again until that works, as after a refusal or a kill, and
  // repeats the work on blobs as the log does.
  void Reopen(SyncedTail aTail)
  {
    for (bool done = false; !done;) {
      mSync.reset();
      mSyncStatus.reset();
      mStoring.reset();
      mStoringStatus.reset();
      mFolder.reset();
      auto folder = DataFolder::Open(mPlace.mPath, mSettings, &aTail);
      if (!folder.ok()) {
        BOOST_REQUIRE_MESSAGE(KindOf(folder.status()) == ErrorKind::eDiskFailed,
                              "change " << mChanges.size() << ": "
                                        << folder.status().message());
        continue;
      }
      mFolder = std::move(*folder);
      const auto found = FindAllowed(mHistory, mNow, mFolder->Recovered());
      BOOST_REQUIRE_MESSAGE(found.has_value(),
                            "change " << mChanges.size()
                                      << ": not what was acknowledged");
      BOOST_REQUIRE_MESSAGE(HasBlobs(*mFolder, found->mBlobs, mNow.mRemoved),
                            "change " << mChanges.size() << ": lost a blob");
      Push(*found);
      mNow.mLow = mNow.mHigh;
      mNow.mSaving = {};
      try {
        RepeatBlobs();
        done = true;
      } catch (const Refused&) {
        aTail = mFolder->Tail();
      }
    }
  }

  // Ends the process; the page cache lives on.
  void Kill() { Reopen({}); }

  // Installs the snapshot of another replica, which is ahead.
  void Receive()
  {
    Sync();
    TemporaryFolder place{ Parent() };
    DataFolderSettings settings;
    settings.mPartBytes = mSettings.mPartBytes;
    settings.mWatch = RecordChanges(place.mPath, [](const auto&) {});
    auto from = MustOpen(place.mPath, settings);
    Contents next = mHistory.back();
    const uint64_t ahead = next.Last() + 3;
    const uint64_t term = next.mHard.mTerm.mValue + 1;
    std::vector<RaftWrite> writes;
    for (uint64_t index = 1; index <= ahead; ++index) {
      Require(from->Append(WriteOf(index, term)));
    }
    for (const auto& [name, bytes] : mBlobs) {
      Require(from->WriteBlob(name, 0, bytes));
    }
    mBlobs["blob-r" + std::to_string(ahead)] = "received";
    Require(from->WriteBlob("blob-r" + std::to_string(ahead), 0, "received"));
    next.mSnapshot = MarkOf(ahead, term);
    next.mEntries.clear();
    next.mBlobs = mBlobs;
    Require(from->SaveSnapshot(next.mSnapshot, "state"));
    Push(next);
    std::string file;
    uint64_t offset = 0;
    for (bool done = false; !done;) {
      auto part = from->ReadSnapshotPart(file, offset);
      Require(part.status());
      auto stored = mFolder->StoreSnapshotPart(*part);
      Require(stored.status());
      file = stored->mReply.mFile;
      offset = stored->mReply.mNextOffset;
      done = stored->mReply.mInstalled;
    }
    mNow.mLow = mNow.mHigh;
    mNow.mRemoved.clear();
  }

  void Step()
  {
    const uint64_t choice = DrawBelow(mRandom, 20);
    if (choice < 7) {
      Append();
    } else if (choice < 11) {
      Sync();
    } else if (choice < 15) {
      WriteBlob();
    } else if (choice < 16) {
      RemoveBlob();
    } else if (choice < 19) {
      SaveSnapshot();
    } else {
      Receive();
    }
  }

  // As Step, also with split work, kills and refusals.
  void StepOrReopen()
  {
    try {
      const uint64_t choice = DrawBelow(mRandom, 12);
      if (choice < 4) {
        SplitSync();
      } else if (choice < 7) {
        SplitSnapshot();
      } else if (choice == 7) {
        Kill();
      } else if (mStoring) { // no other snapshot meanwhile
        DrawBelow(mRandom, 2) == 0 ? Append() : WriteBlob();
      } else {
        Step();
      }
    } catch (const Refused&) {
      Reopen(mFolder->Tail());
    }
  }

  Random mRandom;
  size_t mRefuseFrom = SIZE_MAX; // number of the first change that is refused
  size_t mRefuseTo = SIZE_MAX;   // and of the next one that is not
  const FileSet mFiles;          // at the start
  TemporaryFolder mPlace{ Parent() };
  DataFolderSettings mSettings;
  std::vector<RecordedChange> mChanges;
  std::vector<Allowed> mAllowed; // before each change
  Allowed mNow;
  std::vector<Contents> mHistory;
  FileSet mBlobs; // as written
  std::unique_ptr<DataFolder> mFolder;

private:
  // What the log does again after the folder was opened.
  void RepeatBlobs()
  {
    FileSet target = std::exchange(mBlobs, mHistory.back().mBlobs);
    for (const std::string& name : mNow.mRemoved) {
      mBlobs.erase(name);
      target.erase(name);
      Require(mFolder->RemoveBlob(name));
    }
    for (const auto& [name, bytes] : target) {
      const auto had = mBlobs.find(name);
      const size_t offset = had == mBlobs.end() ? 0 : had->second.size();
      if (bytes.size() > offset && !name.starts_with("blob-r")) {
        Require(mFolder->WriteBlob(name, offset, bytes.substr(offset)));
        mBlobs[name] = bytes;
      }
    }
  }

  // Refuses the change that was recorded last. Of each second write, half of
  // the bytes are written.
  std::optional<absl::Status> Refuse(const FileChange& aChange)
  {
    RecordedChange& change = mChanges.back();
    if (aChange.mKind == FileChange::Kind::eWrite && mChanges.size() % 2 == 0) {
      change.mBytes.resize(change.mBytes.size() / 2);
      const FileDescriptor file(
        ::open(std::string(aChange.mPath).c_str(), O_WRONLY | O_CLOEXEC));
      BOOST_REQUIRE(::pwrite(file.Value(),
                             change.mBytes.data(),
                             change.mBytes.size(),
                             static_cast<off_t>(change.mOffset)) ==
                    static_cast<ssize_t>(change.mBytes.size()));
    } else {
      change.mRefused = true;
    }
    return MakeError(
      ErrorKind::eDiskFailed, "the disk refuses", "wait until it answers");
  }

  void Push(const Contents& aContents)
  {
    mHistory.push_back(aContents);
    mNow.mHigh = mHistory.size() - 1;
  }

  static void Require(const absl::Status& aStatus)
  {
    if (KindOf(aStatus) == ErrorKind::eDiskFailed) {
      throw Refused{};
    }
    BOOST_REQUIRE_MESSAGE(aStatus.ok(), aStatus.ToString());
  }

  std::optional<PendingSync> mSync;
  std::optional<absl::Status> mSyncStatus; // once it ran
  size_t mSyncCovers = 0;                  // of mHistory
  std::optional<PendingSnapshot> mStoring;
  std::optional<absl::Status> mStoringStatus;
  std::set<std::string> mRemovedSinceBegin; // of mStoring
};

} // namespace caraway
