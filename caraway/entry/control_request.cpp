// Validates caller requests on files, uploads and batches.

#include "caraway/entry/control_request.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "caraway/base/error.h"
#include "caraway/base/json_text.h"
#include "caraway/entry/batch_window.h"
#include "caraway/entry/form.h"
#include "caraway/entry/upload_id.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr uint64_t kMaxFileBytes = 512ULL << 20;
constexpr uint64_t kMaxUploadBytes = 1ULL << 30; // as in the ledger
constexpr uint64_t kMaxUploadPartBytes = 64ULL << 20;
constexpr size_t kMaxNameBytes = 256;
constexpr size_t kMaxMetadataBytes = 16 * 1024;
constexpr size_t kMaxKeyBytes = 256;
constexpr uint32_t kMaxListLimit = 100;
constexpr size_t kMaxPartIds = 10000;
constexpr const char* kPurpose = "batch";

absl::Status
Invalid(const std::string& aWhat)
{
  return MakeError(ErrorKind::eInvalidArgument, aWhat, "correct the request");
}

absl::Status
TooLarge(const std::string& aWhat, const char* aRemedy)
{
  return MakeError(ErrorKind::eTooLarge, aWhat, aRemedy);
}

absl::Status
ReadObject(const std::string& aBody, Json& aOut)
{
  aOut = ParseJson(aBody);
  if (aOut.is_discarded() || !aOut.is_object()) {
    return Invalid("the body is not a JSON object");
  }
  return absl::OkStatus();
}

// Reads a string member; leaves aOut unchanged if it is absent or null.
absl::Status
ReadText(const Json& aObject, const char* aName, std::string& aOut)
{
  auto value = aObject.find(aName);
  if (value == aObject.end() || value->is_null()) {
    return absl::OkStatus();
  }
  if (!value->is_string()) {
    return Invalid(std::string("'") + aName + "' must be a string");
  }
  aOut = value->get<std::string>();
  return absl::OkStatus();
}

absl::Status
CheckFile(const ControlWork& aWork)
{
  if (aWork.mPurpose != kPurpose) {
    return Invalid("'purpose' must be \"batch\"");
  }
  if (aWork.mName.size() > kMaxNameBytes) {
    return Invalid("the file name is longer than 256 bytes");
  }
  return absl::OkStatus();
}

absl::Status
ReadFileForm(const HttpRequest& aHttp, Random& aRandom, ControlWork& aWork)
{
  absl::StatusOr<Form> form =
    ParseMultipart(HeaderValue(aHttp.mHeaders, "Content-Type"), aHttp.mBody);
  if (!form.ok()) {
    return form.status();
  }
  auto file = form->find("file");
  if (file == form->end() || file->second.mValue.empty()) {
    return Invalid("the form has no 'file' with content");
  }
  if (file->second.mValue.size() > kMaxFileBytes) {
    return TooLarge("the file is larger than 512 MiB",
                    "send it in parts by /v1/uploads");
  }
  aWork.mBytes = std::move(file->second.mValue);
  aWork.mName = file->second.mFileName;
  aWork.mPurpose = FieldValue(*form, "purpose");
  aWork.mFile = NewFileId(aRandom);
  return CheckFile(aWork);
}

absl::Status
ReadNewUpload(const HttpRequest& aHttp, Random& aRandom, ControlWork& aWork)
{
  Json body;
  if (absl::Status status = ReadObject(aHttp.mBody, body); !status.ok()) {
    return status;
  }
  absl::Status status = ReadText(body, "filename", aWork.mName);
  status.Update(ReadText(body, "purpose", aWork.mPurpose));
  if (!status.ok()) {
    return status;
  }
  auto bytes = body.find("bytes");
  if (bytes == body.end() || !bytes->is_number_unsigned() ||
      bytes->get<uint64_t>() == 0) {
    return Invalid("'bytes' must be a positive integer");
  }
  aWork.mDeclaredBytes = bytes->get<uint64_t>();
  if (aWork.mDeclaredBytes > kMaxUploadBytes) {
    return TooLarge("the upload is larger than 1 GiB",
                    "split the file into several files");
  }
  aWork.mFile = NewFileId(aRandom);
  return CheckFile(aWork);
}

absl::Status
ReadUploadId(const std::string& aId, ControlWork& aWork)
{
  const std::optional<UploadId> id = ParseUploadId(aId);
  if (!id) {
    return MakeError(
      ErrorKind::eNotFound, "there is no such upload", "check the id");
  }
  aWork.mFile = id->mFile;
  aWork.mDeclaredBytes = id->mBytes;
  return absl::OkStatus();
}

absl::Status
ReadUploadPart(const HttpRequest& aHttp, ControlWork& aWork)
{
  absl::StatusOr<Form> form =
    ParseMultipart(HeaderValue(aHttp.mHeaders, "Content-Type"), aHttp.mBody);
  if (!form.ok()) {
    return form.status();
  }
  aWork.mBytes = FieldValue(*form, "data");
  if (aWork.mBytes.empty()) {
    return Invalid("the form has no 'data' with content");
  }
  if (aWork.mBytes.size() > kMaxUploadPartBytes) {
    return TooLarge("the part is larger than 64 MiB", "send smaller parts");
  }
  return absl::OkStatus();
}

