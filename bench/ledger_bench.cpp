// Measures memory and speed of the batch ledger with one job of 750,000 items
// and with 46,000 small jobs of 8 workspaces. Speed is the rate at which one
// core applies commands; the log and the network are not included.

#include <chrono>
#include <cstdio>
#include <string>

#include <malloc.h>

#include "caraway/ledger/ledger.h"

using namespace caraway;

namespace {

const ModelId kModel("tekst-model");

struct Bench
{
  Ledger mLedger;
  uint64_t mIndex = 0;
  std::vector<LedgerEffect> mEffects;
};

double
Now()
{
  return std::chrono::duration<double>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

size_t
UsedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void
Call(Bench& aBench, const std::string& aSpace, CallBody aBody)
{
  ControlCall call;
  call.mWorkspace = WorkspaceId(aSpace);
  call.mBody = std::move(aBody);
  aBench.mEffects.clear();
  ApplyCall(
    aBench.mLedger, LogIndex(++aBench.mIndex), {}, 1, call, aBench.mEffects);
}

void
Upload(Bench& aBench, const std::string& aSpace, size_t aLines)
{
  PutFilePart part;
  part.mFile = FileId("file-0123456789abcdef0123456789abcdef");
  for (size_t line = 0; line < aLines;) {
    part.mOffset += part.mBytes.size();
    part.mBytes.clear();
    for (size_t count = 0; count < 50000 && line < aLines; ++count, ++line) {
      part.mBytes += "{}\n";
    }
    part.mLast = line == aLines;
    Call(aBench, aSpace, part);
  }
}

void
Create(Bench& aBench, const std::string& aSpace, size_t aNumber)
{
  CreateJob create;
  create.mJob =
    JobId("batch_0123456789abcdef0123456" + std::to_string(aNumber));
  create.mInput = FileId("file-0123456789abcdef0123456789abcdef");
  create.mEndpoint = "/v1/chat/completions";
  create.mWindow = Seconds(86400);
  create.mModel = kModel;
  create.mMaxItems = 1000000;
  Call(aBench, aSpace, create);
}

// Leases up to aRounds chunks of items and reports their results. Returns the
// number of items completed.
size_t
CompleteItems(Bench& aBench, size_t aRounds)
{
  size_t items = 0;
  LeaseItems ask;
  ask.mNode = InstanceId("node-1");
  ask.mNodeEpoch = Epoch(1);
  ask.mModels = { kModel };
  ask.mWanted = 64;
  const std::string body(200, 'x');
  for (size_t round = 0; round < aRounds; ++round) {
    ask.mSequence = aBench.mIndex + 1;
    const ItemBatch batch =
      ApplyLease(aBench.mLedger, LogIndex(++aBench.mIndex), {}, ask);
    if (batch.mItems.empty()) {
      break;
    }
    ItemResults results;
    results.mNode = ask.mNode;
    results.mNodeEpoch = ask.mNodeEpoch;
    results.mJob = batch.mJob;
    results.mToken = batch.mToken;
    for (const BatchItem& item : batch.mItems) {
      results.mResults.push_back(
        ItemResult{ item.mIndex, ItemVerdict::eDone, 200, "{" + body + "}" });
    }
    items += results.mResults.size();
    aBench.mEffects.clear();
    ApplyResults(aBench.mLedger,
                 LogIndex(++aBench.mIndex),
                 {},
                 1,
                 results,
                 aBench.mEffects);
  }
  return items;
}

bool
Print(const char* aName, double aValue, double aBound, bool aAtMost)
{
  const bool good = aAtMost ? aValue <= aBound : aValue >= aBound;
  std::printf(
    "%s %.2f %.2f %s\n", aName, aValue, aBound, good ? "ok" : "MISSED");
  return good;
}

bool
BenchLargeJob()
{
  constexpr size_t kItems = 750000;
  Bench bench;
  Upload(bench, "large", kItems);
  bench.mEffects = {};
  const size_t before = UsedBytes();
  Create(bench, "large", 1);
  CompleteItems(bench, 100);
  bench.mEffects = {};
  const double bytes = static_cast<double>(UsedBytes() - before);
  // One bit per item, and the same again for ranges.
  bool good = Print("big_job_bytes_per_item", bytes / kItems, 0.25, true);
  good = Print("big_job_encoded_bytes",
               static_cast<double>(EncodeLedger(bench.mLedger).size()),
               256 * 1024,
               true) &&
         good;
  const double start = Now();
  const size_t items = CompleteItems(bench, kItems);
  // 32 million items a day are 370 items/s, which may use a tenth of a core.
  return Print("big_job_items_per_core_second",
               static_cast<double>(items) / (Now() - start),
               3700,
               false) &&
         good;
}

bool
BenchSmallJobs()
{
  constexpr size_t kJobs = 46000;
  Bench bench;
  for (size_t space = 0; space < 8; ++space) {
    Upload(bench, "space-" + std::to_string(space), 700);
  }
  const size_t before = UsedBytes();
  for (size_t job = 0; job < kJobs; ++job) {
    Create(bench, "space-" + std::to_string(job % 8), job);
  }
  const double bytes = static_cast<double>(UsedBytes() - before);
  // 46,000 jobs, those of one day, must fit into 64 MB.
  bool good = Print("small_job_bytes_running", bytes / kJobs, 1400, true);
  double start = Now();
  const std::string encoded = EncodeLedger(bench.mLedger);
  std::printf("small_jobs_encode_seconds %.3f - info\n", Now() - start);
  good = Print("small_job_encoded_bytes",
               static_cast<double>(encoded.size()) / kJobs,
               1400,
               true) &&
         good;
  start = Now();
  const size_t items = CompleteItems(bench, 20000);
  return Print("small_jobs_items_per_core_second",
               static_cast<double>(items) / (Now() - start),
               3700,
               false) &&
         good;
}

} // namespace

int
main()
{
  const bool big = BenchLargeJob();
  const bool small = BenchSmallJobs();
  return big && small ? 0 : 1;
}
