// Opens the data folder in the states that a power loss can leave: after each
// change on disk, with each combination of names and bytes kept and lost.
#define BOOST_TEST_MODULE runtime_power_loss
#include <boost/test/unit_test.hpp>

#include "tests/power_loss_workload.h"

using namespace caraway;

namespace {

struct Findings
{
  size_t mStates = 0;
  size_t mBroken = 0;
  std::string mFirst;
};

void
Note(Findings& aFindings, size_t aAt, const std::string& aWhat)
{
  if (aFindings.mBroken++ == 0) {
    aFindings.mFirst = "after change " + std::to_string(aAt) + ": " + aWhat;
  }
}

struct Opened
{
  std::string mError; // empty: one of the allowed contents was found
  Contents mFound;
  std::vector<RecordedChange> mChanges;
};

Opened
OpenState(const Workload& aWorkload,
          const std::string& aPlace,
          const FileSet& aFiles,
          const Allowed& aAllowed)
{
  Opened opened;
  WriteFiles(aPlace, aFiles);
  DataFolderSettings settings = aWorkload.mSettings;
  settings.mWatch = RecordChanges(aPlace, [&](auto aChange) {
    opened.mChanges.push_back(std::move(aChange));
  });
  auto folder = DataFolder::Open(aPlace, settings);
  if (!folder.ok()) {
    opened.mError = std::string(folder.status().message());
    return opened;
  }
  const RaftRecovered found = (*folder)->Recovered();
  if (const auto contents = FindAllowed(aWorkload.mHistory, aAllowed, found)) {
    opened.mFound = *contents;
    opened.mError = HasBlobs(**folder, contents->mBlobs, aAllowed.mRemoved)
                      ? std::string()
                      : "a blob of the snapshot is missing or incomplete";
    return opened;
  }
  opened.mError = "found snapshot " +
                  std::to_string(found.mSnapshot.mIndex.mValue) + ", " +
                  std::to_string(found.mEntries.size()) + " entries, term " +
                  std::to_string(found.mHard.mTerm.mValue);
  return opened;
}

// A second loss, at a random moment of the recovery and at its end, after which
// what it has found must be there again.
void
CheckSecondLoss(const Workload& aWorkload,
                const FileSet& aFiles,
                const Allowed& aAllowed,
                const Opened& aOpened,
                size_t aAt,
                Random& aRandom,
                Findings& aFindings)
{
  TemporaryFolder place{ Parent() };
  const size_t changes = aOpened.mChanges.size();
  for (const size_t until : { DrawBelow(aRandom, changes + 1), changes }) {
    DiskModel disk(aFiles);
    for (size_t at = 0; at < until; ++at) {
      disk.Apply(aOpened.mChanges[at]);
    }
    const std::vector<int> outcomes = disk.Outcomes();
    std::vector<int> chosen;
    chosen.reserve(outcomes.size());
    for (const int outcome : outcomes) {
      chosen.push_back(
        static_cast<int>(DrawBelow(aRandom, static_cast<uint64_t>(outcome))));
    }
    ++aFindings.mStates;
    const Opened again =
      OpenState(aWorkload, place.mPath, disk.After(chosen), aAllowed);
    RaftRecovered first;
    first.mSnapshot = aOpened.mFound.mSnapshot;
    first.mEntries = aOpened.mFound.mEntries;
    first.mHard = aOpened.mFound.mHard;
    if (!again.mError.empty()) {
      Note(aFindings, aAt, "second loss: " + again.mError);
    } else if (until == changes && !IsEqual(again.mFound, first)) {
      Note(aFindings, aAt, "second loss: what recovery found is gone");
    }
  }
}

// Opens the states after each change of the workload. aDropped: changes that
// are taken as not made, to check the checker. aFrom: the first change whose
// states are opened.
Findings
CheckWorkload(const Workload& aWorkload,
              size_t aMost,
              size_t aSecond,
              Random& aRandom,
              const std::function<bool(const RecordedChange&)>& aDropped = {},
              size_t aFrom = 0)
{
  Findings findings;
  TemporaryFolder place{ Parent() };
  DiskModel disk(aWorkload.mFiles);
  for (size_t at = 0; at <= aWorkload.mChanges.size(); ++at) {
    const Allowed& allowed =
      at == aWorkload.mChanges.size() ? aWorkload.mNow : aWorkload.mAllowed[at];
    size_t second = 0;
    for (const FileSet& files : at < aFrom
                                  ? std::set<FileSet>()
                                  : StatesAfterLoss(disk, aMost, aRandom)) {
      ++findings.mStates;
      const Opened opened = OpenState(aWorkload, place.mPath, files, allowed);
      if (!opened.mError.empty()) {
        Note(findings, at, opened.mError);
      } else if (second++ < aSecond) {
        CheckSecondLoss(
          aWorkload, files, allowed, opened, at, aRandom, findings);
      }
    }
    if (aDropped && findings.mBroken > 0) {
      break; // found
    }
    if (at < aWorkload.mChanges.size() &&
        !(aDropped && aDropped(aWorkload.mChanges[at]))) {
      disk.Apply(aWorkload.mChanges[at]);
    }
  }
  return findings;
}

void
Report(const char* aName, uint64_t aSeed, const Findings& aFindings)
{
  BOOST_TEST_MESSAGE(aName << " seed " << aSeed << ": " << aFindings.mStates
                           << " states, " << aFindings.mBroken << " broken");
  BOOST_CHECK_MESSAGE(aFindings.mBroken == 0,
                      aName << " seed " << aSeed << ": " << aFindings.mBroken
                            << " of " << aFindings.mStates << " states, first "
                            << aFindings.mFirst);
}

} // namespace

