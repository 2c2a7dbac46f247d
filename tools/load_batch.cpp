// Submits a batch job and polls its progress.

#include "tools/load_batch.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr const char* kBoundary = "caraway-load-5b0d7c21e6fa";
constexpr Duration kPollEvery = Millis(500);

std::string
ItemLines(const LoadBatchSettings& aSettings)
{
  std::string lines;
  for (uint64_t item = 0; item < aSettings.mItems; ++item) {
    const Json line{ { "custom_id", absl::StrCat("item-", item) },
                     { "method", "POST" },
                     { "url", "/v1/completions" },
                     { "body",
                       { { "model", aSettings.mModel },
                         { "prompt", absl::StrCat("batch item ", item) },
                         { "max_tokens", 4 } } } };
    absl::StrAppend(&lines, line.dump(), "\n");
  }
  return lines;
}

std::string
FormField(const std::string& aDisposition, const std::string& aValue)
{
  return absl::StrCat("--",
                      kBoundary,
                      "\r\nContent-Disposition: form-data; ",
                      aDisposition,
                      "\r\n\r\n",
                      aValue,
                      "\r\n");
}

} // namespace

LoadBatch::LoadBatch(Loop& aLoop,
                     const LoadBatchSettings& aSettings,
                     LoadResult& aResult)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mResult(aResult)
  , mStart(aLoop.Now())
  , mTimer(aLoop, [this] { Poll(); })
{
}

void
LoadBatch::Start()
{
  mResult.mBatchState = "uploading";
  FetchRequest request;
  request.mMethod = "POST";
  request.mUrl = "/v1/files";
  request.mHeaders = { { "Content-Type",
                         absl::StrCat("multipart/form-data; boundary=",
                                      kBoundary) } };
  request.mBody =
    absl::StrCat(FormField("name=\"purpose\"", "batch"),
                 FormField("name=\"file\"; filename=\"load.jsonl\"\r\n"
                           "Content-Type: application/jsonl",
                           ItemLines(mSettings)),
                 "--",
                 kBoundary,
                 "--\r\n");
  SendRequest(std::move(request), [this](const std::string& aBody) {
    Submit(Json::parse(aBody, nullptr, false).value("id", std::string()));
  });
}

void
LoadBatch::SendRequest(FetchRequest aRequest, OnSuccess aOnSuccess)
{
  aRequest.mUrl = mSettings.mEntry + aRequest.mUrl;
  aRequest.mAuthority = mSettings.mAuthority;
  aRequest.mHeaders.emplace_back("Authorization", "Bearer " + mSettings.mKey);
  Fetch(
    mLoop,
    aRequest,
    [this,
     next = std::move(aOnSuccess)](const absl::StatusOr<FetchAnswer>& aAnswer) {
      if (aAnswer.ok() && aAnswer->mStatus < 300 &&
          Json::parse(aAnswer->mBody, nullptr, false).is_object()) {
        next(aAnswer->mBody);
        return;
      }
      // A failed poll is repeated; the job continues regardless.
      if (!mJob.empty()) {
        mTimer.ArmAt(mLoop.Now() + kPollEvery);
        return;
      }
      mFinished = true;
      mResult.mBatchState =
        aAnswer.ok()
          ? absl::StrCat("not accepted (HTTP status ", aAnswer->mStatus, ")")
          : "not accepted (no answer)";
    });
}

void
LoadBatch::Submit(const std::string& aFile)
{
  FetchRequest request;
  request.mMethod = "POST";
  request.mUrl = "/v1/batches";
  request.mHeaders = { { "Content-Type", "application/json" } };
  request.mBody = Json{
    { "input_file_id", aFile },
    { "endpoint", "/v1/completions" },
    { "completion_window", "24h" }
  }.dump();
  SendRequest(std::move(request),
              [this](const std::string& aBody) { OnJob(aBody); });
}

void
LoadBatch::Poll()
{
  FetchRequest request;
  request.mUrl = "/v1/batches/" + mJob;
  SendRequest(std::move(request),
              [this](const std::string& aBody) { OnJob(aBody); });
}

void
LoadBatch::OnJob(const std::string& aBody)
{
  const Json job = Json::parse(aBody, nullptr, false);
  mJob = job.value("id", mJob);
  mResult.mBatchState = job.value("status", std::string("?"));
  const Json counts = job.value("request_counts", Json::object());
  const uint64_t failed = counts.value("failed", 0ULL);
  mResult.mBatch.push_back({ mLoop.Now() - mStart,
                             counts.value("completed", 0ULL) + failed,
                             failed,
                             counts.value("total", 0ULL) });
  const std::string& state = mResult.mBatchState;
  mFinished = state == "completed" || state == "failed" ||
              state == "cancelled" || state == "expired";
  if (!mFinished) {
    mTimer.ArmAt(mLoop.Now() + kPollEvery);
  }
}

} // namespace caraway
