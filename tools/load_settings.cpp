// Reads and validates the settings of caraway-load.

#include "tools/load_settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <netinet/in.h>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "caraway/runtime/socket_address.h"

namespace caraway {

const char* const kLoadUsage =
  R"(caraway-load: sends a load to entries and measures it.

Usage:
  caraway-load [options] [--mark=MARK]...
  caraway-load (-h | --help)
  caraway-load --version

Every option with a value can also be set as CARAWAY_LOAD_NAME in the environment.
Arrivals are open-loop: a request is sent at its time whether or not earlier ones
have been answered, and its latency counts from that intended time.

Options:
  --entries=LIST        URLs of entries, used in turn, http://IP:PORT,...
  --workspaces=LIST     NAME:KEYFILE[:SHARE],... with the callers' keys.
  --arrivals=SHAPE      constant, poisson or bursts [poisson].
  --trace=FILE          Recorded arrivals instead, JSONL with at_ms, kind,
                        workspace, prompt_bytes and max_tokens.
  --seed=N              Seed of the arrivals [1].
  --rate=N              Requests a second [20].
  --seconds=N           Length of the arrivals [10].
  --count=N             Most requests [1000].
  --burst-factor=N      Rate during bursts, times the rate [8].
  --burst-period-ms=N   From one burst to the next [5000].
  --burst-length-ms=N   Length of each burst [1000].
  --mix=LIST            Weights of online, stream, keyed (service call with
                        Idempotency-Key) and unkeyed
                        [online:6,stream:3,keyed:1,unkeyed:1].
  --prompt-bytes=N      Length of each prompt [200].
  --max-tokens=N        Tokens of each answer [16].
  --model=NAME          Model of completions [tekst-model].
  --service-path=PATH   Path prefix of service calls [/stock/].
  --check-seed=N        Seed of the stand-in engines, to compare each text.
  --timeout-s=N         Longest silence of a request [30].
  --max-open=N          Most requests in flight [1000].
  --batch-items=N       Submits a batch job of so many items beside [0].
  --batch-workspace=W   Workspace of the job; the first if absent.
  --batch-wait-s=N      Longest wait for the job after the last arrival [120].
  --mark=MARK           Shown in the report, AT_MS:TEXT; may be repeated.
  --json=FILE           Writes the result as JSON.
  --html=FILE           Writes the report.
  --ca=FILE             PEM authority to trust for https URLs.
  --allow-remote        Allows addresses outside loopback.
  --check               Checks the settings and exits.
  -h --help             Show this help.
  --version             Show the version.

Exit codes: 0 no answer was wrong and at least one was right; 1 an answer was wrong,
none was right, or a file could not be written; 2 wrong flags or settings.
)";