// Guards against a state of a new folder, or of one that receives a snapshot,
// that a loss after any change leaves and that cannot be opened, has lost what
// was acknowledged, or holds what was never written.
BOOST_AUTO_TEST_CASE(every_state_of_a_short_run_opens)
{
  Random random(3);
  Workload workload(1, {}, {});
  const auto appendSynced = [&](int aCount) {
    for (int count = 0; count < aCount; ++count) {
      workload.Append();
      workload.Sync();
    }
  };
  appendSynced(4);
  workload.WriteBlob();
  workload.SaveSnapshot();
  workload.WriteBlob();
  appendSynced(5);
  workload.Append();
  workload.Append();
  workload.SaveSnapshot();
  workload.RemoveBlob();
  workload.Append();
  workload.Receive();
  appendSynced(3);
  workload.SaveSnapshot();
  Report("short run", 1, CheckWorkload(workload, 100, 1, random));
}

// The same for random work, in several lives with a loss after each.
BOOST_AUTO_TEST_CASE(drawn_states_of_long_runs_open)
{
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    Random random(seed + 1000);
    FileSet files;
    Contents contents;
    for (int life = 0; life < 4; ++life) {
      Workload workload(
        seed * 100 + static_cast<uint64_t>(life), files, contents);
      for (int step = 0; step < 25; ++step) {
        workload.Step();
      }
      Report("long run", seed, CheckWorkload(workload, 5, 1, random));
      DiskModel disk(files);
      for (const RecordedChange& change : workload.mChanges) {
        disk.Apply(change);
      }
      const std::set<FileSet> states = StatesAfterLoss(disk, 20, random);
      files = *std::next(
        states.begin(),
        static_cast<std::ptrdiff_t>(DrawBelow(random, states.size())));
      TemporaryFolder place{ Parent() };
      const Opened opened =
        OpenState(workload, place.mPath, files, workload.mNow);
      BOOST_REQUIRE_MESSAGE(opened.mError.empty(), opened.mError);
      contents = opened.mFound;
      // The log says that they are removed; opening it does not repeat that.
      for (const std::string& name : workload.mNow.mRemoved) {
        contents.mBlobs.erase(name);
      }
    }
  }
}

