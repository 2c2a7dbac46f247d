// Tests batch work through the control role: files, item leases with bodies,
// results, output, and what happens to items when a node or a leader is lost.
#define BOOST_TEST_MODULE control_batch
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <set>

#include "caraway/base/random.h"
#include "caraway/control/blob_fetch.h"
#include "tests/control_link.h"

using namespace caraway;

namespace {

const WorkspaceId kWorkspace("lindholt");
const ModelId kModel("tekst-model");

// A registered process that records the messages it receives.
struct Caller
{
  ControlLink& mLink;
  Member mMember;
  Epoch mEpoch;
  std::vector<Message> mAnswers;

  Caller(ControlLink& aLink, const std::string& aName, MemberRole aRole)
    : mLink(aLink)
  {
    mMember.mInstance = InstanceId(aName);
    mMember.mAddress = PeerAddress(aName + ":1");
    mMember.mRole = aRole;
    mMember.mIncarnation = 1;
    mLink.mPeers[mMember.mAddress] = [this](const PeerAddress&,
                                            const Message& aMessage) {
      mAnswers.push_back(aMessage);
    };
    mEpoch = Ask<RegisterReply>(Register{ mMember, 0 }).mEpoch;
    BOOST_REQUIRE(!mEpoch.IsNone());
  }

  void Send(Message aMessage)
  {
    mLink.SendFrom(mMember.mAddress,
                   ControlLink::AddressOf(mLink.Leader().value()),
                   std::move(aMessage));
  }

  template<class T>
  const T* Find() const
  {
    for (const Message& message : mAnswers) {
      if (const T* found = std::get_if<T>(&message)) {
        return found;
      }
    }
    return nullptr;
  }

  template<class T>
  T Ask(Message aMessage)
  {
    mAnswers.clear();
    Send(std::move(aMessage));
    for (int round = 0; round < 50 && Find<T>() == nullptr; ++round) {
      mLink.Run(Millis(5));
    }
    BOOST_REQUIRE(Find<T>() != nullptr);
    return *Find<T>();
  }

  CallReplyBody Call(CallBody aBody)
  {
    static uint64_t sCall = 0;
    ControlCall call;
    call.mCall = ++sCall;
    call.mEntry = mMember.mInstance;
    call.mEntryEpoch = mEpoch;
    call.mWorkspace = kWorkspace;
    call.mBody = std::move(aBody);
    ControlCallReply reply = Ask<ControlCallReply>(call);
    BOOST_TEST(reply.mCall == call.mCall);
    return reply.mBody;
  }

  LeaseItems LeaseOf(uint64_t aSequence, uint32_t aWanted) const
  {
    LeaseItems lease;
    lease.mNode = mMember.mInstance;
    lease.mNodeEpoch = mEpoch;
    lease.mSequence = aSequence;
    lease.mModels = { kModel };
    lease.mWanted = aWanted;
    return lease;
  }

  ItemResults ResultsOf(const ItemBatch& aBatch, uint64_t aSequence) const
  {
    ItemResults results;
    results.mNode = mMember.mInstance;
    results.mNodeEpoch = mEpoch;
    results.mSequence = aSequence;
    results.mJob = aBatch.mJob;
    results.mToken = aBatch.mToken;
    for (const BatchItem& item : aBatch.mItems) {
      results.mResults.push_back(
        { item.mIndex, ItemVerdict::eDone, 200, R"({"ok":1})" });
    }
    return results;
  }
};

std::string
LineOf(uint32_t aItem)
{
  return R"({"custom_id":"c)" + std::to_string(aItem) + R"(","body":{}})";
}

struct Batch
{
  ControlLink mLink{ 3 };
  std::optional<Caller> mEntry;
  std::optional<Caller> mNode;

  Batch()
  {
    mLink.StartAll();
    BOOST_REQUIRE(mLink.AwaitLeader());
    BOOST_REQUIRE(mLink
                    .Write("PUT",
                           "/admin/contracts/lindholt",
                           R"({"rate":1,"burst":1,"max_batch_items":1000})")
                    .mStatus == 200);
    mEntry.emplace(mLink, "entry-1", MemberRole::eEntry);
    mNode.emplace(mLink, "node-1", MemberRole::eNode);
  }

