#pragma once
// Internal: functions shared by the .cpp files of the ledger.

#include <optional>
#include <string>
#include <vector>

#include "caraway/ledger/ledger.h"

namespace caraway {

// Index and time of the command being applied.
struct CommandTime
{
  LogIndex mIndex;
  MonoTime mNow;            // logical
  int64_t mUnixSeconds = 0; // for display only
};

// True for 1 to 128 letters, digits, - and _; ids become parts of file names.
bool
IsValidObjectId(std::string_view aId);

// Base name of an object's blobs. The log index of its creation keeps apart
// objects with equal ids: in two workspaces, or deleted and created again.
inline std::string
BlobName(const std::string& aId, LogIndex aCreated)
{
  return aId + "-" + std::to_string(aCreated.mValue);
}

inline std::string
DataBlobName(const std::string& aId)
{
  return aId + ".data";
}

inline std::string
IndexBlobName(const std::string& aId)
{
  return aId + ".index";
}

// A failed reply with a message that says what happened and what to do.
CallReplyBody
Fail(ErrorKind aKind, const std::string& aWhat, std::string_view aRemedy);

// Null if unknown.
const LedgerWorkspace*
FindWorkspace(const Ledger& aLedger, const WorkspaceId& aWorkspace);

void
AppendIndexRecord(std::string& aOut, uint64_t aOffset, uint64_t aLength);

// Files (files.cpp).
CallReplyBody
ApplyPutFilePart(Ledger& aLedger,
                 const CommandTime& aTime,
                 const WorkspaceId& aWorkspace,
                 const PutFilePart& aPart,
                 std::vector<LedgerEffect>& aEffects);
CallReplyBody
ApplyDeleteFile(Ledger& aLedger,
                const WorkspaceId& aWorkspace,
                const FileId& aFile,
                std::vector<LedgerEffect>& aEffects);
CallReplyBody
ReadFileInfo(const Ledger& aLedger,
             const WorkspaceId& aWorkspace,
             const FileId& aFile);
CallReplyBody
ReadFileList(const Ledger& aLedger,
             const WorkspaceId& aWorkspace,
             const ListFiles& aList);
// Removes the data and index blobs with this base name.
void
RemoveBlobs(const std::string& aId, std::vector<LedgerEffect>& aEffects);

// None if the id is not that of an output file.
std::optional<JobId>
JobIdOfOutputFile(const FileId& aFile);

// Jobs (jobs.cpp).
CallReplyBody
ApplyCreateJob(Ledger& aLedger,
               const CommandTime& aTime,
               const WorkspaceId& aWorkspace,
               const CreateJob& aCreate);
CallReplyBody
ApplyCancelJob(Ledger& aLedger,
               const CommandTime& aTime,
               const WorkspaceId& aWorkspace,
               const JobId& aJob,
               std::vector<LedgerEffect>& aEffects);
CallReplyBody
ReadJob(const Ledger& aLedger,
        MonoTime aNow,
        const WorkspaceId& aWorkspace,
        const JobId& aJob);
CallReplyBody
ReadJobList(const Ledger& aLedger,
            MonoTime aNow,
            const WorkspaceId& aWorkspace,
            const ListJobs& aList);
JobInfo
JobInfoOf(const LedgerWorkspace& aSpace,
          MonoTime aNow,
          const WorkspaceId& aWorkspace,
          const JobId& aId);
// Sets the final status, frees the job's work and revokes its leases.
void
EndJob(Ledger& aLedger,
       const CommandTime& aTime,
       const WorkspaceId& aWorkspace,
       const JobId& aJob,
       JobStatus aStatus,
       std::vector<LedgerEffect>& aEffects);

// Fails every item without a result, which ends the job (results.cpp).
void
FailUnfinishedItems(Ledger& aLedger,
                    const CommandTime& aTime,
                    const WorkspaceId& aWorkspace,
                    const JobId& aJob,
                    std::string_view aReason,
                    std::vector<LedgerEffect>& aEffects);

// Which jobs have items to lease, and in what order (ready.cpp). Call
// RefreshReady after each change of a job's work.
void
RefreshReady(Ledger& aLedger, const WorkspaceId& aWorkspace, const JobId& aJob);
void
RemoveReady(Ledger& aLedger, const WorkspaceId& aWorkspace, const JobId& aJob);
// Charges leased items: advances the workspace's start tag by items over
// weight.
void
ChargeWorkspace(Ledger& aLedger,
                const WorkspaceId& aWorkspace,
                uint64_t aItems,
                uint64_t aWeight);
uint64_t
ItemsToLease(const Job& aJob, const JobWork& aWork);
// The job's deadline minus its remaining work at the measured throughput, in
// logical µs; the deadline alone while the throughput is unknown.
int64_t
SlackKey(const LedgerWorkspace& aSpace, const Job& aJob);
// Rebuilds all derived state after decoding.
void
RebuildDerived(Ledger& aLedger);
// Ends a measuring interval of length aInterval: updates the throughput, the
// slack keys and which jobs are at risk.
void
UpdateThroughput(Ledger& aLedger, Duration aInterval);

// Claims (claims.cpp).
CallReplyBody
ApplyClaim(Ledger& aLedger, const ControlCall& aCall, const Claim& aClaim);
CallReplyBody
ApplyCompleteClaim(Ledger& aLedger,
                   const WorkspaceId& aWorkspace,
                   const CompleteClaim& aComplete);
CallReplyBody
ApplyReleaseClaim(Ledger& aLedger,
                  const WorkspaceId& aWorkspace,
                  const ReleaseClaim& aRelease);
// The instance's sessions up to aEpoch ended: their open claims become unknown.
void
MarkClaimsUnknown(Ledger& aLedger, const InstanceId& aInstance, Epoch aEpoch);
void
ExpireClaims(Ledger& aLedger);
// True if this or a later session of the instance is known to have ended.
bool
SessionEnded(const Ledger& aLedger, const InstanceId& aInstance, Epoch aEpoch);

// The output line of a failed item (output_line.cpp). aItemId: empty for items
// without ids.
std::string
ErrorLine(const JobId& aJob,
          uint32_t aItem,
          const std::string& aItemId,
          std::string_view aCode,
          std::string_view aMessage);

inline bool
IsDone(const JobWork& aWork, uint32_t aItem)
{
  return (aWork.mDone[aItem / 64] >> (aItem % 64) & 1) != 0;
}

} // namespace caraway