// Guards against data that recovery or a snapshot takes for durable since it
// was there after a kill, and against a sync that confirms what was written
// after it began.
BOOST_AUTO_TEST_CASE(states_of_split_work_with_kills_open)
{
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    Random random(seed);
    Workload workload(seed + 500, {}, {});
    for (int step = 0; step < 60; ++step) {
      workload.StepOrReopen();
    }
    Report("split work", seed, CheckWorkload(workload, 4, 1, random));
  }
}

// Guards against a snapshot that leaves out the sync of a blob, since an
// earlier one has synced other bytes of it.
BOOST_AUTO_TEST_CASE(blob_written_during_a_snapshot_is_synced_by_the_next)
{
  Random random(1);
  Workload workload(1, {}, {});
  workload.Append();
  workload.WriteBlob("blob-1");
  workload.SplitSnapshot();
  workload.SplitSnapshot();
  workload.WriteBlob("blob-1");
  workload.SplitSnapshot();
  workload.Append();
  workload.SaveSnapshot();
  Report("blob written twice", 1, CheckWorkload(workload, 40, 0, random));
}

// Guards against a disk that refuses changes for a while and a replica that
// then cannot open its folder, or goes on with data that is not durable.
BOOST_AUTO_TEST_CASE(folder_opens_after_any_refused_changes)
{
  constexpr int kSteps = 24;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    size_t from = 0;
    for (bool refused = true; refused; ++from) {
      Random random(seed * 1000 + from);
      Workload workload(seed + 700, {}, {});
      workload.mRefuseFrom = workload.mChanges.size() + from;
      workload.mRefuseTo = workload.mRefuseFrom + 1 + DrawBelow(random, 5);
      for (int step = 0; step < kSteps; ++step) {
        workload.StepOrReopen();
      }
      refused = workload.mChanges.size() > workload.mRefuseFrom;
      Report("refused change",
             seed * 1000 + from,
             CheckWorkload(workload, 3, 0, random, {}, workload.mRefuseFrom));
    }
    BOOST_TEST_MESSAGE("seed " << seed << ": " << from - 1
                               << " changes refused in turn");
  }
}

// Guards against a checker that finds nothing: each kind of sync is left out,
// and some state has to be found broken.
BOOST_AUTO_TEST_CASE(checker_finds_missing_syncs)
{
  struct Planted
  {
    const char* mName;
    FileChange::Kind mKind;
    std::string mPrefix;
  };
  const Planted planted[] = {
    { "sync of the log", FileChange::Kind::eSync, "log-" },
    { "sync of a snapshot", FileChange::Kind::eSync, "snap-" },
    { "sync of the identity", FileChange::Kind::eSync, "meta" },
    { "sync of blobs", FileChange::Kind::eSync, "blobs/" },
    { "sync of the folder", FileChange::Kind::eSyncFolder, "" },
    { "sync of the blob folder", FileChange::Kind::eSyncFolder, "blobs" },
  };
  for (const Planted& fault : planted) {
    Findings all;
    for (uint64_t seed = 1; seed <= 6 && all.mBroken == 0; ++seed) {
      Random random(seed);
      Workload workload(seed, {}, {});
      for (int step = 0; step < 40; ++step) {
        workload.Step();
      }
      const Findings found = CheckWorkload(
        workload, 12, 0, random, [&](const RecordedChange& aChange) {
          return aChange.mKind == fault.mKind &&
                 (fault.mKind == FileChange::Kind::eSyncFolder
                    ? aChange.mPath == fault.mPrefix
                    : aChange.mPath.starts_with(fault.mPrefix));
        });
      all.mStates += found.mStates;
      all.mBroken += found.mBroken;
    }
    BOOST_TEST_MESSAGE("without the " << fault.mName << ": found after "
                                      << all.mStates << " states");
    BOOST_CHECK_MESSAGE(all.mBroken > 0, "not found: missing " << fault.mName);
  }
}
