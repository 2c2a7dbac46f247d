// Files: appends parts at checked offsets, counts and indexes their lines.

#include <algorithm>

#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "caraway/ledger/internal.h"

namespace caraway {

namespace {

// Entries choose the ids of input files, so ids of output files have a reserved
// prefix.
constexpr std::string_view kOutputPrefix = "file-output-";

FileInfo
FileInfoOf(const WorkspaceId& aWorkspace,
           const FileId& aId,
           const LedgerFile& aFile)
{
  FileInfo info;
  info.mId = aId;
  info.mWorkspace = aWorkspace;
  info.mName = aFile.mName;
  info.mPurpose = aFile.mPurpose;
  info.mBytes = aFile.mBytes;
  info.mLines = aFile.mLines;
  info.mComplete = aFile.mComplete;
  info.mCreatedAt = aFile.mCreatedAt;
  return info;
}

FileInfo
OutputInfoOf(const WorkspaceId& aWorkspace, const JobId& aId, const Job& aJob)
{
  FileInfo info;
  info.mId = OutputFileId(aId);
  info.mWorkspace = aWorkspace;
  info.mName = aId.mValue + "_output.jsonl";
  info.mPurpose = "batch_output";
  info.mBytes = aJob.mDataBytes;
  info.mLines = aJob.mCompleted + aJob.mFailed;
  info.mComplete = aJob.mStatus != JobStatus::eInProgress;
  info.mCreatedAt = aJob.mCreatedAt;
  return info;
}

CallReplyBody
NoSuchFile(const FileId& aFile)
{
  return Fail(ErrorKind::eNotFound,
              absl::StrCat("file ", aFile.mValue, " does not exist"),
              "list the files of this workspace, or upload it again");
}

bool
IsBlank(char aByte)
{
  return aByte == ' ' || aByte == '\t' || aByte == '\r';
}

// Ends the current line at offset aEnd. Blank lines are not counted.
void
EndLine(LedgerFile& aFile, uint64_t aEnd, std::string& aIndex)
{
  if (aFile.mTailText) {
    AppendIndexRecord(aIndex, aEnd - aFile.mTailBytes, aFile.mTailBytes);
    ++aFile.mLines;
    aFile.mLongestLine = std::max(aFile.mLongestLine, aFile.mTailBytes);
  }
  aFile.mTailBytes = 0;
  aFile.mTailText = false;
}

// Counts the lines that end in this part and collects their index records.
// False if a line is too long or there are too many.
bool
ScanPart(LedgerFile& aFile,
         std::string_view aBytes,
         bool aLast,
         std::string& aIndex)
{
  uint64_t at = aFile.mBytes;
  while (!aBytes.empty()) {
    const size_t newline = aBytes.find('\n');
    const std::string_view piece = aBytes.substr(0, newline);
    aFile.mTailBytes += piece.size();
    aFile.mTailText =
      aFile.mTailText || !std::all_of(piece.begin(), piece.end(), IsBlank);
    at += piece.size();
    if (aFile.mTailBytes > kMaxLineBytes || aFile.mLines > kMaxFileLines) {
      return false;
    }
    if (newline == std::string_view::npos) {
      break;
    }
    EndLine(aFile, at, aIndex);
    ++at;
    aBytes.remove_prefix(newline + 1);
  }
  if (aLast) {
    EndLine(aFile, at, aIndex);
  }
  return aFile.mLines <= kMaxFileLines;
}

// Replies to a part that the file already covers or that follows its final
// part: success if it equals the part stored there, otherwise a conflict.
CallReplyBody
CheckResend(const WorkspaceId& aWorkspace,
            const LedgerFile& aFile,
            const PutFilePart& aPart,
            uint64_t aHash)
{
  const uint64_t end = aPart.mOffset + aPart.mBytes.size();
  auto part = std::lower_bound(
    aFile.mParts.begin(),
    aFile.mParts.end(),
    end,
    [](const FilePart& aLeft, uint64_t aRight) { return aLeft.mEnd < aRight; });
  const bool sameEnd = part != aFile.mParts.end() && part->mEnd == end;
  const uint64_t begin =
    sameEnd && part != aFile.mParts.begin() ? (part - 1)->mEnd : 0;
  const bool sameLast = aPart.mLast == (aFile.mComplete && end == aFile.mBytes);
  if (aPart.mBytes.empty() && aPart.mOffset == aFile.mBytes && aPart.mLast &&
      aFile.mComplete) {
    return FileReply{ FileInfoOf(aWorkspace, aPart.mFile, aFile) };
  }
  // An empty final part completes the file at the same end; the part before it,
  // sent without mLast, may still be resent.
  if (sameEnd && begin == aPart.mOffset && part->mHash == aHash &&
      (sameLast || !aPart.mLast)) {
    return FileReply{ FileInfoOf(aWorkspace, aPart.mFile, aFile) };
  }
  return Fail(ErrorKind::eConflict,
              absl::StrCat("file ",
                           aPart.mFile.mValue,
                           " already has different content at offset ",
                           aPart.mOffset),
              "upload the changed content as a new file");
}

// CallDone if the part may be appended or is a possible resend.
CallReplyBody
CheckPart(const LedgerFile* aFile, const PutFilePart& aPart)
{
  if (!IsValidObjectId(aPart.mFile.mValue) || JobIdOfOutputFile(aPart.mFile)) {
    return Fail(ErrorKind::eInvalidArgument,
                "the file id is not valid",
                "use up to 128 letters, digits, - and _, and no prefix "
                "file-output-");
  }
  if (aPart.mBytes.size() > kMaxPartBytes ||
      aPart.mName.size() > kMaxNameBytes ||
      aPart.mPurpose.size() > kMaxNameBytes) {
    return Fail(
      ErrorKind::eTooLarge,
      "a file part is over 256 KiB, or its name or purpose over 1 KiB",
      "send smaller parts and shorter names");
  }
  if (aFile == nullptr && aPart.mOffset != 0) {
    return NoSuchFile(aPart.mFile);
  }
  if (aFile != nullptr && aPart.mOffset > aFile->mBytes) {
    return Fail(ErrorKind::eConflict,
                absl::StrCat("file ",
                             aPart.mFile.mValue,
                             " has ",
                             aFile->mBytes,
                             " bytes, the part begins at ",
                             aPart.mOffset),
                "send the part that begins at the end of the file");
  }
  return CallDone{};
}

// Appends a checked part. If a limit is exceeded, the file is removed.
CallReplyBody
AppendPart(LedgerWorkspace& aSpace,
           const WorkspaceId& aWorkspace,
           const PutFilePart& aPart,
           uint64_t aHash,
           std::vector<LedgerEffect>& aEffects)
{
  LedgerFile& file = aSpace.mFiles[aPart.mFile];
  const uint64_t firstLine = file.mLines;
  const std::string blob = BlobName(aPart.mFile.mValue, file.mCreatedIndex);
  std::string index;
  const bool fits = file.mBytes + aPart.mBytes.size() <= kMaxFileBytes &&
                    file.mParts.size() < kMaxFileParts;
  if (!fits || !ScanPart(file, aPart.mBytes, aPart.mLast, index)) {
    aSpace.mFiles.erase(aPart.mFile);
    RemoveBlobs(blob, aEffects);
    return Fail(ErrorKind::eTooLarge,
                absl::StrCat("the upload of ",
                             aPart.mFile.mValue,
                             " failed: over 1 GiB, 10 million lines, 16384 "
                             "parts or 1032192 bytes in one line"),
                "split the file or shorten its lines and upload it again");
  }
  if (!aPart.mBytes.empty()) {
    aEffects.push_back(
      BlobWriteEffect{ DataBlobName(blob), aPart.mOffset, aPart.mBytes });
    file.mBytes += aPart.mBytes.size();
    file.mParts.push_back(FilePart{ file.mBytes, aHash });
  }
  if (!index.empty()) {
    aEffects.push_back(BlobWriteEffect{
      IndexBlobName(blob), firstLine * kIndexRecordBytes, std::move(index) });
  }
  file.mComplete = aPart.mLast;
  return FileReply{ FileInfoOf(aWorkspace, aPart.mFile, file) };
}

CallReplyBody
DeleteOutput(Ledger& aLedger,
             const WorkspaceId& aWorkspace,
             const FileId& aFile,
             const JobId& aJob,
             std::vector<LedgerEffect>& aEffects)
{
  auto& jobs = aLedger.mWorkspaces[aWorkspace].mJobs;
  auto job = jobs.find(aJob);
  if (job == jobs.end() || job->second.mResultsRemoved) {
    return NoSuchFile(aFile);
  }
  if (job->second.mStatus == JobStatus::eInProgress) {
    return Fail(ErrorKind::eConflict,
                "the job of this output file is in progress",
                "cancel the job first");
  }
  job->second.mResultsRemoved = true;
  job->second.mDataBytes = 0;
  RemoveBlobs(BlobName(aJob.mValue, job->second.mCreatedIndex), aEffects);
  return CallDone{};
}

} // namespace

FileId
OutputFileId(const JobId& aJob)
{
  return FileId(std::string(kOutputPrefix) + aJob.mValue);
}

std::optional<JobId>
JobIdOfOutputFile(const FileId& aFile)
{
  if (!aFile.mValue.starts_with(kOutputPrefix)) {
    return std::nullopt;
  }
  return JobId(aFile.mValue.substr(kOutputPrefix.size()));
}

void
RemoveBlobs(const std::string& aId, std::vector<LedgerEffect>& aEffects)
{
  aEffects.push_back(BlobRemoveEffect{ DataBlobName(aId) });
  aEffects.push_back(BlobRemoveEffect{ IndexBlobName(aId) });
}

CallReplyBody
ApplyPutFilePart(Ledger& aLedger,
                 const CommandTime& aTime,
                 const WorkspaceId& aWorkspace,
                 const PutFilePart& aPart,
                 std::vector<LedgerEffect>& aEffects)
{
  const LedgerWorkspace* known = FindWorkspace(aLedger, aWorkspace);
  const LedgerFile* file = nullptr;
  if (known != nullptr && known->mFiles.contains(aPart.mFile)) {
    file = &known->mFiles.at(aPart.mFile);
  }
  CallReplyBody check = CheckPart(file, aPart);
  if (std::holds_alternative<CallFailed>(check)) {
    return check;
  }
  const uint64_t hash = XXH3_64bits(aPart.mBytes.data(), aPart.mBytes.size());
  if (file != nullptr && (file->mComplete || aPart.mOffset < file->mBytes)) {
    return CheckResend(aWorkspace, *file, aPart, hash);
  }
  LedgerWorkspace& space = aLedger.mWorkspaces[aWorkspace];
  if (file == nullptr) {
    LedgerFile& fresh = space.mFiles[aPart.mFile];
    fresh.mCreatedIndex = aTime.mIndex;
    fresh.mName = aPart.mName;
    fresh.mPurpose = aPart.mPurpose;
    fresh.mCreatedAt = aTime.mUnixSeconds;
    aLedger.mFileMarks.push_back(
      ExpiryMark{ aTime.mNow, aWorkspace, aPart.mFile.mValue });
  }
  space.mFiles[aPart.mFile].mLastUsedAt = aTime.mNow;
  return AppendPart(space, aWorkspace, aPart, hash, aEffects);
}

std::optional<CallReplyBody>
ReplyToStoredPart(const Ledger& aLedger,
                  const WorkspaceId& aWorkspace,
                  const PutFilePart& aPart)
{
  const LedgerWorkspace* space = FindWorkspace(aLedger, aWorkspace);
  const auto file = space == nullptr
                      ? std::map<FileId, LedgerFile>::const_iterator()
                      : space->mFiles.find(aPart.mFile);
  if (space == nullptr || file == space->mFiles.end() ||
      !(file->second.mComplete || aPart.mOffset < file->second.mBytes)) {
    return std::nullopt;
  }
  const uint64_t hash = XXH3_64bits(aPart.mBytes.data(), aPart.mBytes.size());
  CallReplyBody reply = CheckResend(aWorkspace, file->second, aPart, hash);
  if (std::holds_alternative<CallFailed>(reply)) {
    return std::nullopt;
  }
  return reply;
}

CallReplyBody
ApplyDeleteFile(Ledger& aLedger,
                const WorkspaceId& aWorkspace,
                const FileId& aFile,
                std::vector<LedgerEffect>& aEffects)
{
  if (FindWorkspace(aLedger, aWorkspace) == nullptr) {
    return NoSuchFile(aFile);
  }
  if (auto job = JobIdOfOutputFile(aFile)) {
    return DeleteOutput(aLedger, aWorkspace, aFile, *job, aEffects);
  }
  auto& files = aLedger.mWorkspaces[aWorkspace].mFiles;
  auto file = files.find(aFile);
  if (file == files.end()) {
    return NoSuchFile(aFile);
  }
  if (file->second.mJobs > 0) {
    return Fail(ErrorKind::eConflict,
                absl::StrCat("file ", aFile.mValue, " is in use by a job"),
                "cancel the job or wait for its end");
  }
  RemoveBlobs(BlobName(aFile.mValue, file->second.mCreatedIndex), aEffects);
  files.erase(file);
  return CallDone{};
}

CallReplyBody
ReadFileInfo(const Ledger& aLedger,
             const WorkspaceId& aWorkspace,
             const FileId& aFile)
{
  const LedgerWorkspace* space = FindWorkspace(aLedger, aWorkspace);
  if (space == nullptr) {
    return NoSuchFile(aFile);
  }
  if (auto id = JobIdOfOutputFile(aFile)) {
    auto job = space->mJobs.find(*id);
    if (job == space->mJobs.end() || job->second.mResultsRemoved) {
      return NoSuchFile(aFile);
    }
    return FileReply{ OutputInfoOf(aWorkspace, *id, job->second) };
  }
  auto file = space->mFiles.find(aFile);
  if (file == space->mFiles.end()) {
    return NoSuchFile(aFile);
  }
  return FileReply{ FileInfoOf(aWorkspace, aFile, file->second) };
}

CallReplyBody
ReadFileList(const Ledger& aLedger,
             const WorkspaceId& aWorkspace,
             const ListFiles& aList)
{
  FileListReply reply;
  const LedgerWorkspace* space = FindWorkspace(aLedger, aWorkspace);
  if (space == nullptr) {
    return reply;
  }
  const size_t limit = std::clamp(aList.mLimit, 1U, kMaxListed);
  std::vector<FileInfo>& found = reply.mFiles;
  for (auto file = space->mFiles.upper_bound(aList.mAfter);
       file != space->mFiles.end() && found.size() <= limit;
       ++file) {
    found.push_back(FileInfoOf(aWorkspace, file->first, file->second));
  }
  // Output files sort in the order of their jobs, since all have one prefix.
  auto job = space->mJobs.begin();
  if (auto after = JobIdOfOutputFile(aList.mAfter)) {
    job = space->mJobs.upper_bound(*after);
  } else if (aList.mAfter.mValue > kOutputPrefix) {
    job = space->mJobs.end();
  }
  for (size_t count = 0; job != space->mJobs.end() && count <= limit; ++job) {
    if (!job->second.mResultsRemoved) {
      found.push_back(OutputInfoOf(aWorkspace, job->first, job->second));
      ++count;
    }
  }
  std::sort(found.begin(),
            found.end(),
            [](const FileInfo& aLeft, const FileInfo& aRight) {
              return aLeft.mId < aRight.mId;
            });
  reply.mMore = found.size() > limit;
  found.resize(std::min(found.size(), limit));
  return reply;
}

} // namespace caraway
