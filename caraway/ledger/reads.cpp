// Finds the blob ranges of input lines, results and files.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/ledger/internal.h"

namespace caraway {

namespace {

constexpr std::string_view kIndexSuffix = ".index";

// Index records per plan. The caller stops earlier if the lines reach 256 KiB.
constexpr size_t kMaxPlannedItems = 256;

// Reads 64 bits, little-endian.
uint64_t
LoadNumber(std::string_view aBytes)
{
  uint64_t value = 0;
  for (size_t at = 8; at-- > 0;) {
    value = value << 8 | static_cast<uint8_t>(aBytes[at]);
  }
  return value;
}

BlobRange
IndexRange(const std::string& aBlob, uint32_t aItem)
{
  return BlobRange{ IndexBlobName(aBlob),
                    uint64_t{ aItem } * kIndexRecordBytes,
                    kIndexRecordBytes };
}

absl::Status
NoSuchFile(const FileId& aFile)
{
  return MakeError(ErrorKind::eNotFound,
                   absl::StrCat("file ", aFile.mValue, " does not exist"),
                   "list the files of this workspace");
}

absl::StatusOr<FileReadPlan>
PlanInput(const LedgerWorkspace& aSpace, const ReadFile& aRead)
{
  auto file = aSpace.mFiles.find(aRead.mFile);
  if (file == aSpace.mFiles.end()) {
    return NoSuchFile(aRead.mFile);
  }
  const uint64_t begin = std::min(aRead.mOffset, file->second.mBytes);
  const uint64_t end = std::min(begin + kMaxPartBytes, file->second.mBytes);
  FileReadPlan plan;
  plan.mDirect = true;
  if (end > begin) {
    plan.mRanges.push_back(BlobRange{
      DataBlobName(BlobName(aRead.mFile.mValue, file->second.mCreatedIndex)),
      begin,
      static_cast<uint32_t>(end - begin) });
  }
  plan.mNextOffset = end;
  plan.mEnd = end == file->second.mBytes;
  return plan;
}

// Results in order of completion; read offsets count results.
FileReadPlan
PlanByCompletion(const Job& aJob, const std::string& aBlob, uint64_t aFrom)
{
  FileReadPlan plan;
  const uint64_t count = aJob.mOrder.size();
  uint64_t place = std::min<uint64_t>(aFrom, count);
  for (; place < count && plan.mItems.size() < kMaxPlannedItems; ++place) {
    plan.mItems.push_back(static_cast<uint32_t>(place));
    plan.mRanges.push_back(IndexRange(aBlob, aJob.mOrder[place]));
  }
  plan.mNextOffset = place;
  plan.mEnd = place == count;
  return plan;
}

absl::StatusOr<FileReadPlan>
PlanOutput(const LedgerWorkspace& aSpace,
           const JobId& aJob,
           const ReadFile& aRead)
{
  auto job = aSpace.mJobs.find(aJob);
  if (job == aSpace.mJobs.end() || job->second.mResultsRemoved) {
    return NoSuchFile(aRead.mFile);
  }
  auto work = aSpace.mWork.find(aJob);
  const std::string blob = BlobName(aJob.mValue, job->second.mCreatedIndex);
  if (aRead.mByCompletion) {
    FileReadPlan plan = PlanByCompletion(job->second, blob, aRead.mOffset);
    plan.mTotal = job->second.mTotal;
    return plan;
  }
  FileReadPlan plan;
  plan.mTotal = job->second.mTotal;
  const uint32_t total = job->second.mTotal;
  auto item = static_cast<uint32_t>(std::min<uint64_t>(aRead.mOffset, total));
  for (; item < total && plan.mItems.size() < kMaxPlannedItems; ++item) {
    if (work == aSpace.mWork.end() || IsDone(work->second, item)) {
      plan.mItems.push_back(item);
      plan.mRanges.push_back(IndexRange(blob, item));
    }
  }
  plan.mNextOffset = item;
  plan.mEnd = item == total;
  return plan;
}

} // namespace

absl::StatusOr<BlobRange>
ItemIndexRecord(const Ledger& aLedger, const JobId& aJob, uint32_t aItem)
{
  auto place = aLedger.mJobWorkspaces.find(aJob);
  if (place == aLedger.mJobWorkspaces.end()) {
    return MakeError(ErrorKind::eNotFound,
                     absl::StrCat("job ", aJob.mValue, " is not in progress"),
                     "lease items again");
  }
  const LedgerWorkspace& space = aLedger.mWorkspaces.at(place->second);
  const Job& job = space.mJobs.at(aJob);
  auto input = space.mFiles.find(job.mInput);
  if (aItem >= job.mTotal || input == space.mFiles.end()) {
    return MakeError(ErrorKind::eNotFound,
                     absl::StrCat("job ", aJob.mValue, " has no item ", aItem),
                     "lease items again");
  }
  return IndexRange(BlobName(job.mInput.mValue, input->second.mCreatedIndex),
                    aItem);
}

absl::StatusOr<uint32_t>
FindItemById(const Ledger& aLedger,
             const WorkspaceId& aWorkspace,
             const ReadItem& aRead)
{
  const LedgerWorkspace* space = FindWorkspace(aLedger, aWorkspace);
  if (space != nullptr && space->mWork.contains(aRead.mJob)) {
    const std::vector<JobItem>& items = space->mJobs.at(aRead.mJob).mItems;
    for (uint32_t item = 0; item < items.size(); ++item) {
      if (items[item].mId == aRead.mItem) {
        return item;
      }
    }
  }
  return MakeError(
    ErrorKind::eNotFound,
    absl::StrCat(
      "no job ", aRead.mJob.mValue, " in progress has an item ", aRead.mItem),
    "check both ids; items of ended jobs are not kept");
}

absl::StatusOr<BlobRange>
DataRange(const BlobRange& aIndex, std::string_view aRecord)
{
  if (!aIndex.mName.ends_with(kIndexSuffix)) {
    return MakeError(ErrorKind::eInvalidArgument,
                     absl::StrCat(aIndex.mName, " is not an index blob"),
                     "pass the range from which the record was read");
  }
  const bool whole = aRecord.size() == kIndexRecordBytes;
  const uint64_t length = whole ? LoadNumber(aRecord.substr(8)) : 0;
  if (length == 0) {
    return MakeError(ErrorKind::eNotFound,
                     "the index has no record of this item",
                     "skip the item; it has no result");
  }
  if (length > kMaxLineBytes) {
    return MakeError(
      ErrorKind::eCorruptData,
      absl::StrCat("a record of ", aIndex.mName, " is not valid"),
      "replace this replica's data folder");
  }
  const size_t stem = aIndex.mName.size() - kIndexSuffix.size();
  return BlobRange{ DataBlobName(aIndex.mName.substr(0, stem)),
                    LoadNumber(aRecord),
                    static_cast<uint32_t>(length) };
}

absl::StatusOr<FileReadPlan>
PlanFileRead(const Ledger& aLedger, const ControlCall& aCall)
{
  const auto* read = std::get_if<ReadFile>(&aCall.mBody);
  if (read == nullptr) {
    return MakeError(ErrorKind::eInvalidArgument,
                     "the call does not read a file",
                     "use ReadCall or ApplyCall");
  }
  const LedgerWorkspace* space = FindWorkspace(aLedger, aCall.mWorkspace);
  if (space == nullptr) {
    return NoSuchFile(read->mFile);
  }
  if (auto job = JobIdOfOutputFile(read->mFile)) {
    return PlanOutput(*space, *job, *read);
  }
  return PlanInput(*space, *read);
}

} // namespace caraway
