#pragma once
// The batch ledger as a deterministic state machine. Every replica applies the
// same commands in log order and computes the same state, effects and replies.
//
// Time is the logical time that commands carry (the leader's milliseconds since
// the group began, never decreasing).

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "caraway/base/time.h"
#include "caraway/ledger/effects.h"
#include "caraway/ledger/ledger_state.h"

namespace caraway {

// True for calls that change nothing; they are served by ReadCall under the
// leader lease, without a log entry.
bool
IsReadOnly(const CallBody& aBody);

// Applies a changing call of an entry.
CallReplyBody
ApplyCall(Ledger& aLedger,
          LogIndex aIndex,
          MonoTime aLogicalNow,
          int64_t aUnixSeconds,
          const ControlCall& aCall,
          std::vector<LedgerEffect>& aEffects);

// Leases items of one job to a node. The token is aIndex. Items come back with
// empty bodies; ItemBodyLocation tells where to read them. A resend (same node
// epoch and sequence) gets the same items again.
ItemBatch
ApplyLease(Ledger& aLedger,
           LogIndex aIndex,
           MonoTime aLogicalNow,
           const LeaseItems& aRequest);

ItemResultsAck
ApplyResults(Ledger& aLedger,
             LogIndex aIndex,
             MonoTime aLogicalNow,
             int64_t aUnixSeconds,
             const ItemResults& aResults,
             std::vector<LedgerEffect>& aEffects);

// A member's session ended: its items are free again, its claims are unknown.
void
ApplySessionEnd(Ledger& aLedger,
                LogIndex aIndex,
                MonoTime aLogicalNow,
                const InstanceId& aInstance,
                Epoch aEpoch,
                std::vector<LedgerEffect>& aEffects);

// Deadlines and retention. The leader proposes a tick when NextLedgerTick says
// so.
void
ApplyLedgerTick(Ledger& aLedger,
                LogIndex aIndex,
                MonoTime aLogicalNow,
                int64_t aUnixSeconds,
                Duration aResultRetention,
                Duration aClaimRetention,
                std::vector<LedgerEffect>& aEffects);

MonoTime
NextLedgerTick(const Ledger& aLedger);

// True if some job has items to lease for one of these models.
bool
HasItemsToLease(const Ledger& aLedger, const std::vector<ModelId>& aModels);

// The output file of a job.
FileId
OutputFileId(const JobId& aJob);

// Describe and list calls.
CallReplyBody
ReadCall(const Ledger& aLedger, MonoTime aLogicalNow, const ControlCall& aCall);

// Reading of blobs takes two steps: an index record gives the place of the
// data. All index records are kIndexRecordBytes long: offset and length,
// little-endian.
constexpr uint32_t kIndexRecordBytes = 16;

struct BlobRange
{
  std::string mName;
  uint64_t mOffset = 0;
  uint32_t mLength = 0;
};

// The index record of an input line of a job's file.
absl::StatusOr<BlobRange>
ItemIndexRecord(const Ledger& aLedger, const JobId& aJob, uint32_t aItem);

// The line number of an item of an open job. eNotFound if there is none.
absl::StatusOr<uint32_t>
FindItemById(const Ledger& aLedger,
             const WorkspaceId& aWorkspace,
             const ReadItem& aRead);

// Jobs of routes that the plan no longer has end, their items given up; those
// whose route leads to another service go on there.
void
ApplyPlanToJobs(Ledger& aLedger,
                LogIndex aIndex,
                MonoTime aLogicalNow,
                int64_t aUnixSeconds,
                const ServingPlan& aPlan,
                std::vector<LedgerEffect>& aEffects);

// The data range that an index record read from the blob names. Results include
// their newline, input lines do not. A record that is missing, cut short or
// zero is an item without a result: eNotFound, to be skipped.
absl::StatusOr<BlobRange>
DataRange(const BlobRange& aIndex, std::string_view aRecord);

// How to read a file for ReadFile: an input file is read straight from its data
// blob; an output file item by item through its index, skipping items not done.
// The done bitmap is freed when a job ends, so the plan of a cancelled or
// expired job names all items and DataRange tells which have a result. The
// caller stops when the lines read reach 256 KiB and goes on with the next
// item.
struct FileReadPlan
{
  bool mDirect = false; // true: mRanges are data; false: index records
  std::vector<BlobRange> mRanges; // in order, together at most 256 KiB of data
  std::vector<uint32_t> mItems;   // items of the index records
  uint64_t mNextOffset = 0;
  bool mEnd = false;
  uint64_t mTotal = 0; // output files: items of the job
};

absl::StatusOr<FileReadPlan>
PlanFileRead(const Ledger& aLedger, const ControlCall& aCall);

// Snapshots.
std::string
EncodeLedger(const Ledger& aLedger);
absl::StatusOr<Ledger>
DecodeLedger(std::string_view aBytes);

} // namespace caraway
