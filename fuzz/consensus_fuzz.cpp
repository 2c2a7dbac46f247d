// Stateful fuzzing of consensus: RapidCheck draws sequences of faults and
// requests, and the oracle in consensus_world.h checks every event. After each
// sequence the faults stop, and the group must elect a leader and commit again.
//
// Usage: consensus_fuzz SEED STEPS [SHRINK]. Any third argument makes
// RapidCheck shrink a failing sequence.

#include <cstdlib>
#include <iostream>

#include <rapidcheck.h>

#include "fuzz/consensus_world.h"

namespace {

using namespace caraway;

enum class StepKind : uint8_t
{
  eRun,
  ePropose,
  eCrash,
  eRestart,
  eCutLink,
  eCutReplica,
  eHeal,
  eNetwork,
  eDisk,
  eAddLearner,
  ePromote,
  eRemove,
  eWipe,
  eResign,
  eCount,
};

struct Step
{
  StepKind mKind = StepKind::eRun;
  uint32_t mA = 0;
  uint32_t mB = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  static constexpr std::array<const char*, 14> kNames{
    "run", "propose", "crash",       "restart", "cut-link", "cut",  "heal",
    "net", "disk",    "add-learner", "promote", "remove",   "wipe", "resign",
  };
  return aOut << kNames.at(static_cast<size_t>(aStep.mKind)) << ' ' << aStep.mA
              << ' ' << aStep.mB;
}

rc::Gen<Step>
StepGen()
{
  using K = StepKind;
  return rc::gen::apply(
    [](StepKind aKind, uint32_t aA, uint32_t aB) {
      return Step{ aKind, aA, aB };
    },
    rc::gen::weightedElement<StepKind>({ { 30, K::eRun },
                                         { 25, K::ePropose },
                                         { 4, K::eCrash },
                                         { 8, K::eRestart },
                                         { 4, K::eCutLink },
                                         { 3, K::eCutReplica },
                                         { 6, K::eHeal },
                                         { 3, K::eNetwork },
                                         { 2, K::eDisk },
                                         { 2, K::eAddLearner },
                                         { 4, K::ePromote },
                                         { 2, K::eRemove },
                                         { 1, K::eWipe },
                                         { 3, K::eResign } }),
    rc::gen::inRange<uint32_t>(0, 1000),
    rc::gen::inRange<uint32_t>(0, 1000));
}

struct Runner
{
  World& mWorld;
  uint64_t mNextId;
  uint64_t mPayload = 0;
  uint64_t mChanges = 0;
  bool mWiped = false;

  WorldNode& Pick(uint32_t aNumber)
  {
    auto at = mWorld.mNodes.begin();
    std::advance(at, aNumber % mWorld.mNodes.size());
    return *at->second;
  }

  // Returns a replica that believes it is the leader, which may be stale.
  WorldNode* PickLeader(uint32_t aNumber)
  {
    std::vector<WorldNode*> leaders;
    for (auto& [id, node] : mWorld.mNodes) {
      if (node->mRaft && IsLeader(*node->mRaft)) {
        leaders.push_back(node.get());
      }
    }
    return leaders.empty() ? nullptr : leaders[aNumber % leaders.size()];
  }

  void Network(const Step& aStep)
  {
    mWorld.mLossPercent = aStep.mA % 30;
    mWorld.mDoublePercent = aStep.mB % 40;
    mWorld.mExtraDelay = aStep.mB % 3 == 0 ? int64_t{ aStep.mA } * 800 : 1000;
  }

  void Disk(const Step& aStep)
  {
    mWorld.mSyncTime = aStep.mB % 4 == 0 ? 200000 : 500;
    if (aStep.mB % 5 == 0) {
      Pick(aStep.mA).mFailWrites = true;
    }
  }

