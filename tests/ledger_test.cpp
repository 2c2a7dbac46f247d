// Tests each guarantee of the ledger alone; fuzz/ledger_fuzz.cpp tests them in
// combination.
#define BOOST_TEST_MODULE ledger
#include <boost/test/unit_test.hpp>

#include "tests/ledger_fixture.h"

using namespace caraway;

BOOST_AUTO_TEST_CASE(resent_parts_are_harmless_and_changed_ones_conflict)
{
  LedgerReplica replica;
  Call(replica, Part(0, "{\"a\"", false));
  Call(replica, Part(4, ":1}\n\n{}", true));
  BOOST_TEST(
    (KindOfReply(Call(replica, Part(0, "{\"a\"", false))) == ErrorKind::eNone));
  BOOST_TEST(replica.mEffects.empty());
  BOOST_TEST((KindOfReply(Call(replica, Part(0, "{\"b\"", false))) ==
              ErrorKind::eConflict));
  BOOST_TEST(
    (KindOfReply(Call(replica, Part(11, "x", false))) == ErrorKind::eConflict));
  auto last = Call(replica, Part(4, ":1}\n\n{}", true));
  BOOST_REQUIRE(std::holds_alternative<FileReply>(last));
  BOOST_TEST(std::get<FileReply>(last).mFile.mLines == 2u);
  BOOST_TEST(Content(replica, FileId("file-1")) == "{\"a\":1}\n\n{}");
}

BOOST_AUTO_TEST_CASE(lines_across_parts_are_indexed)
{
  LedgerReplica replica;
  Call(replica, Part(0, "{\"first\"", false));
  Call(replica, Part(8, ":1}\r\n  \r\n{\"sec", false));
  Call(replica, Part(22, "ond\":2}", true));
  Call(replica, NewJob("batch_1"));
  auto record = ItemIndexRecord(replica.mLedger, JobId("batch_1"), 1);
  BOOST_REQUIRE(record.ok());
  auto data = DataRange(*record, ReadRange(replica, *record));
  BOOST_REQUIRE(data.ok());
  BOOST_TEST(ReadRange(replica, *data) == "{\"second\":2}");
  BOOST_TEST(!ItemIndexRecord(replica.mLedger, JobId("batch_1"), 2).ok());
}

BOOST_AUTO_TEST_CASE(overlong_line_fails_the_upload)
{
  LedgerReplica replica;
  const std::string partBytes(kMaxPartBytes, 'x');
  CallReplyBody reply;
  for (uint64_t part = 0; part < 4; ++part) {
    reply = Call(replica, Part(part * kMaxPartBytes, partBytes, false));
  }
  BOOST_TEST((KindOfReply(reply) == ErrorKind::eTooLarge));
  BOOST_TEST(replica.mBlobs.empty());
  BOOST_TEST(Content(replica, FileId("file-1")) == "error not_found");
}

BOOST_AUTO_TEST_CASE(workspaces_do_not_see_each_other)
{
  LedgerReplica replica;
  Upload(replica, 3);
  Call(replica, NewJob("batch_1"));
  BOOST_TEST(Content(replica, FileId("file-1"), kSouth) == "error not_found");
  // The same id in another workspace is a different file with its own blobs.
  Upload(replica, 1, kSouth);
  BOOST_TEST(Content(replica, FileId("file-1"), kSouth) == "{\"n\":0}\n");
  BOOST_TEST(Content(replica, FileId("file-1")).size() == 24u);
  BOOST_TEST(
    (KindOfReply(Call(replica, CancelJob{ JobId("batch_1") }, kSouth)) ==
     ErrorKind::eNotFound));
  BOOST_TEST((KindOfReply(Call(replica, DeleteFile{ FileId("file-1") })) ==
              ErrorKind::eConflict));
  BOOST_TEST((KindOfReply(Call(replica, Part(0, "x", true, "../meta"))) ==
              ErrorKind::eInvalidArgument));
}

BOOST_AUTO_TEST_CASE(same_key_gives_the_same_job)
{
  LedgerReplica replica;
  Upload(replica, 2);
  Call(replica, NewJob("batch_1", "order-7"));
  auto again = Call(replica, NewJob("batch_2", "order-7"));
  BOOST_REQUIRE(std::holds_alternative<JobReply>(again));
  BOOST_TEST(std::get<JobReply>(again).mJob.mId.mValue == "batch_1");
  auto other = NewJob("batch_3", "order-7");
  other.mMetadata = "{\"x\":1}";
  BOOST_TEST((KindOfReply(Call(replica, other)) == ErrorKind::eConflict));
}