  // Leases items like a node whose target ends in the middle of the first
  // answer to each item: returns it with aText as its partial output, and
  // finishes it the next time. Stops once nothing is leased any more.
  void RunWithOneReturnEach(const std::function<size_t(uint32_t)>& aTextBytes)
  {
    std::set<uint32_t> returned;
    uint64_t sequence = 0;
    for (int round = 0; round < 200; ++round) {
      const ItemBatch batch =
        mNode->Ask<ItemBatch>(mNode->LeaseOf(++sequence, 64));
      if (batch.mItems.empty()) {
        return;
      }
      ItemResults results = mNode->ResultsOf(batch, sequence);
      for (ItemResult& result : results.mResults) {
        if (returned.insert(result.mIndex).second) {
          result.mVerdict = ItemVerdict::eReturned;
          result.mBody = "v1";
          result.mProgress.mLastEvent = 5;
          result.mProgress.mText.assign(aTextBytes(result.mIndex), 't');
        }
      }
      // As many in one message as a frame holds.
      ItemResults message = results;
      message.mResults.clear();
      size_t bytes = 0;
      uint64_t number = sequence * 100;
      for (size_t at = 0; at < results.mResults.size(); ++at) {
        message.mResults.push_back(results.mResults[at]);
        bytes += EncodedBound(results.mResults[at]);
        const bool last = at + 1 == results.mResults.size();
        if (last || bytes + EncodedBound(results.mResults[at + 1]) >
                      kMaxFrameBytes - 1024) {
          message.mSequence = ++number;
          BOOST_TEST(!mNode->Ask<ItemResultsAck>(message).mStale);
          message.mResults.clear();
          bytes = 0;
        }
      }
    }
    BOOST_ERROR("items are leased without end");
  }

  void Upload(const std::string& aFile, const std::string& aBytes)
  {
    for (size_t at = 0; at < aBytes.size(); at += kMaxPartBytes) {
      const bool last = at + kMaxPartBytes >= aBytes.size();
      const CallReplyBody reply =
        mEntry->Call(PutFilePart{ FileId(aFile),
                                  "in.jsonl",
                                  "batch",
                                  at,
                                  aBytes.substr(at, kMaxPartBytes),
                                  last });
      BOOST_REQUIRE(std::holds_alternative<FileReply>(reply));
    }
  }

  CallReplyBody Create(const std::string& aJob, const std::string& aFile)
  {
    CreateJob create;
    create.mJob = JobId(aJob);
    create.mInput = FileId(aFile);
    create.mEndpoint = "/v1/chat/completions";
    create.mModel = kModel;
    create.mMaxItems = 1 << 30; // as sent by an entry with an outdated contract
    return mEntry->Call(create);
  }

  void Start(uint32_t aItems)
  {
    std::string bytes;
    for (uint32_t item = 0; item < aItems; ++item) {
      bytes += LineOf(item) + "\n";
    }
    Upload("file-1", bytes);
    BOOST_REQUIRE(
      std::holds_alternative<JobReply>(Create("batch_1", "file-1")));
  }

  std::string ReadOutput()
  {
    std::string bytes;
    ReadFile read{ FileId("file-output-batch_1"), 0 };
    for (int part = 0; part < 100; ++part) {
      const CallReplyBody reply = mEntry->Call(read);
      BOOST_REQUIRE(std::holds_alternative<FileBytesReply>(reply));
      const auto& piece = std::get<FileBytesReply>(reply);
      BOOST_TEST(piece.mBytes.size() <= kMaxPartBytes);
      bytes += piece.mBytes;
      read.mOffset = piece.mNextOffset;
      if (piece.mEnd) {
        break;
      }
    }
    return bytes;
  }
};

} // namespace

// Guards against resent uploads that fill the log of control: each part went
// through it once more, though its file held it.
BOOST_FIXTURE_TEST_CASE(resent_parts_take_no_log_entries, Batch)
{
  const std::string bytes(3 * kMaxPartBytes + 10, 'x');
  Upload("file-1", bytes + "\n");
  const uint64_t before = mLink.LeaderControl().mCounters.mProposals;
  Upload("file-1", bytes + "\n");
  BOOST_TEST(mLink.LeaderControl().mCounters.mProposals <= before + 1);
  // Other bytes are still refused.
  const CallReplyBody other = mEntry->Call(PutFilePart{
    FileId("file-1"), "in.jsonl", "batch", 0, "other bytes\n", false });
  BOOST_REQUIRE(std::holds_alternative<CallFailed>(other));
  BOOST_TEST((std::get<CallFailed>(other).mKind == ErrorKind::eConflict));
}

