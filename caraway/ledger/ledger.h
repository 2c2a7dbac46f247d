#pragma once
// The batch ledger as a deterministic state machine. Every replica applies the
// same commands in log order and computes the same state, effects and replies.
//
// All times are logical: each command carries the leader's milliseconds since
// the group began, which never decrease.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "caraway/base/time.h"
#include "caraway/ledger/effects.h"
#include "caraway/ledger/ledger_state.h"

namespace caraway {

// True for calls that change no state. ReadCall serves them under the leader
// lease, without a log entry.
bool
IsReadOnly(const CallBody& aBody);

// Applies a call of an entry that changes state.
CallReplyBody
ApplyCall(Ledger& aLedger,
          LogIndex aIndex,
          MonoTime aLogicalNow,
          int64_t aUnixSeconds,
          const ControlCall& aCall,
          std::vector<LedgerEffect>& aEffects);

// Leases items of one job to a node. aIndex becomes the fencing token. Items
// are returned with empty bodies; ItemIndexRecord and DataRange tell where to
// read them. A resent request (same node epoch and sequence) gets the same
// items.
ItemBatch
ApplyLease(Ledger& aLedger,
           LogIndex aIndex,
           MonoTime aLogicalNow,
           const LeaseItems& aRequest);

enum class LeaseState : uint8_t
{
  eHeld,
  eMoved, // held, but its job now runs at a model that is not served there
  eEnded,
};

// The lease of a node's session, whose target serves these models.
LeaseState
StateOfLease(const Ledger& aLedger,
             const InstanceId& aNode,
             Epoch aNodeEpoch,
             FencingToken aToken,
             const std::vector<ModelId>& aServed);

// Records the results of leased items. Results of a lease that no longer exists
// are ignored and acknowledged as stale.
ItemResultsAck
ApplyResults(Ledger& aLedger,
             LogIndex aIndex,
             MonoTime aLogicalNow,
             int64_t aUnixSeconds,
             const ItemResults& aResults,
             std::vector<LedgerEffect>& aEffects);

// Applies the end of an instance's session, with all its earlier epochs: items
// leased to it can be leased again, and its open claims become unknown.
void
ApplySessionEnd(Ledger& aLedger,
                LogIndex aIndex,
                MonoTime aLogicalNow,
                const InstanceId& aInstance,
                Epoch aEpoch,
                std::vector<LedgerEffect>& aEffects);

// Expires jobs past their deadline and state past its retention, and updates
// the measured throughput. The leader proposes a tick at NextLedgerTick.
void
ApplyLedgerTick(Ledger& aLedger,
                LogIndex aIndex,
                MonoTime aLogicalNow,
                int64_t aUnixSeconds,
                Duration aResultRetention,
                Duration aClaimRetention,
                std::vector<LedgerEffect>& aEffects);

// kNever when nothing can expire.
MonoTime
NextLedgerTick(const Ledger& aLedger);

// True if a job for one of these models has items to lease.
bool
HasItemsToLease(const Ledger& aLedger, const std::vector<ModelId>& aModels);

// The reply to a part that its file holds already, as a resend has; none if the
// part has to be applied. A resend needs no log entry.
std::optional<CallReplyBody>
ReplyToStoredPart(const Ledger& aLedger,
                  const WorkspaceId& aWorkspace,
                  const PutFilePart& aPart);

// The id of a job's output file.
FileId
OutputFileId(const JobId& aJob);

// Answers the calls that describe or list files and jobs.
CallReplyBody
ReadCall(const Ledger& aLedger, MonoTime aLogicalNow, const ControlCall& aCall);

// A line is read from its blobs in two steps: first its index record, then the
// data that the record points to. An index record holds offset and length, 64
// bits each, little-endian.
constexpr uint32_t kIndexRecordBytes = 16;

// A byte range of a blob file.
struct BlobRange
{
  std::string mName;
  uint64_t mOffset = 0;
  uint32_t mLength = 0;
};

// Where to read the index record of an item's line in the input file.
absl::StatusOr<BlobRange>
ItemIndexRecord(const Ledger& aLedger, const JobId& aJob, uint32_t aItem);

// The line number of an item in a job in progress, or eNotFound.
absl::StatusOr<uint32_t>
FindItemById(const Ledger& aLedger,
             const WorkspaceId& aWorkspace,
             const ReadItem& aRead);

// Applies a new serving plan to the jobs in progress. A job whose route was
// removed ends, and its unfinished items fail. A job whose route now leads to
// another service continues there.
void
ApplyPlanToJobs(Ledger& aLedger,
                LogIndex aIndex,
                MonoTime aLogicalNow,
                int64_t aUnixSeconds,
                const ServingPlan& aPlan,
                std::vector<LedgerEffect>& aEffects);

// The data range that an index record points to; aRecord is what was read from
// aIndex. Results include their newline, input lines do not. A missing,
// truncated or zero record means that the item has no result: eNotFound, and
// the caller skips it.
absl::StatusOr<BlobRange>
DataRange(const BlobRange& aIndex, std::string_view aRecord);

// How to serve a ReadFile call. An input file is read directly from its data
// blob; an output file is read item by item through its index, without the
// items that are not done. The done bitmap is freed when a job ends, so for a
// cancelled or expired job the plan lists all items and DataRange tells which
// of them have a result. The caller stops when the lines read reach 256 KiB and
// continues from the next item.
struct FileReadPlan
{
  bool mDirect = false; // true: mRanges are data; false: index records
  std::vector<BlobRange> mRanges; // in order, together at most 256 KiB of data
  // Item of each index record or, in order of completion, its place there.
  std::vector<uint32_t> mItems;
  uint64_t mNextOffset = 0; // where the next read continues
  bool mEnd = false;
  uint64_t mTotal = 0; // output files: items of the job
};

absl::StatusOr<FileReadPlan>
PlanFileRead(const Ledger& aLedger, const ControlCall& aCall);

// Encodes the whole state for a snapshot. DecodeLedger checks the invariants
// and fails with eCorruptData if they do not hold.
std::string
EncodeLedger(const Ledger& aLedger);
absl::StatusOr<Ledger>
DecodeLedger(std::string_view aBytes);

} // namespace caraway
