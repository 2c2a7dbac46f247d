// The transfer of a snapshot to a replica with an empty disk, in virtual time,
// with a link that delays, loses and repeats messages.
#define BOOST_TEST_MODULE consensus_transfer
#include <boost/test/unit_test.hpp>

#include <map>

#include "caraway/base/random.h"
#include "caraway/consensus/raft_api.h"

using namespace caraway;

namespace {

constexpr Duration kDelay = Millis(1); // of the link, one way, unless stated
constexpr size_t kFiles = 10;
constexpr uint64_t kPartsOfFile = 40;
constexpr uint64_t kPartBytes = 10;
constexpr uint64_t kParts = kFiles * kPartsOfFile;

std::string
FileAt(size_t aAt)
{
  return aAt + 1 == kFiles ? "state" : "blob-" + std::to_string(aAt);
}

// The part at this position, as DataFolder::ReadSnapshotPart returns it.
SnapshotPart
PartAt(const RaftReadSnapshotPart& aRead, const SnapshotMark& aMark)
{
  SnapshotPart part;
  part.mLastIndex = aMark.mIndex;
  part.mLastTerm = aMark.mTerm;
  part.mFile = aRead.mFile;
  part.mOffset = aRead.mOffset;
  if (aRead.mFile.empty() || aRead.mOffset >= kPartsOfFile * kPartBytes) {
    size_t next = 0;
    while (!aRead.mFile.empty() && FileAt(next) != aRead.mFile) {
      ++next;
    }
    part.mAfter = aRead.mFile;
    part.mFile = FileAt(aRead.mFile.empty() ? 0 : next + 1);
    part.mOffset = 0;
  }
  part.mBytes = std::string(kPartBytes, 'x');
  part.mFileDone = part.mOffset + kPartBytes == kPartsOfFile * kPartBytes;
  part.mAllDone = part.mFileDone && part.mFile == "state";
  return part;
}

// A leader alone with a snapshot, and a learner that is as empty as its disk.
class TransferWorld
{
public:
  TransferWorld(uint64_t aSeed, double aLoss, Duration aDelay = kDelay)
    : mRandom(aSeed)
    , mLoss(aLoss)
    , mDelay(aDelay)
  {
    RaftSettings settings;
    settings.mSnapshotEvery = 50;
    settings.mTailEntries = 10;
    ReplicaSet one;
    one.mReplicas.push_back({ ReplicaId(1), "one" });
    mRaft = MakeRaft(settings, GroupId(0), ReplicaId(1), {}, one, 1, mNow);
    RaftWakeup(mRaft, mNow, mOut);
    CarryOut();
    for (int entry = 0; entry < 100; ++entry) {
      BOOST_REQUIRE(
        RaftPropose(mRaft, mNow, LogEntryKind::eCommand, "x", mOut).ok());
      CarryOut();
    }
    ReplicaSet both = ReplicasOf(mRaft);
    both.mReplicas.push_back({ ReplicaId(2), "two", false });
    BOOST_REQUIRE(RaftChangeReplicas(mRaft, mNow, both, mOut).ok());
    CarryOut();
  }

  // Time until the learner has installed the snapshot, and the leader knows.
  Duration Transfer()
  {
    const MonoTime begin = mNow;
    while (mRaft.mPeers.at(ReplicaId(2)).mMatch.IsNone()) {
      BOOST_REQUIRE_MESSAGE(mNow - begin < Seconds(200),
                            "the transfer does not end");
      MonoTime next = NextWakeup(mRaft);
      if (!mLink.empty()) {
        next = std::min(next, mLink.begin()->first);
      }
      mNow = std::max(mNow, next);
      while (!mLink.empty() && mLink.begin()->first <= mNow) {
        auto message = mLink.extract(mLink.begin());
        if (message.mapped().mTo == ReplicaId(1)) {
          RaftReceive(mRaft, mNow, message.mapped(), mOut);
          CarryOut();
        } else {
          Receive(message.mapped());
        }
      }
      RaftWakeup(mRaft, mNow, mOut);
      CarryOut();
    }
    return mNow - begin;
  }

  uint64_t Stored() const { return mStored; }

  // Entries that the learner gets no message of, until the next snapshot.
  void ProposeAlone(int aCount)
  {
    for (int entry = 0; entry < aCount; ++entry) {
      BOOST_REQUIRE(
        RaftPropose(mRaft, mNow, LogEntryKind::eCommand, "x", mOut).ok());
      CarryOut();
    }
    mLink.clear();
  }

  const Raft& Leader() const { return mRaft; }

private:
  void Send(RaftMessage aMessage)
  {
    if (DrawUnit(mRandom) < mLoss) {
      return;
    }
    // Messages stay in order.
    mLink.emplace_hint(mLink.end(), mNow + mDelay, aMessage);
    if (DrawUnit(mRandom) < mLoss) {
      mLink.emplace_hint(mLink.end(), mNow + mDelay, std::move(aMessage));
    }
  }