BOOST_AUTO_TEST_CASE(job_completes_and_results_are_read_in_item_order)
{
  LedgerReplica replica;
  Upload(replica, 3);
  Call(replica, NewJob("batch_1"));
  const ItemBatch first = Lease(replica, "node-1", 1, 2);
  const ItemBatch second = Lease(replica, "node-2", 1, 2);
  BOOST_TEST(first.mItems.size() == 2u);
  BOOST_TEST(second.mItems.size() == 1u);
  Answer(replica, "node-2", second);
  const FileId output = Describe(replica, "batch_1").mOutput;
  BOOST_TEST(Content(replica, output) == "{\"answer\":2, \"by\":\"node-2\"}\n");
  Answer(replica, "node-1", first);
  BOOST_TEST((Describe(replica, "batch_1").mStatus == JobStatus::eCompleted));
  BOOST_TEST(Content(replica, output) == "{\"answer\":0, \"by\":\"node-1\"}\n"
                                         "{\"answer\":1, \"by\":\"node-1\"}\n"
                                         "{\"answer\":2, \"by\":\"node-2\"}\n");
  BOOST_TEST(Lease(replica, "node-1", 2).mItems.empty());
}

BOOST_AUTO_TEST_CASE(resent_lease_requests_get_the_same_items)
{
  LedgerReplica replica;
  Upload(replica, 100);
  Call(replica, NewJob("batch_1"));
  const ItemBatch first = Lease(replica, "node-1", 5, 10);
  const ItemBatch again = Lease(replica, "node-1", 5, 10);
  BOOST_TEST(again.mToken.mValue == first.mToken.mValue);
  BOOST_TEST(again.mItems.size() == 10u);
  // A late copy of an older request leases nothing.
  BOOST_TEST(Lease(replica, "node-1", 4, 10).mItems.empty());
  BOOST_TEST(Lease(replica, "node-1", 6, 10).mItems[0].mIndex == 10u);
}

BOOST_AUTO_TEST_CASE(stale_results_are_refused_after_the_session_ended)
{
  LedgerReplica replica;
  Upload(replica, 4);
  Call(replica, NewJob("batch_1"));
  const ItemBatch lost = Lease(replica, "node-1", 1);
  EndSession(replica, "node-1");
  const ItemBatch next = Lease(replica, "node-2", 1);
  BOOST_TEST(next.mItems.size() == 4u);
  BOOST_TEST(Answer(replica, "node-1", lost).mStale);
  BOOST_TEST(Describe(replica, "batch_1").mCompleted == 0u);
  BOOST_TEST(!Answer(replica, "node-2", next).mStale);
  BOOST_TEST(Describe(replica, "batch_1").mCompleted == 4u);
  // A request of the ended session, applied late, would hold items forever.
  Call(replica, NewJob("batch_2"));
  BOOST_TEST(Lease(replica, "node-1", 2).mItems.empty());
}

BOOST_AUTO_TEST_CASE(attempts_are_bounded_and_returns_do_not_count)
{
  LedgerReplica replica;
  Upload(replica, 1);
  Call(replica, NewJob("batch_1"));
  for (uint64_t round = 1; round <= 10; ++round) {
    Answer(replica,
           "node-1",
           Lease(replica, "node-1", round),
           ItemVerdict::eReturned);
  }
  Answer(
    replica, "node-1", Lease(replica, "node-1", 11), ItemVerdict::eRetryable);
  Lease(replica, "node-2", 1);
  EndSession(replica, "node-2");
  BOOST_TEST((Describe(replica, "batch_1").mStatus == JobStatus::eInProgress));
  Answer(
    replica, "node-1", Lease(replica, "node-1", 12), ItemVerdict::eRetryable);
  const JobInfo info = Describe(replica, "batch_1");
  BOOST_TEST((info.mStatus == JobStatus::eCompleted));
  BOOST_TEST(info.mFailed == 1u);
  const std::string line = Content(replica, info.mOutput);
  BOOST_TEST(
    line.starts_with("{\"id\":\"batch_req_batch_1_0\",\"custom_id\":null,"
                     "\"line\":0,\"response\":null,\"error\":{\"code\":"
                     "\"attempts_exhausted\""));
}

BOOST_AUTO_TEST_CASE(cancel_and_expiry_are_final)
{
  LedgerReplica replica;
  Upload(replica, 2);
  Call(replica, NewJob("batch_1"));
  Call(replica, NewJob("batch_2", "", Seconds(60)));
  const ItemBatch first = Lease(replica, "node-1", 1, 1);
  const ItemBatch second = Lease(replica, "node-2", 1, 1);
  Call(replica, CancelJob{ first.mJob });
  BOOST_TEST(replica.mEffects.size() == 1u);
  BOOST_TEST(Answer(replica, "node-1", first).mStale);
  BOOST_REQUIRE(first.mJob == JobId("batch_2")); // least slack first
  BOOST_REQUIRE(second.mJob == JobId("batch_2"));
  Call(replica, NewJob("batch_3", "", Seconds(60)));
  const ItemBatch third = Lease(replica, "node-3", 1, 1);
  BOOST_TEST(NextLedgerTick(replica.mLedger).mMicros <= Seconds(60).mMicros);
  Tick(replica, MonoTime{ Seconds(60).mMicros });
  BOOST_TEST((Describe(replica, "batch_3").mStatus == JobStatus::eExpired));
  BOOST_TEST(Answer(replica, "node-3", third).mStale);
  BOOST_TEST((Describe(replica, "batch_2").mStatus == JobStatus::eCancelled));
}