BOOST_FIXTURE_TEST_CASE(items_arrive_with_bodies_and_results_are_read, Batch)
{
  Start(100);
  uint64_t sequence = 0;
  uint32_t next = 0;
  while (next < 100) {
    const ItemBatch batch =
      mNode->Ask<ItemBatch>(mNode->LeaseOf(++sequence, 40));
    BOOST_REQUIRE(!batch.mItems.empty());
    for (const BatchItem& item : batch.mItems) {
      BOOST_TEST(item.mIndex == next++);
      BOOST_TEST(item.mBody == LineOf(item.mIndex));
    }
    const auto ack =
      mNode->Ask<ItemResultsAck>(mNode->ResultsOf(batch, sequence));
    BOOST_TEST(!ack.mStale);
  }
  const std::string output = ReadOutput();
  BOOST_TEST(std::count(output.begin(), output.end(), '\n') == 100);
  const ItemBatch none = mNode->Ask<ItemBatch>(mNode->LeaseOf(++sequence, 40));
  BOOST_TEST(none.mItems.empty());
  BOOST_TEST((none.mRetryAfter > Duration{}));
}

// Guards against items stuck until the session ends: the reply to a lease was
// lost and all items are leased, so the retransmitted request must get the same
// items.
BOOST_FIXTURE_TEST_CASE(resent_lease_gets_the_same_items, Batch)
{
  Start(10);
  const ItemBatch first = mNode->Ask<ItemBatch>(mNode->LeaseOf(1, 64));
  BOOST_TEST(first.mItems.size() == 10u);
  const ItemBatch again = mNode->Ask<ItemBatch>(mNode->LeaseOf(1, 64));
  BOOST_TEST((again.mToken == first.mToken));
  BOOST_TEST(again.mItems.size() == 10u);
  mLink.Kill(mLink.Leader().value());
  BOOST_REQUIRE(mLink.AwaitLeader());
  const ItemBatch later = mNode->Ask<ItemBatch>(mNode->LeaseOf(1, 64));
  BOOST_TEST((later.mToken == first.mToken));
  BOOST_TEST(later.mItems.size() == 10u);
}

// An acknowledged result must survive the loss of the leader right after the
// acknowledgement.
BOOST_FIXTURE_TEST_CASE(acknowledged_results_survive_the_leader, Batch)
{
  Start(10);
  const ItemBatch batch = mNode->Ask<ItemBatch>(mNode->LeaseOf(1, 64));
  mNode->Ask<ItemResultsAck>(mNode->ResultsOf(batch, 1));
  for (int round = 0; round < 2; ++round) {
    const size_t killed = mLink.Leader().value();
    mLink.Kill(killed);
    BOOST_REQUIRE(mLink.AwaitLeader());
    const std::string output = ReadOutput();
    BOOST_TEST(std::count(output.begin(), output.end(), '\n') == 10);
    mLink.Start(killed);
    mLink.Run(Seconds(2));
  }
}

// No member renews. After the lease and the grace period the items of the lost
// node must be leased to another node, and its late results must be refused.
BOOST_FIXTURE_TEST_CASE(items_of_a_lost_node_are_leased_again, Batch)
{
  Start(10);
  const ItemBatch lost = mNode->Ask<ItemBatch>(mNode->LeaseOf(1, 64));
  mLink.Run(Seconds(6));
  Caller other(mLink, "node-2", MemberRole::eNode);
  const ItemBatch taken = other.Ask<ItemBatch>(other.LeaseOf(1, 64));
  BOOST_TEST(taken.mItems.size() == 10u);
  const auto late = mNode->Ask<ItemResultsAck>(mNode->ResultsOf(lost, 1));
  BOOST_TEST(late.mStale);
  const auto reply = mNode->Ask<RenewReply>(mNode->LeaseOf(2, 64));
  BOOST_TEST((reply.mVerdict == RenewVerdict::eUnknownSession));
}

BOOST_FIXTURE_TEST_CASE(cancelled_job_is_revoked_at_its_nodes, Batch)
{
  Start(10);
  const ItemBatch batch = mNode->Ask<ItemBatch>(mNode->LeaseOf(1, 4));
  mNode->mAnswers.clear();
  mEntry->Call(CancelJob{ JobId("batch_1") });
  mLink.Run(Millis(20));
  const auto* revoked = mNode->Find<ItemsRevoked>();
  BOOST_REQUIRE(revoked != nullptr);
  BOOST_TEST((revoked->mJob == batch.mJob));
  BOOST_TEST(mNode->Ask<ItemResultsAck>(mNode->ResultsOf(batch, 1)).mStale);
  // A job without any result has no blobs; its output must be empty, not an
  // error.
  BOOST_TEST(ReadOutput().empty());
}

