// Submits batch jobs and checks their results.

#include "fuzz/fleet/batches.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace caraway::fleet {

namespace {

using Json = nlohmann::json;

Json
BodyOf(const CallerRequest& aRequest)
{
  return Json::parse(aRequest.mBody, nullptr, false);
}

std::string
InputFile(Fleet& aFleet, int aItems, std::vector<std::string>& aMarkers)
{
  std::string lines;
  for (int item = 0; item < aItems; ++item) {
    const std::string marker = absl::StrCat("m-", aFleet.mNextNumber++);
    aMarkers.push_back(marker);
    absl::StrAppend(
      &lines,
      R"({"custom_id":"c)",
      item,
      R"(","method":"POST","url":"/v1/completions","body":{"model":"model-a",)",
      R"("max_tokens":8,"prompt":")",
      marker,
      "\"}}\n");
  }
  return lines;
}

CallerRequest
UploadFile(Fleet& aFleet, size_t aEntry, const std::string& aLines)
{
  const std::string boundary = "fleetboundary";
  const std::string body =
    absl::StrCat("--",
                 boundary,
                 "\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\n"
                 "batch\r\n--",
                 boundary,
                 "\r\nContent-Disposition: form-data; name=\"file\"; "
                 "filename=\"in.jsonl\"\r\nContent-Type: application/jsonl"
                 "\r\n\r\n",
                 aLines,
                 "\r\n--",
                 boundary,
                 "--\r\n");
  return Exchange(
    aFleet,
    aEntry,
    "POST",
    "/v1/files",
    { { "Content-Type",
        absl::StrCat("multipart/form-data; boundary=", boundary) } },
    body);
}

Json
JobOf(Fleet& aFleet, size_t aEntry, const SubmittedJob& aJob)
{
  return BodyOf(Exchange(
    aFleet, aEntry, "GET", absl::StrCat("/v1/batches/", aJob.mId), {}, ""));
}

void
RecordResultLine(Fleet& aFleet, SubmittedJob& aJob, const std::string& aLine)
{
  const std::string marker = MarkerIn(aLine);
  const auto [seen, fresh] = aJob.mSeenLines.try_emplace(marker, aLine);
  if (!fresh && seen->second != aLine) {
    ReportViolation(aFleet.mOracle,
                    absl::StrCat("I1: the result of ",
                                 marker,
                                 " changed from ",
                                 seen->second,
                                 " to ",
                                 aLine));
  }
}

} // namespace

SubmittedJob
SubmitJob(Fleet& aFleet, size_t aEntry, int aItems, bool aResend)
{
  SubmittedJob job;
  const std::string lines = InputFile(aFleet, aItems, job.mMarkers);
  const Json file = BodyOf(UploadFile(aFleet, aEntry, lines));
  if (!file.is_object() || !file.contains("id")) {
    return job;
  }
  job.mInput = file["id"].get<std::string>();
  const std::string body = Json{
    { "input_file_id", job.mInput },
    { "endpoint", "/v1/completions" },
    { "completion_window", "1h" }
  }.dump();
  const Headers headers = { { "Content-Type", "application/json" },
                            { "Idempotency-Key", "job-" + job.mInput } };
  std::string first;
  for (int copy = 0; copy < (aResend ? 2 : 1); ++copy) {
    const Json created = BodyOf(Exchange(aFleet,
                                         aEntry + static_cast<size_t>(copy),
                                         "POST",
                                         "/v1/batches",
                                         headers,
                                         body));
    if (!created.is_object() || !created.contains("output_file_id")) {
      continue;
    }
    const std::string id = created["id"].get<std::string>();
    if (!job.mId.empty() && job.mId != id) {
      ReportViolation(
        aFleet.mOracle,
        absl::StrCat("I1: a resent job became two: ", job.mId, " ", id));
    }
    job.mId = id;
    job.mOutput = created["output_file_id"].get<std::string>();
  }
  return job;
}

void
CancelJobOf(Fleet& aFleet, size_t aEntry, SubmittedJob& aJob)
{
  if (aJob.mId.empty() || aJob.mCancelled) {
    return;
  }
  const Json answer =
    BodyOf(Exchange(aFleet,
                    aEntry,
                    "POST",
                    absl::StrCat("/v1/batches/", aJob.mId, "/cancel"),
                    { { "Content-Type", "application/json" } },
                    "{}"));
  if (answer.is_object() && answer.value("status", "") == "cancelled") {
    aJob.mCancelled = true;
    aJob.mCancelledAt = aFleet.mNow;
  }
}

void
ReadResults(Fleet& aFleet, size_t aEntry, SubmittedJob& aJob)
{
  if (aJob.mId.empty()) {
    return;
  }
  const CallerRequest answer =
    Exchange(aFleet,
             aEntry,
             "GET",
             absl::StrCat("/v1/files/", aJob.mOutput, "/content"),
             {},
             "");
  if (answer.mStatus != 200 || !answer.mWhole) {
    return;
  }
  std::map<std::string, int> inThisRead;
  const std::vector<std::string> lines =
    absl::StrSplit(answer.mBody, '\n', absl::SkipEmpty());
  for (const std::string& line : lines) {
    RecordResultLine(aFleet, aJob, line);
    if (++inThisRead[MarkerIn(line)] > 1) {
      ReportViolation(aFleet.mOracle,
                      absl::StrCat("I1: two results for ", MarkerIn(line)));
    }
  }
  for (const auto& [marker, line] : aJob.mSeenLines) {
    if (!inThisRead.contains(marker)) {
      ReportViolation(aFleet.mOracle,
                      absl::StrCat("I1: the result of ", marker, " vanished"));
    }
  }
}

void
CheckJobEnded(Fleet& aFleet, size_t aEntry, SubmittedJob& aJob)
{
  constexpr Duration kCancelTime = Seconds(7);
  if (aJob.mId.empty()) {
    return;
  }
  Json job = JobOf(aFleet, aEntry, aJob);
  for (int wait = 0;
       wait < 60 && job.is_object() && job.value("status", "") == "in_progress";
       ++wait) {
    RunFor(aFleet, Seconds(1));
    job = JobOf(aFleet, aEntry, aJob);
  }
  const std::string status = job.is_object() ? job.value("status", "") : "";
  ReadResults(aFleet, aEntry, aJob);
  if (aJob.mCancelled) {
    if (status != "cancelled") {
      ReportViolation(aFleet.mOracle,
                      absl::StrCat("I2: a cancelled job became ", status));
    }
    for (const Execution& execution : aFleet.mOracle.mExecutions) {
      for (const std::string& marker : aJob.mMarkers) {
        if (execution.mMarker == marker &&
            execution.mStarted > aJob.mCancelledAt + kCancelTime) {
          ReportViolation(
            aFleet.mOracle,
            absl::StrCat("I2: ", marker, " ran after the cancel"));
        }
      }
    }
    return;
  }
  if (status != "completed") {
    ReportViolation(aFleet.mOracle,
                    absl::StrCat("I1: job ",
                                 aJob.mId,
                                 " did not complete: ",
                                 job.is_object() ? job.dump() : "no answer"));
    return;
  }
  for (const std::string& marker : aJob.mMarkers) {
    if (!aJob.mSeenLines.contains(marker)) {
      ReportViolation(aFleet.mOracle,
                      absl::StrCat("I1: no result for ", marker));
    }
  }
}

} // namespace caraway::fleet
