#pragma once
// What a disk may hold after a power loss: computed from a record of the
// changes that were made to a folder.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "caraway/base/random.h"
#include "caraway/runtime/data_folder_files.h"

namespace caraway {

// Contents by path, relative to the folder.
using FileSet = std::map<std::string, std::string>;

struct RecordedChange
{
  FileChange::Kind mKind = FileChange::Kind::eCreate;
  std::string mPath; // relative to the folder; empty: the folder itself
  std::string mTo;
  uint64_t mOffset = 0;
  std::string mBytes;
  bool mRefused = false; // the disk did not carry it out
};

inline std::string
RelativePath(const std::string& aRoot, std::string_view aPath)
{
  return aPath.size() > aRoot.size()
           ? std::string(aPath.substr(aRoot.size() + 1))
           : std::string();
}

// Records the changes below aRoot. Syncs are not carried out: the model decides
// what they cover.
inline FileWatch
RecordChanges(const std::string& aRoot,
              std::function<void(RecordedChange)> aRecord)
{
  return [aRoot, aRecord = std::move(aRecord)](
           const FileChange& aChange) -> std::optional<absl::Status> {
    const bool sync = aChange.mKind == FileChange::Kind::eSync ||
                      aChange.mKind == FileChange::Kind::eSyncFolder;
    if (aChange.mPath.starts_with(aRoot)) {
      aRecord({ aChange.mKind,
                RelativePath(aRoot, aChange.mPath),
                RelativePath(aRoot, aChange.mTo),
                aChange.mOffset,
                std::string(aChange.mBytes),
                false });
    }
    return sync ? std::optional(absl::OkStatus()) : std::nullopt;
  };
}

inline void
WriteFiles(const std::string& aRoot, const FileSet& aFiles)
{
  std::filesystem::remove_all(aRoot);
  std::filesystem::create_directories(aRoot + "/blobs");
  for (const auto& [path, bytes] : aFiles) {
    const std::string full = aRoot + "/" + path;
    std::filesystem::create_directories(
      std::filesystem::path(full).parent_path());
    std::ofstream(full, std::ios::binary) << bytes;
  }
}

// The folder between two changes. Invariant: mLive holds what a process sees,
// mNames what every power loss leaves.
class DiskModel
{
public:
  explicit DiskModel(const FileSet& aFiles = {})
  {
    for (const auto& [path, bytes] : aFiles) {
      mLive[path] = mNames[path] = mFiles.size();
      mFiles.push_back({ bytes, {} });
    }
  }

  void Apply(const RecordedChange& aChange)
  {
    using Kind = FileChange::Kind;
    const auto live = mLive.find(aChange.mPath);
    if (aChange.mRefused) {
      if (aChange.mKind == Kind::eSync && live != mLive.end()) {
        // The kernel may take the pages for clean: no later sync covers them.
        for (Write& write : mFiles[live->second].mPending) {
          write.mDropped = !write.mTruncates;
        }
      }
      return;
    }
    switch (aChange.mKind) {
      case Kind::eCreate:
        if (live != mLive.end()) {
          mFiles[live->second].mPending.push_back({ true, 0, {}, false });
          break;
        }
        mLive[aChange.mPath] = mFiles.size();
        mPending.push_back({ aChange.mKind, aChange.mPath, {}, mFiles.size() });
        mFiles.emplace_back();
        break;
      case Kind::eWrite:
        mFiles[live->second].mPending.push_back(
          { false, aChange.mOffset, aChange.mBytes, false });
        break;
      case Kind::eTruncate:
        mFiles[live->second].mPending.push_back(
          { true, aChange.mOffset, {}, false });
        break;
      case Kind::eSync:
        if (live != mLive.end()) { // else: removed since the sync began
          SyncFile(mFiles[live->second]);
        }
        break;
      case Kind::eSyncFolder:
        std::erase_if(mPending, [&](const Naming& aNaming) {
          if (FolderOf(aNaming.mPath) != aChange.mPath) {
            return false;
          }
          Keep(mNames, aNaming);
          return true;
        });
        break;
      case Kind::eRename:
        mPending.push_back(
          { aChange.mKind, aChange.mPath, aChange.mTo, live->second });
        mLive[aChange.mTo] = live->second;
        mLive.erase(aChange.mPath);
        break;
      case Kind::eRemove:
        if (live != mLive.end()) {
          mPending.push_back({ aChange.mKind, aChange.mPath, {}, 0 });
          mLive.erase(live);
        }
        break;
    }
  }

  // The number of outcomes of each change that is not durable: two for names,
  // three for bytes.
  std::vector<int> Outcomes() const
  {
    std::vector<int> outcomes(mPending.size(), 2);
    for (const File& file : mFiles) {
      for (const Write& write : file.mPending) {
        outcomes.push_back(write.mTruncates ? 2 : 3);
      }
    }
    return outcomes;
  }