BOOST_AUTO_TEST_CASE(workspaces_share_leases_by_weight)
{
  LedgerReplica replica;
  Upload(replica, 4000);
  Upload(replica, 4000, kSouth);
  auto heavy = NewJob("batch_1");
  heavy.mWeight = 3;
  Call(replica, heavy);
  Call(replica, NewJob("batch_2"), kSouth);
  std::map<WorkspaceId, size_t> items;
  for (uint64_t round = 1; round <= 40; ++round) {
    const ItemBatch batch = Lease(replica, "node-1", round, 50);
    items[batch.mWorkspace] += batch.mItems.size();
  }
  BOOST_TEST(items[kNorth] == 1500u);
  BOOST_TEST(items[kSouth] == 500u);
}

BOOST_AUTO_TEST_CASE(job_at_risk_is_reported_and_gets_a_larger_share)
{
  LedgerReplica replica;
  Upload(replica, 4000);
  Upload(replica, 4000, kSouth);
  Call(replica, NewJob("batch_1", "", Seconds(100)));
  Call(replica, NewJob("batch_2", "", Seconds(86400)), kSouth);
  for (uint64_t round = 1; round <= 4; ++round) {
    Answer(replica, "node-1", Lease(replica, "node-1", round, 50));
  }
  Tick(replica, MonoTime{ Seconds(10).mMicros });
  // 100 of 4000 items took 10 s, so the rest takes 390 s, and 90 s are left.
  BOOST_TEST(Describe(replica, "batch_1").mAtRisk);
  std::map<WorkspaceId, size_t> items;
  for (uint64_t round = 5; round <= 34; ++round) {
    const ItemBatch batch = Lease(replica, "node-1", round, 50);
    items[batch.mWorkspace] += batch.mItems.size();
  }
  BOOST_TEST(items[kNorth] == 1000u);
  BOOST_TEST(items[kSouth] == 500u);
}

BOOST_AUTO_TEST_CASE(results_stay_for_the_retention_time)
{
  LedgerReplica replica;
  Upload(replica, 1);
  Call(replica, NewJob("batch_1", "order-1"));
  Answer(replica, "node-1", Lease(replica, "node-1", 1));
  const FileId output = Describe(replica, "batch_1").mOutput;
  const MonoTime end{ Seconds(30 * 86400).mMicros };
  Tick(replica, end - Micros(1));
  BOOST_TEST(Content(replica, output).size() > 0u);
  BOOST_TEST(NextLedgerTick(replica.mLedger).mMicros == end.mMicros);
  Tick(replica, end);
  BOOST_TEST(Content(replica, output) == "error not_found");
  Tick(replica, end + Seconds(30 * 86400));
  BOOST_TEST(replica.mBlobs.empty());
  BOOST_TEST(replica.mLedger.mWorkspaces.empty());
}

BOOST_AUTO_TEST_CASE(claim_is_granted_once_and_returns_the_stored_answer)
{
  LedgerReplica replica;
  const IdempotencyKey key("book-1");
  auto verdict = [&](const char* aRequest, uint64_t aPrint = 5) {
    auto reply = Call(replica, Claim{ key, aPrint, RequestId(aRequest) });
    return std::get<ClaimReply>(reply).mVerdict;
  };
  BOOST_TEST((verdict("r1") == ClaimVerdict::eGranted));
  BOOST_TEST((verdict("r1") == ClaimVerdict::eGranted));
  BOOST_TEST((verdict("r2") == ClaimVerdict::eInProgress));
  BOOST_TEST((verdict("r2", 6) == ClaimVerdict::eMismatch));
  // Another request must not complete or release the claim.
  BOOST_TEST(
    (KindOfReply(Call(replica, CompleteClaim{ key, RequestId("r2"), 200 })) ==
     ErrorKind::eNotFound));
  Call(replica, ReleaseClaim{ key, RequestId("r2") });
  BOOST_TEST((verdict("r2") == ClaimVerdict::eInProgress));
  Call(replica,
       CompleteClaim{ key, RequestId("r1"), 201, "text/plain", "booked" });
  auto reply = Call(replica, Claim{ key, 5, RequestId("r3") });
  BOOST_TEST(std::get<ClaimReply>(reply).mBody == "booked");
  Tick(replica, MonoTime{ Seconds(86400).mMicros });
  BOOST_TEST((verdict("r4") == ClaimVerdict::eGranted));
}