// Guards against items of an ended job that a node starts again since the
// message about its end was lost: each renewal is told what has ended, by any
// leader.
BOOST_FIXTURE_TEST_CASE(renewal_is_told_which_leases_have_ended, Batch)
{
  Start(10);
  const ItemBatch batch = mNode->Ask<ItemBatch>(mNode->LeaseOf(1, 4));
  Renew renew;
  renew.mInstance = mNode->mMember.mInstance;
  renew.mEpoch = mNode->mEpoch;
  renew.mRevision = mLink.LeaderControl().mState.mConfig.mView.mRevision;
  renew.mTarget.mModels = { kModel };
  // The second lease is one that the leader has not applied yet.
  const FencingToken later(batch.mToken.mValue + 1000000);
  renew.mLeases = { batch.mToken, later };
  RenewReply reply = mNode->Ask<RenewReply>(renew);
  BOOST_REQUIRE((reply.mVerdict == RenewVerdict::eGranted));
  BOOST_TEST(reply.mEndedLeases.empty());
  BOOST_TEST(reply.mMovedLeases.empty());
  mEntry->Call(CancelJob{ JobId("batch_1") });
  const auto isEnded = [&](const RenewReply& aReply) {
    return aReply.mEndedLeases == std::vector{ batch.mToken };
  };
  BOOST_TEST(isEnded(mNode->Ask<RenewReply>(renew)));
  mLink.Kill(mLink.Leader().value());
  BOOST_REQUIRE(mLink.AwaitLeader());
  renew.mRevision = mLink.LeaderControl().mState.mConfig.mView.mRevision;
  BOOST_TEST(isEnded(mNode->Ask<RenewReply>(renew)));
}

// Items whose bodies are read while their job ends must not be sent out.
BOOST_FIXTURE_TEST_CASE(items_of_a_job_that_ends_during_the_read_stay, Batch)
{
  Start(10);
  mLink.mSync = Millis(40); // of reads, too
  mNode->mAnswers.clear();
  mNode->Send(mNode->LeaseOf(1, 4));
  while (mLink.LeaderControl().mFetches.mLastFetch == 0) {
    mLink.Run(Millis(1));
  }
  mLink.mSync = Millis(1);
  mEntry->Call(CancelJob{ JobId("batch_1") });
  mLink.Run(Millis(300));
  const auto* batch = mNode->Find<ItemBatch>();
  BOOST_REQUIRE(batch != nullptr);
  BOOST_TEST(batch->mItems.empty());
}

// A cancelled job must keep its accepted results, in item order.
BOOST_FIXTURE_TEST_CASE(output_of_a_cancelled_job_skips_open_items, Batch)
{
  Start(300);
  const ItemBatch batch = mNode->Ask<ItemBatch>(mNode->LeaseOf(1, 20));
  ItemResults results = mNode->ResultsOf(batch, 1);
  std::erase_if(results.mResults, [](const ItemResult& aResult) {
    return aResult.mIndex % 2 == 0;
  });
  BOOST_TEST(!mNode->Ask<ItemResultsAck>(results).mStale);
  mEntry->Call(CancelJob{ JobId("batch_1") });
  const std::string output = ReadOutput();
  BOOST_TEST(std::count(output.begin(), output.end(), '\n') == 10);
}

BOOST_FIXTURE_TEST_CASE(limits_follow_from_the_contract_of_control, Batch)
{
  std::string bytes;
  for (int line = 0; line < 1001; ++line) {
    bytes += "{}\n";
  }
  Upload("file-2", bytes);
  const CallReplyBody refused = Create("batch_2", "file-2");
  BOOST_REQUIRE(std::holds_alternative<CallFailed>(refused));
  BOOST_TEST((std::get<CallFailed>(refused).mKind == ErrorKind::eTooLarge));
  mLink.Write("DELETE", "/admin/contracts/lindholt");
  const CallReplyBody ended = Create("batch_3", "file-2");
  BOOST_REQUIRE(std::holds_alternative<CallFailed>(ended));
  BOOST_TEST((std::get<CallFailed>(ended).mKind == ErrorKind::eNotPermitted));
}

