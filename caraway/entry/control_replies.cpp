// Runs caller operations on files, uploads and batches as a sequence of control
// calls.

#include "caraway/entry/control_replies.h"

#include <algorithm>

#include "caraway/base/visitor.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/completion_request.h"
#include "caraway/entry/control_calls.h"
#include "caraway/entry/drain.h"
#include "caraway/entry/object_json.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/reply.h"
#include "caraway/entry/upload_id.h"

namespace caraway {

namespace {

void
Fail(EntryStep& aStep,
     CallerRequest& aRequest,
     ErrorKind aKind,
     std::string aMessage,
     std::string aRemedy)
{
  CallerError error;
  error.mKind = aKind;
  error.mMessage = std::move(aMessage);
  error.mRemedy = std::move(aRemedy);
  FailRequest(aStep, aRequest, std::move(error));
}

// Calls control with the key of the request's caller, if the call takes one.
void
CallWithKey(EntryStep& aStep, CallerRequest& aRequest, CallBody aBody)
{
  if (CallerKey* key = CallerKeyOf(aBody)) {
    *key = aRequest.mKey;
  }
  CallControl(aStep, aRequest, std::move(aBody));
}

void
ReplyJson(EntryStep& aStep, CallerRequest& aRequest, std::string aBody)
{
  ReplyInFull(aStep,
              aRequest,
              200,
              { { "Content-Type", "application/json" } },
              std::move(aBody));
}

// Each step of a long transfer extends the deadline to the full default.
void
ExtendDeadline(EntryStep& aStep, CallerRequest& aRequest)
{
  const Entry& entry = aStep.mEntry;
  aRequest.mDeadline =
    DeadlineBeforeStop(entry,
                       std::max(aRequest.mDeadline,
                                aStep.mNow + entry.mSettings.mDefaultDeadline));
  ScheduleRequest(aStep, aRequest);
}

// Sends the next part of mBytes, which is stored at mOffset in the file.
void
PutNextPart(EntryStep& aStep, CallerRequest& aRequest)
{
  ControlWork& work = aRequest.mControl;
  const uint64_t done = work.mOffset - work.mStart;
  PutFilePart part;
  part.mFile = work.mFile;
  part.mName = work.mName;
  part.mPurpose = work.mPurpose;
  part.mOffset = work.mOffset;
  part.mBytes = work.mBytes.substr(done, kMaxPartBytes);
  part.mLast = work.mStep == ControlStep::eCreateFile &&
               done + part.mBytes.size() == work.mBytes.size();
  work.mOffset += part.mBytes.size();
  CallControl(aStep, aRequest, std::move(part));
}

bool
AllBytesSent(const ControlWork& aWork)
{
  return aWork.mOffset - aWork.mStart == aWork.mBytes.size();
}

UploadId
UploadOf(const ControlWork& aWork)
{
  return { aWork.mFile, aWork.mDeclaredBytes };
}

void
SendCreateJob(EntryStep& aStep, CallerRequest& aRequest)
{
  const Entry& entry = aStep.mEntry;
  ControlWork& work = aRequest.mControl;
  auto contract = entry.mConfig.mContracts.find(aRequest.mWorkspace);
  if (contract == entry.mConfig.mContracts.end()) {
    return; // FailRequestsOfWithdrawnKeys ends the request
  }
  const std::vector<ModelId>& models = contract->second.mModels;
  if (std::find(models.begin(), models.end(), work.mModel) == models.end()) {
    Fail(aStep,
         aRequest,
         ErrorKind::eNotPermitted,
         "the contract does not allow the model of the input file",
         "use a model that GET /v1/models lists");
    return;
  }
  work.mStep = ControlStep::eCreateJob;
  SubmitJob submit;
  CreateJob& create = submit.mCreate;
  create.mJob = work.mJob;
  create.mKey = work.mKey;
  create.mInput = work.mFile;
  create.mEndpoint = work.mEndpoint;
  create.mWindow = work.mWindow;
  create.mModel = work.mModel;
  create.mMetadata = work.mMetadata;
  CallWithKey(aStep, aRequest, std::move(submit));
}

void
HandleFirstLine(EntryStep& aStep,
                CallerRequest& aRequest,
                const FileBytesReply& aReply)
{
  const size_t end = aReply.mBytes.find('\n');
  if (end == std::string::npos && !aReply.mEnd) {
    Fail(aStep,
         aRequest,
         ErrorKind::eInvalidArgument,
         "the first line of the input file is longer than 256 KiB",
         "send shorter requests");
    return;
  }
  absl::StatusOr<ModelId> model =
    ModelOfBatchLine(aReply.mBytes.substr(0, end));
  if (!model.ok()) {
    Fail(aStep,
         aRequest,
         ErrorKind::eInvalidArgument,
         "the first line of the input file names no model",
         "give each line a 'body' with a 'model'");
    return;
  }
  aRequest.mControl.mModel = *model;
  SendCreateJob(aStep, aRequest);
}

void
HandleFileContent(EntryStep& aStep,
                  CallerRequest& aRequest,
                  const FileBytesReply& aReply)
{
  ControlWork& work = aRequest.mControl;
  if (!aRequest.mReplyBegun) {
    BeginReply(
      aStep, aRequest, 200, { { "Content-Type", "application/octet-stream" } });
  }
  SendReplyChunk(aStep, aRequest, aReply.mBytes);
  if (aReply.mEnd) {
    EndReply(aStep, aRequest);
    return;
  }
  if (aReply.mNextOffset <= work.mOffset || aRequest.mCallerGone) {
    Fail(aStep,
         aRequest,
         ErrorKind::eUnavailable,
         "the file could not be read to its end",
         "read it again");
    return;
  }
  work.mOffset = aReply.mNextOffset;
  CallWithKey(aStep, aRequest, ReadFile{ work.mFile, work.mOffset });
  ExtendDeadline(aStep, aRequest);
}

// Returns true if the part ids cover the stored bytes in order and without
// gaps, and the upload has its announced size.
bool
PartsMatch(const ControlWork& aWork, uint64_t aBytes)
{
  uint64_t at = 0;
  for (const std::string& text : aWork.mPartIds) {
    const std::optional<UploadPartId> part = ParseUploadPartId(text);
    if (!part || part->mFile != aWork.mFile || part->mStart != at ||
        part->mEnd < part->mStart) {
      return false;
    }
    at = part->mEnd;
  }
  return at == aBytes && aBytes == aWork.mDeclaredBytes;
}

void
HandleUploadInfo(EntryStep& aStep,
                 CallerRequest& aRequest,
                 const FileInfo& aFile)
{
  ControlWork& work = aRequest.mControl;
  work.mName = aFile.mName;
  work.mPurpose = aFile.mPurpose;
  work.mStart = aFile.mBytes;
  work.mOffset = aFile.mBytes;
  if (aFile.mComplete) {
    Fail(aStep,
         aRequest,
         ErrorKind::eConflict,
         "the upload is complete",
         "create another upload");
    return;
  }
  if (work.mStep == ControlStep::eFindUploadOffset) {
    if (aFile.mBytes + work.mBytes.size() > work.mDeclaredBytes) {
      Fail(aStep,
           aRequest,
           ErrorKind::eTooLarge,
           "the parts exceed the size announced for the upload",
           "create an upload with the right size");
      return;
    }
    work.mStep = ControlStep::eAppendUpload;
    PutNextPart(aStep, aRequest);
    return;
  }
  if (!PartsMatch(work, aFile.mBytes)) {
    Fail(aStep,
         aRequest,
         ErrorKind::eInvalidArgument,
         "the part ids do not match the stored parts in order",
         "send the parts one after another and list all of them; if a part "
         "was sent twice, create a new upload");
    return;
  }
  work.mStep = ControlStep::eCompleteUpload;
  PutFilePart last;
  last.mFile = work.mFile;
  last.mName = work.mName;
  last.mPurpose = work.mPurpose;
  last.mOffset = aFile.mBytes;
  last.mLast = true;
  CallControl(aStep, aRequest, std::move(last));
}

// Handles the FileReply to PutFilePart or DescribeFile.
void
HandleFileInfo(EntryStep& aStep, CallerRequest& aRequest, const FileInfo& aFile)
{
  ControlWork& work = aRequest.mControl;
  switch (work.mStep) {
    case ControlStep::eDescribeFile:
      ReplyJson(aStep, aRequest, FileJson(aFile));
      return;
    case ControlStep::eFindUploadOffset:
    case ControlStep::eCheckUpload:
      HandleUploadInfo(aStep, aRequest, aFile);
      return;
    case ControlStep::eCreateUpload:
      ReplyJson(
        aStep,
        aRequest,
        UploadJson(
          UploadIdText(UploadOf(work)), aFile, work.mDeclaredBytes, "pending"));
      return;
    case ControlStep::eCompleteUpload:
      ReplyJson(aStep,
                aRequest,
                UploadJson(UploadIdText(UploadOf(work)),
                           aFile,
                           work.mDeclaredBytes,
                           "completed"));
      return;
    default:
      break;
  }
  if (!AllBytesSent(work)) {
    PutNextPart(aStep, aRequest);
    ExtendDeadline(aStep, aRequest);
  } else if (work.mStep == ControlStep::eAppendUpload) {
    const UploadPartId part{ work.mFile, work.mStart, work.mOffset };
    ReplyJson(
      aStep,
      aRequest,
      UploadPartJson(UploadPartIdText(part), UploadIdText(UploadOf(work))));
  } else {
    ReplyJson(aStep, aRequest, FileJson(aFile));
  }
}

void
HandleDeleted(EntryStep& aStep, CallerRequest& aRequest)
{
  const ControlWork& work = aRequest.mControl;
  if (work.mStep == ControlStep::eCancelUpload) {
    FileInfo info;
    info.mName = work.mName;
    info.mPurpose = "batch";
    ReplyJson(
      aStep,
      aRequest,
      UploadJson(
        UploadIdText(UploadOf(work)), info, work.mDeclaredBytes, "cancelled"));
  } else {
    ReplyJson(aStep, aRequest, DeletedJson(work.mFile));
  }
}

void
HandleCallFailure(EntryStep& aStep,
                  CallerRequest& aRequest,
                  const CallFailed& aFailed)
{
  CallerError error;
  error.mKind = aFailed.mKind;
  error.mMessage = aFailed.mMessage;
  FailRequest(aStep, aRequest, std::move(error));
}

} // namespace

void
StartControlWork(EntryStep& aStep, CallerRequest& aRequest)
{
  ControlWork& work = aRequest.mControl;
  aRequest.mPhase = RequestPhase::eControl;
  switch (work.mStep) {
    case ControlStep::eCreateFile:
    case ControlStep::eCreateUpload:
      PutNextPart(aStep, aRequest);
      break;
    case ControlStep::eListFiles:
      CallWithKey(
        aStep, aRequest, ListFiles{ FileId(work.mAfter), work.mLimit });
      break;
    case ControlStep::eDescribeFile:
    case ControlStep::eFindUploadOffset:
    case ControlStep::eCheckUpload:
      CallWithKey(aStep, aRequest, DescribeFile{ work.mFile });
      break;
    case ControlStep::eReadContent:
    case ControlStep::eReadFirstLine:
      CallWithKey(aStep, aRequest, ReadFile{ work.mFile, 0 });
      break;
    case ControlStep::eDeleteFile:
    case ControlStep::eCancelUpload:
      CallControl(aStep, aRequest, DeleteFile{ work.mFile });
      break;
    case ControlStep::eDescribeJob:
      CallWithKey(aStep, aRequest, DescribeJob{ work.mJob });
      break;
    case ControlStep::eListJobs:
      CallWithKey(aStep, aRequest, ListJobs{ JobId(work.mAfter), work.mLimit });
      break;
    case ControlStep::eCancelJob:
      CallWithKey(aStep, aRequest, CancelJobByKey{ work.mJob, {} });
      break;
    default:
      break;
  }
  ScheduleRequest(aStep, aRequest);
}

void
HandleControlWorkReply(EntryStep& aStep,
                       CallerRequest& aRequest,
                       const CallReplyBody& aBody)
{
  std::visit(Visitor{
               [&](const CallFailed& aFailed) {
                 HandleCallFailure(aStep, aRequest, aFailed);
               },
               [&](const CallDone&) { HandleDeleted(aStep, aRequest); },
               [&](const FileReply& aReply) {
                 HandleFileInfo(aStep, aRequest, aReply.mFile);
               },
               [&](const FileListReply& aReply) {
                 ReplyJson(aStep, aRequest, FileListJson(aReply));
               },
               [&](const FileBytesReply& aReply) {
                 if (aRequest.mControl.mStep == ControlStep::eReadFirstLine) {
                   HandleFirstLine(aStep, aRequest, aReply);
                 } else {
                   HandleFileContent(aStep, aRequest, aReply);
                 }
               },
               [&](const JobReply& aReply) {
                 ReplyJson(aStep, aRequest, JobJson(aReply.mJob));
               },
               [&](const JobListReply& aReply) {
                 ReplyJson(aStep, aRequest, JobListJson(aReply));
               },
               [&](const auto&) {
                 Fail(aStep,
                      aRequest,
                      ErrorKind::eUnavailable,
                      "control sent an unexpected type of reply",
                      "send the request again");
               },
             },
             aBody);
}

} // namespace caraway