  void CarryOut()
  {
    while (!mOut.empty()) {
      std::vector<RaftAction> actions;
      actions.swap(mOut);
      for (RaftAction& action : actions) {
        if (auto* write = std::get_if<RaftWrite>(&action)) {
          RaftWritten(mRaft, mNow, write->mWrite, true, mOut);
        } else if (auto* take = std::get_if<RaftTakeSnapshot>(&action)) {
          mMark = take->mMark;
          RaftSnapshotTaken(mRaft, mNow, mMark, true, mOut);
        } else if (auto* read = std::get_if<RaftReadSnapshotPart>(&action)) {
          RaftSnapshotPartRead(
            mRaft, mNow, read->mTo, PartAt(*read, mMark), true, mOut);
        } else if (auto* send = std::get_if<RaftSend>(&action)) {
          Send(std::move(send->mMessage));
        }
      }
    }
  }

  // The learner, as OnSnapshotPart and DataFolder::StoreSnapshotPart.
  void Receive(const RaftMessage& aMessage)
  {
    RaftMessage reply;
    reply.mFrom = ReplicaId(2);
    reply.mTo = ReplicaId(1);
    reply.mDisk = 7;
    if (const auto* append = std::get_if<AppendRequest>(&aMessage.mBody)) {
      AppendReply answer;
      answer.mTerm = append->mTerm;
      answer.mSentAt = append->mSentAt;
      answer.mAccepted = append->mPreviousIndex.IsNone();
      reply.mBody = answer;
      Send(std::move(reply));
      return;
    }
    const auto* part = std::get_if<SnapshotPart>(&aMessage.mBody);
    BOOST_REQUIRE(part != nullptr);
    const bool sameFile = part->mOffset > 0 && part->mFile == mAt.first &&
                          part->mOffset == mAt.second;
    const bool nextFile =
      part->mOffset == 0 && mFileDone && part->mAfter == mAt.first;
    if (sameFile || nextFile) {
      ++mStored;
      mAt = { part->mFile, part->mOffset + part->mBytes.size() };
      mFileDone = part->mFileDone;
      mInstalled = mInstalled || part->mAllDone;
    }
    SnapshotPartReply answer;
    answer.mTerm = part->mTerm;
    answer.mSentAt = part->mSentAt;
    answer.mLastIndex = part->mLastIndex;
    answer.mFile = mAt.first;
    answer.mNextOffset = mAt.second;
    answer.mInstalled = mInstalled;
    reply.mBody = answer;
    Send(std::move(reply));
  }

  Random mRandom;
  const double mLoss; // of each message; as many are repeated
  const Duration mDelay;
  MonoTime mNow{ 1000 };
  Raft mRaft;
  SnapshotMark mMark;
  std::vector<RaftAction> mOut;
  std::multimap<MonoTime, RaftMessage> mLink;

  std::pair<std::string, uint64_t> mAt; // what the learner has: file, bytes
  bool mFileDone = true;
  bool mInstalled = false;
  uint64_t mStored = 0;
};

} // namespace

// Guards against a lost disk that is not replaced before the next loss, because
// the transfer leaves the link idle while each part is answered.
BOOST_AUTO_TEST_CASE(parts_are_sent_ahead_of_the_replies)
{
  TransferWorld world(1, 0);
  const Duration took = world.Transfer();
  BOOST_TEST(world.Stored() == kParts);
  // Half of a round trip for each part.
  BOOST_TEST(took.Millis() < (kDelay * static_cast<int64_t>(kParts)).Millis());
}

// Guards against a transfer that stores parts twice or out of order, or never
// ends, when messages are lost and repeated.
BOOST_AUTO_TEST_CASE(lost_and_repeated_parts_are_sent_again)
{
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    TransferWorld world(seed, seed % 2 == 0 ? 0.02 : 0.15);
    world.Transfer();
    BOOST_TEST(world.Stored() == kParts);
  }
}

// Guards against a transfer that makes no progress because each reply comes
// after its part was given up: a slow disk or link.
BOOST_AUTO_TEST_CASE(late_replies_move_the_transfer_on)
{
  TransferWorld world(1, 0, Millis(300));
  world.Transfer();
  BOOST_TEST(world.Stored() == kParts);
}

// Guards against a second transfer right after the first one: the snapshot that
// waited for it would take the entries away that the new replica lacks.
BOOST_AUTO_TEST_CASE(log_is_kept_for_a_replica_that_catches_up)
{
  TransferWorld world(1, 0);
  world.Transfer();
  const LogIndex has = world.Leader().mPeers.at(ReplicaId(2)).mMatch;
  world.ProposeAlone(120);
  BOOST_REQUIRE(world.Leader().mSnapshot.mIndex > has);
  BOOST_TEST(world.Leader().mLog.mBase.mValue <= has.mValue);
}