// Input lines up to the ledger's limit must fit into the frames that carry
// them.
BOOST_FIXTURE_TEST_CASE(longest_lines_fit_into_frames, Batch)
{
  const std::string line(kMaxLineBytes, 'x');
  Upload("file-1", line + "\n" + line + "\n");
  BOOST_REQUIRE(std::holds_alternative<JobReply>(Create("batch_1", "file-1")));
  for (uint64_t sequence = 1; sequence <= 2; ++sequence) {
    const ItemBatch batch = mNode->Ask<ItemBatch>(mNode->LeaseOf(sequence, 64));
    BOOST_REQUIRE(batch.mItems.size() == 1u);
    BOOST_TEST(batch.mItems[0].mBody.size() == line.size());
    BOOST_TEST(EncodeMessage(batch).size() <= kMaxFrameBytes);
  }
}

// Guards against items that stay leased for good because the message that
// brings them, or the command that returns them, is too large once their
// partial outputs are counted. Sizes of a prompt, of a text and of both, up to
// the largest line and text.
BOOST_AUTO_TEST_CASE(items_with_large_partial_outputs_are_run_again)
{
  struct Sizes
  {
    uint32_t mItems;
    size_t mLine;
    size_t mText;
  };
  constexpr size_t kMaxText = 700 * 1024;
  for (const Sizes& sizes : { Sizes{ 8, 118000, 14000 },
                              Sizes{ 20, 800, 123000 },
                              Sizes{ 24, 39000, 149000 },
                              Sizes{ 3, kMaxLineBytes, 1 },
                              Sizes{ 3, kMaxLineBytes, kMaxText },
                              Sizes{ 3, 10, kMaxText },
                              Sizes{ 3, 400000, kMaxText } }) {
    BOOST_TEST_CONTEXT(sizes.mItems << " lines of " << sizes.mLine
                                    << ", texts of " << sizes.mText)
    {
      Batch batch;
      std::string bytes;
      for (uint32_t item = 0; item < sizes.mItems; ++item) {
        bytes += std::string(sizes.mLine, 'x') + "\n";
      }
      batch.Upload("file-1", bytes);
      BOOST_REQUIRE(
        std::holds_alternative<JobReply>(batch.Create("batch_1", "file-1")));
      batch.RunWithOneReturnEach([&](uint32_t) { return sizes.mText; });
      const std::string output = batch.ReadOutput();
      BOOST_TEST(std::count(output.begin(), output.end(), '\n') ==
                 sizes.mItems);
      BOOST_TEST(batch.mLink.mTooLarge == 0u);
    }
  }
}

// The same with sizes that differ between the items of a job, the smallest and
// the largest preferred.
BOOST_AUTO_TEST_CASE(items_of_random_sizes_are_run_again)
{
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Random random(seed);
      const auto sizeUpTo = [&](uint64_t aMost) {
        const uint64_t kind = DrawBelow(random, 4);
        return kind == 0   ? uint64_t{ 1 }
               : kind == 1 ? aMost
                           : 1 + DrawBelow(random, aMost);
      };
      Batch batch;
      const uint64_t items = 2 + DrawBelow(random, 30);
      const uint64_t longest = sizeUpTo(200000);
      const uint64_t text = sizeUpTo(700 * 1024);
      std::string bytes;
      for (uint64_t item = 0; item < items; ++item) {
        bytes += std::string(sizeUpTo(longest), 'x') + "\n";
      }
      batch.Upload("file-1", bytes);
      BOOST_REQUIRE(
        std::holds_alternative<JobReply>(batch.Create("batch_1", "file-1")));
      batch.RunWithOneReturnEach([&](uint32_t) { return sizeUpTo(text); });
      const std::string output = batch.ReadOutput();
      BOOST_TEST(static_cast<uint64_t>(
                   std::count(output.begin(), output.end(), '\n')) == items);
      BOOST_TEST(batch.mLink.mTooLarge == 0u);
    }
  }
}

// Results of one message that exceed a log entry must be split.
BOOST_FIXTURE_TEST_CASE(large_results_are_split_over_log_entries, Batch)
{
  Start(8);
  const ItemBatch batch = mNode->Ask<ItemBatch>(mNode->LeaseOf(1, 64));
  ItemResults results = mNode->ResultsOf(batch, 1);
  for (ItemResult& result : results.mResults) {
    result.mBody = R"({"text":")" + std::string(120 * 1024, 'y') + R"("})";
  }
  BOOST_TEST(!mNode->Ask<ItemResultsAck>(results).mStale);
  const std::string output = ReadOutput();
  BOOST_TEST(std::count(output.begin(), output.end(), '\n') == 8);
  BOOST_TEST(output.size() > 8u * 120 * 1024);
}

