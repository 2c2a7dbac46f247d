#pragma once
// Internal: functions shared by the .cpp files of the ledger.

#include <optional>
#include <string>
#include <vector>

#include "caraway/ledger/ledger.h"

namespace caraway {

// What every command carries.
struct CommandTime
{
  LogIndex mIndex;
  MonoTime mNow;            // logical
  int64_t mUnixSeconds = 0; // display only
};

// Ids become parts of file names: letters, digits, - and _, at most 128.
bool
IsValidObjectId(std::string_view aId);

// The log index of the creation keeps equal ids of two workspaces, and of an
// object deleted and made again, apart.
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

CallReplyBody
Fail(ErrorKind aKind, const std::string& aWhat, std::string_view aRemedy);

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
void
RemoveBlobs(const std::string& aId, std::vector<LedgerEffect>& aEffects);

// The job of an output file id.
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
// Makes the status final, frees the work and revokes the leases.
void
EndJob(Ledger& aLedger,
       const CommandTime& aTime,
       const WorkspaceId& aWorkspace,
       const JobId& aJob,
       JobStatus aStatus,
       std::vector<LedgerEffect>& aEffects);

// Ends a job by failing every item without a result (results.cpp).
void
FailUnfinishedItems(Ledger& aLedger,
                    const CommandTime& aTime,
                    const WorkspaceId& aWorkspace,
                    const JobId& aJob,
                    std::string_view aReason,
                    std::vector<LedgerEffect>& aEffects);

// Choice of jobs (ready.cpp). Call after each change of a job's work.
void
RefreshReady(Ledger& aLedger, const WorkspaceId& aWorkspace, const JobId& aJob);
void
RemoveReady(Ledger& aLedger, const WorkspaceId& aWorkspace, const JobId& aJob);
void
ChargeWorkspace(Ledger& aLedger,
                const WorkspaceId& aWorkspace,
                uint64_t aItems,
                uint64_t aWeight);
uint64_t
ItemsToLease(const Job& aJob, const JobWork& aWork);
int64_t
SlackKey(const LedgerWorkspace& aSpace, const Job& aJob);
// Rebuilds all derived state after decoding.
void
RebuildDerived(Ledger& aLedger);
// Updates the measured pace and which jobs are at risk.
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
void
MarkClaimsUnknown(Ledger& aLedger, const InstanceId& aInstance, Epoch aEpoch);
void
ExpireClaims(Ledger& aLedger);
// True if this or a later session of the instance is known to have ended.
bool
SessionEnded(const Ledger& aLedger, const InstanceId& aInstance, Epoch aEpoch);

// Output lines (output_line.cpp). aItemId: of items that have ids.
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