  void ChangeSet(const Step& aStep)
  {
    WorldNode* leader = PickLeader(aStep.mB);
    if (leader == nullptr) {
      return;
    }
    ReplicaSet set = ReplicasOf(*leader->mRaft);
    Replica& one = set.mReplicas[aStep.mA % set.mReplicas.size()];
    if (aStep.mKind == StepKind::eAddLearner && set.mReplicas.size() < 6) {
      const ReplicaId id(mNextId++);
      set.mReplicas.push_back({ id, "added", false, 0 });
      mWorld.Add(id.mValue, {});
    } else if (aStep.mKind == StepKind::ePromote) {
      for (Replica& replica : set.mReplicas) {
        replica.mVoter = true;
      }
    } else if (aStep.mKind == StepKind::eRemove && set.mReplicas.size() > 3 &&
               (!mWiped || mWorld.mNodes.at(one.mId)->mLost)) {
      set.mReplicas.erase(set.mReplicas.begin() +
                          (&one - set.mReplicas.data()));
    }
    mChanges += mWorld.Change(*leader, set).ok() ? 1 : 0;
  }

  // Wipes at most one disk per run, and only in a group of three or more
  // voters, so that a majority keeps its disks.
  void Wipe(const Step& aStep)
  {
    WorldNode* leader = mWorld.Leader();
    WorldNode& node = Pick(aStep.mA);
    // The founder of a group of one has no peer that could tell it that it has
    // lost its disk.
    const bool founder = node.mInitial.mReplicas.size() == 1;
    if (mWiped || leader == nullptr || founder) {
      return;
    }
    const RaftReplicaRecord& record = leader->mRaft->mReplicas.back();
    const auto voters =
      std::count_if(record.mReplicas.mReplicas.begin(),
                    record.mReplicas.mReplicas.end(),
                    [](const Replica& aReplica) { return aReplica.mVoter; });
    if (record.mIndex <= CommitIndex(*leader->mRaft) && voters >= 3 &&
        IsVoter(record.mReplicas, node.mId)) {
      mWiped = true;
      mWorld.Wipe(node);
    }
  }

  static bool IsVoter(const ReplicaSet& aSet, ReplicaId aId)
  {
    return std::any_of(
      aSet.mReplicas.begin(), aSet.mReplicas.end(), [&](const Replica& aOne) {
        return aOne.mId == aId && aOne.mVoter;
      });
  }

  void Do(const Step& aStep)
  {
    WorldNode& node = Pick(aStep.mA);
    switch (aStep.mKind) {
      case StepKind::eRun:
        mWorld.Run(int64_t{ aStep.mA } * 1500);
        break;
      case StepKind::ePropose:
        if (WorldNode* leader = PickLeader(aStep.mB)) {
          for (uint32_t count = 0; count <= aStep.mA % 6; ++count) {
            mWorld.Propose(*leader, std::to_string(++mPayload)).IgnoreError();
          }
        }
        break;
      case StepKind::eCrash:
        mWorld.Crash(node);
        break;
      case StepKind::eRestart:
        mWorld.Crash(node);
        mWorld.Start(node);
        break;
      case StepKind::eCutLink:
        mWorld.mCut.insert({ node.mId, Pick(aStep.mB).mId });
        break;
      case StepKind::eCutReplica:
        mWorld.CutOff(node.mId);
        break;
      case StepKind::eHeal:
        mWorld.mCut.clear();
        break;
      case StepKind::eNetwork:
        Network(aStep);
        break;
      case StepKind::eDisk:
        Disk(aStep);
        break;
      case StepKind::eWipe:
        Wipe(aStep);
        break;
      case StepKind::eResign:
        // The successor may be any replica, also one that is down or behind.
        if (WorldNode* leader = PickLeader(aStep.mB)) {
          mWorld.Resign(*leader, node.mId);
        }
        break;
      default:
        ChangeSet(aStep);
    }
    mWorld.Run(1000);
  }

  bool AllHold(uint64_t aIndex, const ReplicaSet& aSet)
  {
    return std::all_of(
      aSet.mReplicas.begin(), aSet.mReplicas.end(), [&](const Replica& aOne) {
        const WorldNode& node = *mWorld.mNodes.at(aOne.mId);
        return node.mLost || node.mApplied >= aIndex;
      });
  }

  void Describe() const
  {
    for (const auto& [id, node] : mWorld.mNodes) {
      std::cout << "  replica " << id.mValue << (node->mLost ? " lost" : "");
      if (node->mRaft) {
        const Raft& raft = *node->mRaft;
        std::cout << " role " << static_cast<int>(raft.mRole) << " term "
                  << raft.mTerm.mValue << " commit " << raft.mCommit.mValue
                  << " last "
                  << raft.mLog.mBase.mValue + raft.mLog.mEntries.size()
                  << (raft.mFailed ? " failed" : "")
                  << (raft.mLostDisk ? " lost-disk" : "") << " set "
                  << raft.mReplicas.back().mIndex.mValue;
        for (const Replica& one : ReplicasOf(raft).mReplicas) {
          std::cout << ' ' << one.mId.mValue << (one.mVoter ? "v" : "l");
        }
      }
      std::cout << '\n';
    }
  }