// A replica that cannot read durable input must halt, so that another one
// serves.
BOOST_FIXTURE_TEST_CASE(unreadable_input_halts_the_leader, Batch)
{
  Start(10);
  const size_t leader = mLink.Leader().value();
  for (auto& [name, blob] : mLink.mReplicas[leader].mDisk.mBlobs) {
    blob.clear();
  }
  mNode->Send(mNode->LeaseOf(1, 64));
  mLink.Run(Millis(50));
  BOOST_TEST(mLink.mReplicas[leader].mHalted);
  BOOST_REQUIRE(mLink.AwaitLeader());
  const ItemBatch batch = mNode->Ask<ItemBatch>(mNode->LeaseOf(1, 64));
  BOOST_TEST(batch.mItems.size() == 10u);
}

// Guards against a leader that takes parts of files without limit while the
// disks are behind, up to the platform's memory limit, and leaves the callers
// of the rest without an answer.
BOOST_FIXTURE_TEST_CASE(parts_beyond_the_pending_bytes_are_refused, Batch)
{
  constexpr size_t kParts = 150;
  mLink.mSync = Millis(100);
  mEntry->mAnswers.clear();
  for (size_t at = 0; at < kParts; ++at) {
    ControlCall call;
    call.mCall = 1000000 + at;
    call.mEntry = mEntry->mMember.mInstance;
    call.mEntryEpoch = mEntry->mEpoch;
    call.mWorkspace = kWorkspace;
    call.mBody =
      PutFilePart{ FileId("file-" + std::to_string(at)), "in.jsonl", "batch", 0,
                   std::string(kMaxPartBytes, 'x'),      false };
    mEntry->Send(call);
  }
  mLink.Run(Millis(20));
  const Raft& raft = mLink.mReplicas[mLink.Leader().value()].mControl->mRaft;
  size_t refused = 0;
  for (const Message& message : mEntry->mAnswers) {
    const auto* reply = std::get_if<ControlCallReply>(&message);
    const auto* failed =
      reply == nullptr ? nullptr : std::get_if<CallFailed>(&reply->mBody);
    refused +=
      failed != nullptr && failed->mKind == ErrorKind::eOverloaded ? 1 : 0;
  }
  const uint64_t pending = raft.mLog.mPendingBytes;
  BOOST_TEST(pending <= raft.mSettings.mMaxPendingBytes / 2);
  BOOST_TEST(refused == kParts - pending / kMaxPartBytes);
  mLink.mSync = Millis(1);
  mLink.Run(Seconds(1));
  BOOST_TEST(raft.mLog.mPendingBytes == 0);
  BOOST_TEST(std::holds_alternative<FileReply>(mEntry->Call(
    PutFilePart{ FileId("file-last"), "in.jsonl", "batch", 0, "x", true })));
}

// Guards against items that were run whole and are listed as failed, since
// their output is larger than one part of a file.
BOOST_FIXTURE_TEST_CASE(results_of_the_largest_size_are_read_whole, Batch)
{
  constexpr size_t kLargest = 700 * 1024;
  Start(3);
  const ItemBatch batch = mNode->Ask<ItemBatch>(mNode->LeaseOf(1, 3));
  BOOST_REQUIRE(batch.mItems.size() == 3u);
  std::vector<std::string> lines;
  for (const size_t bytes : { kLargest, size_t{ 9 }, kMaxPartBytes }) {
    lines.push_back(R"({"o":")" + std::string(bytes, 'x') + R"("})");
  }
  const ItemResults all = mNode->ResultsOf(batch, 0);
  for (size_t at = 0; at < lines.size(); ++at) {
    ItemResults one = all;
    one.mSequence = at + 1;
    one.mResults = { all.mResults[at] };
    one.mResults[0].mBody = lines[at];
    BOOST_TEST(!mNode->Ask<ItemResultsAck>(one).mStale);
  }
  ReadFile read{ FileId("file-output-batch_1"), 0 };
  for (const std::string& line : lines) {
    const CallReplyBody reply = mEntry->Call(read);
    BOOST_REQUIRE(std::holds_alternative<FileBytesReply>(reply));
    const auto& piece = std::get<FileBytesReply>(reply);
    BOOST_TEST((piece.mBytes == line + "\n"));
    read.mOffset = piece.mNextOffset;
  }
  const CallReplyBody job = mEntry->Call(DescribeJob{ JobId("batch_1") });
  BOOST_REQUIRE(std::holds_alternative<JobReply>(job));
  BOOST_TEST(std::get<JobReply>(job).mJob.mCompleted == 3u);
}
