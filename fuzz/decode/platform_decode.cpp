// Fuzzes the adapter's parsers of what callers, operators and targets send. The
// first line of the input holds method, path and query, the second the headers
// as NAME:VALUE pairs separated by tabs, and the rest is the body.

#include "absl/strings/str_split.h"
#include "fuzz/decode/decode.h"
#include "platform/dialect.h"
#include "platform/heartbeat_json.h"
#include "platform/jobs_json.h"
#include "platform/plan_json.h"

using namespace caraway;

namespace {

HttpRequest
ReadInput(const std::string& aInput)
{
  HttpRequest request;
  request.mCall = HttpCallId(1);
  const std::vector<std::string> lines =
    absl::StrSplit(aInput, absl::MaxSplits('\n', 2));
  const std::vector<std::string> words =
    absl::StrSplit(lines[0], absl::MaxSplits(' ', 1));
  request.mMethod = words[0];
  const std::string target = words.size() > 1 ? words[1] : "/";
  request.mPath = target.substr(0, target.find('?'));
  request.mQuery =
    target.substr(std::min(target.size(), request.mPath.size() + 1));
  if (lines.size() > 1) {
    for (absl::string_view pair : absl::StrSplit(lines[1], '\t')) {
      const std::pair<std::string, std::string> split =
        absl::StrSplit(pair, absl::MaxSplits(':', 1));
      request.mHeaders.emplace_back(split.first, split.second);
    }
  }
  request.mBody = lines.size() > 2 ? lines[2] : std::string();
  return request;
}

void
CheckTimes(const TargetHeartbeat& aHeartbeat)
{
  Require(aHeartbeat.mTarget.mColdFor >= Duration{},
          "a heartbeat states a negative time");
}

// Checks that the nodes can parse the items of an accepted job.
void
CheckJob(const JobSubmission& aJob)
{
  const std::vector<std::string> lines =
    absl::StrSplit(aJob.mLines, '\n', absl::SkipEmpty());
  Require(lines.size() == aJob.mItems.size(), "an item lost its line");
  FileBytesReply reply;
  reply.mBytes = aJob.mLines;
  (void)platform::WriteResults(reply);
  for (const std::string& line : lines) {
    (void)platform::ReadItemBody(line);
  }
}

void
CheckEvent(const EntryDialect& aDialect, const EntryEvent& aEvent)
{
  if (const auto* heartbeat = std::get_if<TargetHeartbeat>(&aEvent)) {
    CheckTimes(*heartbeat);
  } else if (const auto* forward = std::get_if<ForwardRequest>(&aEvent)) {
    Require(!forward->mDeadline || *forward->mDeadline >= Duration{},
            "a request states a negative deadline");
    const DecodedRequest job = aDialect.mReadJob(*forward);
    if (const auto* event = std::get_if<EntryEvent>(&job)) {
      CheckJob(std::get<JobSubmission>(*event));
    }
  }
}

} // namespace

int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const HttpRequest request =
    ReadInput(std::string(reinterpret_cast<const char*>(aData), aSize));
  const EntryDialect dialect = platform::MakeEntryDialect();
  for (const ListenerUse use : { ListenerUse::eCallers,
                                 ListenerUse::eReady,
                                 ListenerUse::eOperators }) {
    const DecodedRequest decoded = dialect.mRead(use, request);
    if (const auto* event = std::get_if<EntryEvent>(&decoded)) {
      CheckEvent(dialect, *event);
    }
  }
  TargetCallBegan answer;
  answer.mStatus = 200;
  answer.mHeaders = request.mHeaders;
  dialect.mTargets.mReadAnswer(answer);
  return 0;
}