absl::Status
ReadPartIds(const HttpRequest& aHttp, ControlWork& aWork)
{
  Json body;
  if (absl::Status status = ReadObject(aHttp.mBody, body); !status.ok()) {
    return status;
  }
  auto ids = body.find("part_ids");
  if (ids == body.end() || !ids->is_array() || ids->size() > kMaxPartIds ||
      !std::all_of(ids->begin(), ids->end(), [](const Json& aId) {
        return aId.is_string();
      })) {
    return Invalid("'part_ids' must be an array of strings");
  }
  aWork.mPartIds = ids->get<std::vector<std::string>>();
  return absl::OkStatus();
}

absl::Status
ReadJobWindow(const Json& aBody, const Contract& aContract, Duration& aOut)
{
  std::string window;
  if (absl::Status status = ReadText(aBody, "completion_window", window);
      !status.ok()) {
    return status;
  }
  aOut = aContract.mBatchWindow;
  if (window.empty()) {
    return absl::OkStatus();
  }
  const std::optional<Duration> parsed = ParseBatchWindow(window);
  if (!parsed) {
    return Invalid("'completion_window' must be like \"24h\", \"90m\" or "
                   "\"30s\", at most 30 days");
  }
  aOut = *parsed;
  return absl::OkStatus();
}

absl::Status
ReadMetadata(const Json& aBody, std::string& aOut)
{
  auto metadata = aBody.find("metadata");
  if (metadata == aBody.end() || metadata->is_null()) {
    return absl::OkStatus();
  }
  aOut = metadata->dump(-1, ' ', false, Json::error_handler_t::replace);
  if (!metadata->is_object() || aOut.size() > kMaxMetadataBytes) {
    return Invalid("'metadata' must be an object of at most 16 KiB");
  }
  return absl::OkStatus();
}

absl::Status
ReadNewJob(const HttpRequest& aHttp,
           const Contract& aContract,
           Random& aRandom,
           ControlWork& aWork)
{
  Json body;
  if (absl::Status status = ReadObject(aHttp.mBody, body); !status.ok()) {
    return status;
  }
  std::string input;
  absl::Status status = ReadText(body, "input_file_id", input);
  status.Update(ReadText(body, "endpoint", aWork.mEndpoint));
  status.Update(ReadJobWindow(body, aContract, aWork.mWindow));
  status.Update(ReadMetadata(body, aWork.mMetadata));
  if (!status.ok()) {
    return status;
  }
  if (!IsObjectId(input)) {
    return Invalid("'input_file_id' must be the id of a file");
  }
  if (aWork.mEndpoint != "/v1/chat/completions" &&
      aWork.mEndpoint != "/v1/completions") {
    return Invalid("'endpoint' must be /v1/chat/completions or "
                   "/v1/completions");
  }
  const std::string key = HeaderValue(aHttp.mHeaders, "Idempotency-Key");
  if (key.size() > kMaxKeyBytes) {
    return Invalid("Idempotency-Key is longer than 256 bytes");
  }
  aWork.mKey = IdempotencyKey(key);
  aWork.mFile = FileId(input);
  aWork.mJob = NewJobId(aRandom);
  return absl::OkStatus();
}

absl::Status
ReadList(const HttpRequest& aHttp, ControlWork& aWork)
{
  absl::StatusOr<Form> query = ParseQuery(aHttp.mQuery);
  if (!query.ok()) {
    return Invalid("the query string is malformed");
  }
  aWork.mAfter = FieldValue(*query, "after");
  if (!aWork.mAfter.empty() && !IsObjectId(aWork.mAfter)) {
    return Invalid("'after' must be an id");
  }
  const std::string limit = FieldValue(*query, "limit");
  if (!limit.empty() &&
      (!absl::SimpleAtoi(limit, &aWork.mLimit) || aWork.mLimit == 0)) {
    return Invalid("'limit' must be a positive integer");
  }
  aWork.mLimit = std::min(aWork.mLimit, kMaxListLimit);
  return absl::OkStatus();
}

absl::Status
ReadPathId(const ApiMatch& aMatch, ControlWork& aWork)
{
  switch (aMatch.mStep) {
    case ControlStep::eFindUploadOffset:
    case ControlStep::eCheckUpload:
    case ControlStep::eCancelUpload:
      return ReadUploadId(aMatch.mId, aWork);
    default:
      break;
  }
  if (!IsObjectId(aMatch.mId)) {
    return MakeError(
      ErrorKind::eNotFound, "there is no such object", "check the id");
  }
  aWork.mFile = FileId(aMatch.mId);
  aWork.mJob = JobId(aMatch.mId);
  return absl::OkStatus();
}

} // namespace

absl::Status
ReadControlRequest(const ApiMatch& aMatch,
                   const HttpRequest& aHttp,
                   const Contract& aContract,
                   Random& aRandom,
                   ControlWork& aWork)
{
  aWork.mStep = aMatch.mStep;
  if (!aMatch.mId.empty()) {
    if (absl::Status status = ReadPathId(aMatch, aWork); !status.ok()) {
      return status;
    }
  }
  switch (aMatch.mStep) {
    case ControlStep::eCreateFile:
      return ReadFileForm(aHttp, aRandom, aWork);
    case ControlStep::eCreateUpload:
      return ReadNewUpload(aHttp, aRandom, aWork);
    case ControlStep::eFindUploadOffset:
      return ReadUploadPart(aHttp, aWork);
    case ControlStep::eCheckUpload:
      return ReadPartIds(aHttp, aWork);
    case ControlStep::eReadFirstLine:
      return ReadNewJob(aHttp, aContract, aRandom, aWork);
    case ControlStep::eListFiles:
    case ControlStep::eListJobs:
      return ReadList(aHttp, aWork);
    default:
      return absl::OkStatus();
  }
}

} // namespace caraway