namespace {

std::string
ReadFileOrNoteError(SettingsReader& aReader,
                    const std::string& aSetting,
                    const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    aReader.NoteError(aSetting,
                      absl::StrCat("cannot read '", aPath, "'"),
                      "name a file that exists and that you may read");
    return "";
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void
ReadEntries(SettingsReader& aReader, LoadSettings& aSettings)
{
  const bool remote = aReader.Flag("allow-remote");
  const std::string list = aReader.Required("entries");
  const std::vector<std::string> urls =
    absl::StrSplit(list, ',', absl::SkipEmpty());
  for (const std::string& url : urls) {
    if (!remote && !IsLoopbackUrl(url)) {
      aReader.NoteError("--entries",
                        absl::StrCat("'", url, "' is not a loopback address"),
                        "write http://127.0.0.1:PORT, or give --allow-remote "
                        "if the load is meant for another machine");
    }
    aSettings.mRun.mEntries.emplace_back(absl::StripSuffix(url, "/"));
  }
}

void
ReadWorkspaces(SettingsReader& aReader, LoadSettings& aSettings)
{
  aSettings.mPlan.mShares.clear();
  const std::string list = aReader.Required("workspaces");
  const std::vector<std::string> parts =
    absl::StrSplit(list, ',', absl::SkipEmpty());
  for (const std::string& part : parts) {
    const std::vector<std::string> fields = absl::StrSplit(part, ':');
    double share = 1;
    if (fields.size() < 2 || fields.size() > 3 || fields[0].empty() ||
        (fields.size() == 3 &&
         (!absl::SimpleAtod(fields[2], &share) || !(share > 0)))) {
      aReader.NoteError("--workspaces",
                        absl::StrCat("'", part, "' is not a workspace"),
                        "write NAME:KEYFILE or NAME:KEYFILE:SHARE");
      continue;
    }
    std::string key = ReadFileOrNoteError(aReader, "--workspaces", fields[1]);
    key.resize(std::min(key.size(), key.find_first_of("\r\n")));
    aSettings.mResult.mWorkspaces.push_back(fields[0]);
    aSettings.mRun.mKeys.push_back(key);
    aSettings.mPlan.mShares.push_back(share);
  }
}

void
ReadPlan(SettingsReader& aReader, LoadSettings& aSettings)
{
  LoadPlanSettings& plan = aSettings.mPlan;
  const std::string shape =
    aReader.Choice("arrivals", "poisson", { "constant", "poisson", "bursts" });
  plan.mShape = shape == "constant"  ? ArrivalShape::eConstant
                : shape == "poisson" ? ArrivalShape::ePoisson
                                     : ArrivalShape::eBursts;
  plan.mSeed = aReader.Number("seed", 1, 0, UINT64_MAX);
  plan.mRate = static_cast<double>(aReader.Number("rate", 20, 1, 100000));
  plan.mLength =
    Seconds(static_cast<int64_t>(aReader.Number("seconds", 10, 1, 3600)));
  plan.mMaxCount = aReader.Number("count", 1000, 1, 1000000);
  plan.mBurstFactor =
    static_cast<double>(aReader.Number("burst-factor", 8, 1, 1000));
  plan.mBurstPeriod = aReader.Milliseconds(
    "burst-period-ms", Seconds(5), Millis(1), Seconds(3600));
  plan.mBurstLength = aReader.Milliseconds(
    "burst-length-ms", Seconds(1), Millis(1), Seconds(3600));
  plan.mPromptBytes =
    static_cast<uint32_t>(aReader.Number("prompt-bytes", 200, 1, 1 << 20));
  plan.mMaxTokens =
    static_cast<uint32_t>(aReader.Number("max-tokens", 16, 1, 100000));
  const auto mix = ParseLoadMix(
    aReader.Optional("mix", "online:6,stream:3,keyed:1,unkeyed:1"));
  if (mix.ok()) {
    plan.mMix = *mix;
  } else {
    aReader.NoteError(
      "--mix", std::string(mix.status().message()), "see --help");
  }
  const std::string trace = aReader.Optional("trace", "");
  aSettings.mUseTrace = !trace.empty();
  if (aSettings.mUseTrace) {
    aSettings.mTrace = ReadFileOrNoteError(aReader, "--trace", trace);
  }
  aSettings.mResult.mSeed = plan.mSeed;
  aSettings.mResult.mArrivals = aSettings.mUseTrace ? "trace" : shape;
}

void
ReadBatch(SettingsReader& aReader, LoadSettings& aSettings)
{
  LoadRunSettings& run = aSettings.mRun;
  // At most 40,000 items, since one upload request contains the whole file.
  run.mBatchItems = aReader.Number("batch-items", 0, 0, 40000);
  run.mBatchTimeout =
    Seconds(static_cast<int64_t>(aReader.Number("batch-wait-s", 120, 1, 3600)));
  const std::string name = aReader.Optional("batch-workspace", "");
  const auto& names = aSettings.mResult.mWorkspaces;
  for (size_t index = 0; index < names.size(); ++index) {
    if (names[index] == name) {
      run.mBatchWorkspace = static_cast<uint32_t>(index);
      return;
    }
  }
  if (!name.empty()) {
    aReader.NoteError("--batch-workspace",
                      absl::StrCat("'", name, "' is not in --workspaces"),
                      "give a workspace that is listed there");
  }
}

} // namespace

LoadSettings
ReadLoadSettings(SettingsReader& aReader)
{
  LoadSettings settings;
  ReadEntries(aReader, settings);
  ReadWorkspaces(aReader, settings);
  ReadPlan(aReader, settings);
  ReadBatch(aReader, settings);
  LoadRunSettings& run = settings.mRun;
  run.mCall.mModel = aReader.Optional("model", "tekst-model");
  run.mCall.mServicePath = aReader.Optional("service-path", "/stock/");
  if (!aReader.Optional("check-seed", "").empty()) {
    run.mCall.mCheckSeed = aReader.Number("check-seed", 0, 0, UINT64_MAX);
  }
  run.mCall.mTimeout =
    Seconds(static_cast<int64_t>(aReader.Number("timeout-s", 30, 1, 3600)));
  run.mAnswerTimeout = run.mCall.mTimeout;
  run.mMaxInFlight =
    static_cast<uint32_t>(aReader.Number("max-open", 1000, 1, 20000));
  run.mAuthority = aReader.Optional("ca", "");
  settings.mJsonFile = aReader.Optional("json", "");
  settings.mHtmlFile = aReader.Optional("html", "");
  const std::vector<std::string> marks =
    absl::StrSplit(aReader.Optional("mark", ""), '\n', absl::SkipEmpty());
  for (const std::string& text : marks) {
    const auto mark = ParseLoadMark(text);
    if (mark.ok()) {
      settings.mResult.mMarks.push_back(*mark);
    } else {
      aReader.NoteError(
        "--mark", std::string(mark.status().message()), "see --help");
    }
  }
  aReader.Finish();
  return settings;
}

bool
IsLoopbackUrl(const std::string& aUrl)
{
  absl::string_view rest = aUrl;
  if (!absl::ConsumePrefix(&rest, "http://") &&
      !absl::ConsumePrefix(&rest, "https://")) {
    return false;
  }
  absl::ConsumeSuffix(&rest, "/");
  // libevent's address parser ignores text after the port, which the URL parser
  // would read as a path or, after '@', as another host. Rejecting all other
  // characters keeps such a URL from passing as loopback.
  if (rest.find_first_not_of("0123456789abcdefABCDEF.:[]") !=
      absl::string_view::npos) {
    return false;
  }
  const auto address = ParseSocketAddress(std::string(rest));
  if (!address.ok()) {
    return false;
  }
  if (address->mStorage.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address->mStorage);
    return ntohl(v4->sin_addr.s_addr) >> 24 == 127;
  }
  const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address->mStorage);
  return address->mStorage.ss_family == AF_INET6 &&
         IN6_IS_ADDR_LOOPBACK(&v6->sin6_addr);
}

} // namespace caraway