  // Stops all faults; then the group must elect a leader, commit an entry and
  // bring all replicas up to date.
  void CheckLiveness()
  {
    mWorld.mCut.clear();
    mWorld.mLossPercent = mWorld.mDoublePercent = 0;
    mWorld.mExtraDelay = 0;
    mWorld.mSyncTime = 500;
    for (auto& [id, node] : mWorld.mNodes) {
      if (!node->mRaft || HasFailed(*node->mRaft) || node->mFailWrites) {
        mWorld.Crash(*node);
        mWorld.Start(*node);
      }
    }
    // A leader that removes itself from the group may lose an uncommitted
    // entry, so the check is repeated.
    for (int attempt = 0; attempt < 5; ++attempt) {
      if (ReachAll()) {
        return;
      }
    }
    throw OracleError("not all replicas came up to date");
  }

  bool ReachAll()
  {
    Expect(mWorld.RunUntil(20000000,
                           [&] { return mWorld.Leader() != nullptr; }) >= 0,
           "no leader after the faults stopped");
    WorldNode* leader = mWorld.Leader();
    auto index = mWorld.Propose(*leader, "last");
    Expect(index.ok(), "the leader refuses entries");
    return mWorld.RunUntil(5000000, [&] {
      return AllHold(index->mValue, ReplicasOf(*leader->mRaft));
    }) >= 0;
  }
};

// Counts over all runs, which show that the runs exercised the group.
struct Totals
{
  uint64_t mSteps = 0;
  uint64_t mEntries = 0;
  uint64_t mLeaders = 0;
  uint64_t mSnapshots = 0; // received by replicas
  uint64_t mChanges = 0;   // accepted changes of the replica set
};

void
RunSteps(uint64_t aSeed,
         uint64_t aVoters,
         const std::vector<Step>& aSteps,
         Totals& aTotals)
{
  auto world = MakeWorld(aSeed, aVoters);
  Runner runner{ *world, aVoters + 1 };
  try {
    for (const Step& step : aSteps) {
      runner.Do(step);
    }
    runner.CheckLiveness();
  } catch (const OracleError&) {
    runner.Describe();
    throw;
  }
  aTotals.mEntries += world->mCommitted;
  aTotals.mLeaders += world->mLeaders.size();
  aTotals.mSnapshots += world->mInstalled;
  aTotals.mChanges += runner.mChanges;
}

} // namespace

int
main(int argc, char** argv)
{
  constexpr uint64_t kStepsPerCase = 200;
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const uint64_t steps = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 2000;
  const uint64_t cases = std::max<uint64_t>(steps / kStepsPerCase, 1);
  const std::string parameters = "seed=" + std::to_string(seed) +
                                 " max_success=" + std::to_string(cases) +
                                 " noshrink=" + (argc > 3 ? "0" : "1");
  ::setenv("RC_PARAMS", parameters.c_str(), 1);
  std::cout << "consensus seed " << seed << " steps " << steps << '\n';
  Totals totals;
  const bool ok = rc::check("agreement", [&] {
    const auto world = *rc::gen::arbitrary<uint64_t>();
    const uint64_t voters = *rc::gen::element<uint64_t>(3, 3, 5, 1);
    const auto sequence =
      *rc::gen::container<std::vector<Step>>(kStepsPerCase, StepGen());
    totals.mSteps += sequence.size();
    try {
      RunSteps(world, voters, sequence, totals);
    } catch (const OracleError& error) {
      std::cout << "found after " << totals.mSteps << " steps: " << error.what()
                << '\n';
      RC_FAIL(error.what());
    }
  });
  std::cout << "consensus " << (ok ? "ok" : "FAILED") << " after "
            << totals.mSteps << " steps, " << totals.mEntries << " entries, "
            << totals.mLeaders << " leaders, " << totals.mSnapshots
            << " transfers, " << totals.mChanges << " changes of replicas\n";
  return ok ? 0 : 1;
}