BOOST_AUTO_TEST_CASE(claims_of_lost_entries_are_unknown)
{
  LedgerReplica replica;
  const IdempotencyKey key("book-1");
  Call(replica, Claim{ key, 5, RequestId("r1") });
  EndSession(replica, "entry-1", 1);
  auto reply =
    Call(replica, Claim{ key, 5, RequestId("r2") }, kNorth, Epoch(2));
  BOOST_TEST((std::get<ClaimReply>(reply).mVerdict == ClaimVerdict::eUnknown));
  // A claim of the ended session, applied late, would stay claimed forever.
  auto late = Call(replica, Claim{ IdempotencyKey("k2"), 5, RequestId("r3") });
  BOOST_TEST((KindOfReply(late) == ErrorKind::eStaleEpoch));
  // So would a late copy of a claim that was released.
  const Claim claim{ IdempotencyKey("k3"), 5, RequestId("r4") };
  Call(replica, claim, kNorth, Epoch(2));
  Call(replica, ReleaseClaim{ claim.mKey, claim.mRequest });
  BOOST_TEST((KindOfReply(Call(replica, claim, kNorth, Epoch(2))) ==
              ErrorKind::eStaleEpoch));
}

BOOST_AUTO_TEST_CASE(claims_are_bounded)
{
  LedgerReplica replica;
  for (size_t count = 0; count < kMaxClaims; ++count) {
    Call(replica,
         Claim{ IdempotencyKey(std::to_string(count)), 1, RequestId("r") });
  }
  auto reply = Call(replica, Claim{ IdempotencyKey("x"), 1, RequestId("r") });
  BOOST_TEST((KindOfReply(reply) == ErrorKind::eOverloaded));
}

BOOST_AUTO_TEST_CASE(lists_are_paged)
{
  LedgerReplica replica;
  Upload(replica, 1);
  for (int job = 0; job < 5; ++job) {
    Call(replica, NewJob("batch_" + std::to_string(job)));
  }
  ControlCall call;
  call.mWorkspace = kNorth;
  std::vector<std::string> seen;
  FileId after;
  while (true) {
    call.mBody = ListFiles{ after, 2 };
    auto page = std::get<FileListReply>(ReadCall(replica.mLedger, {}, call));
    for (const FileInfo& file : page.mFiles) {
      seen.push_back(file.mId.mValue);
    }
    if (!page.mMore) {
      break;
    }
    after = page.mFiles.back().mId;
  }
  BOOST_TEST(seen.size() == 6u);
  BOOST_TEST(std::is_sorted(seen.begin(), seen.end()));
  call.mBody = ListJobs{ JobId("batch_2"), 1 };
  auto jobs = std::get<JobListReply>(ReadCall(replica.mLedger, {}, call));
  BOOST_TEST(jobs.mJobs.at(0).mId.mValue == "batch_3");
  BOOST_TEST(jobs.mMore);
}

BOOST_AUTO_TEST_CASE(corrupted_snapshots_are_refused_or_usable)
{
  LedgerReplica replica;
  Upload(replica, 200);
  Call(replica, NewJob("batch_1", "key"));
  Lease(replica, "node-1", 1);
  Answer(replica, "node-2", Lease(replica, "node-2", 1, 5));
  Call(replica, Claim{ IdempotencyKey("k"), 1, RequestId("r") });
  const std::string bytes = EncodeLedger(replica.mLedger);
  BOOST_REQUIRE(DecodeLedger(bytes).ok());
  Random random(7);
  size_t accepted = 0;
  for (int round = 0; round < 3000; ++round) {
    std::string changed = bytes;
    for (int change = 0; change < 3; ++change) {
      changed[DrawBelow(random, changed.size())] =
        static_cast<char>(random.mEngine());
    }
    changed.resize(changed.size() - (round % 5 == 0 ? 1 : 0));
    auto decoded = DecodeLedger(changed);
    if (!decoded.ok()) {
      continue;
    }
    ++accepted;
    LedgerReplica other;
    other.mLedger = std::move(*decoded);
    other.mNow = replica.mNow;
    other.mIndex = replica.mIndex;
    Answer(other, "node-1", Lease(other, "node-1", 2));
    EndSession(other, "node-1");
    Tick(other, MonoTime{ Seconds(4000).mMicros });
    EncodeLedger(other.mLedger);
  }
  BOOST_TEST(accepted > 0u);
  BOOST_TEST(accepted < 3000u);
}
