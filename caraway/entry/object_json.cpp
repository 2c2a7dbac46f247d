// JSON representations of files, uploads, batches and models.

#include "caraway/entry/object_json.h"

#include <nlohmann/json.hpp>

#include "caraway/base/json_text.h"
#include "caraway/entry/batch_window.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

// Serializes a value, replacing invalid UTF-8.
std::string
DumpJson(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json
FileObject(const FileInfo& aFile)
{
  return { { "id", aFile.mId.mValue },
           { "object", "file" },
           { "bytes", aFile.mBytes },
           { "created_at", aFile.mCreatedAt },
           { "filename", aFile.mName },
           { "purpose", aFile.mPurpose },
           { "status", aFile.mComplete ? "processed" : "uploaded" },
           { "lines", aFile.mLines } };
}

const char*
StatusName(JobStatus aStatus)
{
  switch (aStatus) {
    case JobStatus::eInProgress:
      return "in_progress";
    case JobStatus::eCompleted:
      return "completed";
    case JobStatus::eCancelled:
      return "cancelled";
    case JobStatus::eExpired:
      return "expired";
  }
  return "in_progress";
}

// Returns the end time of the job if it ended with this status, or null.
Json
EndedAt(const JobInfo& aJob, JobStatus aStatus)
{
  return aJob.mStatus == aStatus ? Json(aJob.mEndedAt) : Json(nullptr);
}

Json
JobObject(const JobInfo& aJob)
{
  Json metadata = ParseJson(aJob.mMetadata);
  if (metadata.is_discarded()) {
    metadata = nullptr;
  }
  const Json output =
    aJob.mOutput.Empty() ? Json(nullptr) : Json(aJob.mOutput.mValue);
  return { { "id", aJob.mId.mValue },
           { "object", "batch" },
           { "endpoint", aJob.mEndpoint },
           { "errors", nullptr },
           { "input_file_id", aJob.mInput.mValue },
           { "completion_window", BatchWindowText(aJob.mWindow) },
           { "status", StatusName(aJob.mStatus) },
           { "output_file_id", output },
           { "error_file_id", nullptr },
           { "created_at", aJob.mCreatedAt },
           { "in_progress_at", aJob.mCreatedAt },
           { "expires_at", aJob.mCreatedAt + aJob.mWindow.Millis() / 1000 },
           { "finalizing_at", nullptr },
           { "completed_at", EndedAt(aJob, JobStatus::eCompleted) },
           { "failed_at", nullptr },
           { "expired_at", EndedAt(aJob, JobStatus::eExpired) },
           { "cancelling_at", nullptr },
           { "cancelled_at", EndedAt(aJob, JobStatus::eCancelled) },
           { "request_counts",
             { { "total", aJob.mTotal },
               { "completed", aJob.mCompleted },
               { "failed", aJob.mFailed } } },
           { "metadata", metadata },
           { "at_risk", aJob.mAtRisk },
           { "seconds_left", aJob.mTimeLeft.Millis() / 1000 } };
}

std::string
ListJson(Json aData, bool aMore)
{
  const bool empty = aData.empty();
  const Json first = empty ? Json(nullptr) : aData.front()["id"];
  const Json last = empty ? Json(nullptr) : aData.back()["id"];
  return DumpJson({ { "object", "list" },
                    { "data", std::move(aData) },
                    { "first_id", first },
                    { "last_id", last },
                    { "has_more", aMore } });
}

Json
ModelObject(const ModelId& aModel)
{
  return { { "id", aModel.mValue },
           { "object", "model" },
           { "created", 0 },
           { "owned_by", "carawayyard" } };
}

} // namespace

std::string
FileJson(const FileInfo& aFile)
{
  return DumpJson(FileObject(aFile));
}

std::string
FileListJson(const FileListReply& aReply)
{
  Json data = Json::array();
  for (const FileInfo& file : aReply.mFiles) {
    data.push_back(FileObject(file));
  }
  return ListJson(std::move(data), aReply.mMore);
}

std::string
DeletedJson(const FileId& aFile)
{
  return DumpJson(
    { { "id", aFile.mValue }, { "object", "file" }, { "deleted", true } });
}

std::string
UploadJson(const std::string& aUpload,
           const FileInfo& aInfo,
           uint64_t aBytes,
           std::string_view aStatus)
{
  constexpr int64_t kLifetimeSeconds = 3600;
  const bool completed = aStatus == "completed";
  return DumpJson(
    { { "id", aUpload },
      { "object", "upload" },
      { "bytes", aBytes },
      { "created_at", aInfo.mCreatedAt },
      { "filename", aInfo.mName },
      { "purpose", aInfo.mPurpose },
      { "status", std::string(aStatus) },
      { "expires_at", aInfo.mCreatedAt + kLifetimeSeconds },
      { "file", completed ? FileObject(aInfo) : Json(nullptr) } });
}

std::string
UploadPartJson(const std::string& aPart, const std::string& aUpload)
{
  return DumpJson({ { "id", aPart },
                    { "object", "upload.part" },
                    { "created_at", 0 },
                    { "upload_id", aUpload } });
}

std::string
JobJson(const JobInfo& aJob)
{
  return DumpJson(JobObject(aJob));
}

std::string
JobListJson(const JobListReply& aReply)
{
  Json data = Json::array();
  for (const JobInfo& job : aReply.mJobs) {
    data.push_back(JobObject(job));
  }
  return ListJson(std::move(data), aReply.mMore);
}

std::string
ModelListJson(const std::vector<ModelId>& aModels)
{
  Json data = Json::array();
  for (const ModelId& model : aModels) {
    data.push_back(ModelObject(model));
  }
  return DumpJson({ { "object", "list" }, { "data", std::move(data) } });
}

std::string
ModelJson(const ModelId& aModel)
{
  return DumpJson(ModelObject(aModel));
}

} // namespace caraway