  // What the disk holds if each change has this outcome. 0: lost, 1: kept, 2:
  // only the first half of the bytes is.
  FileSet After(const std::vector<int>& aOutcomes) const
  {
    size_t next = 0;
    std::map<std::string, size_t> names = mNames;
    for (const Naming& naming : mPending) {
      if (aOutcomes[next++] == 1) {
        Keep(names, naming);
      }
    }
    std::vector<std::string> contents;
    for (const File& file : mFiles) {
      std::string bytes = file.mDurable;
      for (const Write& write : file.mPending) {
        const int outcome = aOutcomes[next++];
        if (outcome != 0) {
          Put(bytes, write, write.mBytes.size() / static_cast<size_t>(outcome));
        }
      }
      contents.push_back(std::move(bytes));
    }
    FileSet files;
    for (const auto& [path, file] : names) {
      files[path] = contents[file];
    }
    return files;
  }

private:
  struct Write
  {
    bool mTruncates = false; // to mOffset bytes
    uint64_t mOffset = 0;
    std::string mBytes;
    bool mDropped = false; // by a refused sync
  };
  struct File
  {
    std::string mDurable;
    std::vector<Write> mPending; // since its last sync
  };
  struct Naming
  {
    FileChange::Kind mKind = FileChange::Kind::eCreate;
    std::string mPath;
    std::string mTo;
    size_t mFile = 0;
  };

  static std::string FolderOf(const std::string& aPath)
  {
    const size_t slash = aPath.rfind('/');
    return slash == std::string::npos ? std::string() : aPath.substr(0, slash);
  }

  static void Put(std::string& aContents, const Write& aWrite, size_t aCount)
  {
    if (aWrite.mTruncates) {
      aContents.resize(aWrite.mOffset);
      return;
    }
    aContents.resize(
      std::max<size_t>(aContents.size(), aWrite.mOffset + aCount));
    aContents.replace(aWrite.mOffset, aCount, aWrite.mBytes, 0, aCount);
  }

  static void SyncFile(File& aFile)
  {
    std::vector<Write> dropped;
    for (const Write& write : aFile.mPending) {
      if (!write.mDropped) {
        Put(aFile.mDurable, write, write.mBytes.size());
        dropped = Without(dropped, write);
      } else {
        dropped.push_back(write);
      }
    }
    aFile.mPending = std::move(dropped);
  }

  // What the later write does not replace.
  static std::vector<Write> Without(const std::vector<Write>& aWrites,
                                    const Write& aLater)
  {
    std::vector<Write> rest;
    for (const Write& write : aWrites) {
      const uint64_t end = write.mOffset + write.mBytes.size();
      if (write.mOffset < aLater.mOffset) {
        Write before = write;
        before.mBytes.resize(std::min<uint64_t>(end, aLater.mOffset) -
                             write.mOffset);
        rest.push_back(std::move(before));
      }
      const uint64_t after = aLater.mOffset + aLater.mBytes.size();
      if (!aLater.mTruncates && end > after) {
        const uint64_t from = std::max(write.mOffset, after);
        rest.push_back(
          { false, from, write.mBytes.substr(from - write.mOffset), true });
      }
    }
    return rest;
  }

  static void Keep(std::map<std::string, size_t>& aNames, const Naming& aNaming)
  {
    if (aNaming.mKind != FileChange::Kind::eCreate) {
      aNames.erase(aNaming.mPath);
    }
    if (aNaming.mKind == FileChange::Kind::eCreate) {
      aNames[aNaming.mPath] = aNaming.mFile;
    } else if (aNaming.mKind == FileChange::Kind::eRename) {
      aNames[aNaming.mTo] = aNaming.mFile;
    }
  }

  std::vector<File> mFiles;
  std::map<std::string, size_t> mLive;
  std::map<std::string, size_t> mNames;
  std::vector<Naming> mPending; // since the last sync of their folder
};

// The states that a power loss can leave here: all of them if they are at most
// aMost, else all lost, all kept, each change alone lost or kept, and draws.
inline std::set<FileSet>
StatesAfterLoss(const DiskModel& aModel, size_t aMost, Random& aRandom)
{
  const std::vector<int> outcomes = aModel.Outcomes();
  std::set<FileSet> states;
  uint64_t count = 1;
  for (const int outcome : outcomes) {
    count = std::min<uint64_t>(count * static_cast<uint64_t>(outcome), 1 << 20);
  }
  if (count <= aMost) {
    for (uint64_t number = 0; number < count; ++number) {
      std::vector<int> chosen;
      uint64_t rest = number;
      for (const int outcome : outcomes) {
        chosen.push_back(
          static_cast<int>(rest % static_cast<uint64_t>(outcome)));
        rest /= static_cast<uint64_t>(outcome);
      }
      states.insert(aModel.After(chosen));
    }
    return states;
  }
  for (const int all : { 0, 1 }) {
    std::vector<int> chosen(outcomes.size(), all);
    states.insert(aModel.After(chosen));
    for (size_t at = 0; at < chosen.size() && states.size() < aMost; ++at) {
      chosen[at] = 1 - all;
      states.insert(aModel.After(chosen));
      chosen[at] = all;
    }
  }
  for (size_t draw = 0; draw < aMost && states.size() < aMost; ++draw) {
    std::vector<int> chosen;
    for (const int outcome : outcomes) {
      chosen.push_back(
        static_cast<int>(DrawBelow(aRandom, static_cast<uint64_t>(outcome))));
    }
    states.insert(aModel.After(chosen));
  }
  return states;
}

} // namespace caraway
