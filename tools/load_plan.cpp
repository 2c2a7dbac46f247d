// Generates arrivals from a seed and parses recorded traces.

#include "tools/load_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "caraway/base/absl_view.h"
#include "caraway/base/error.h"
#include "caraway/base/random.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, kLoadKinds> kKindNames{ "online",
                                                          "stream",
                                                          "keyed",
                                                          "unkeyed" };
constexpr uint64_t kMaxPromptBytes = 1 << 20;
constexpr uint64_t kMaxTokens = 100000;
constexpr uint64_t kMaxTraceMillis = 3600000;

template<typename Weights>
size_t
DrawWeighted(Random& aRandom, const Weights& aWeights)
{
  const double sum = std::accumulate(aWeights.begin(), aWeights.end(), 0.0);
  double left = DrawUnit(aRandom) * sum;
  size_t last = 0;
  for (size_t index = 0; index < aWeights.size(); ++index) {
    if (aWeights[index] <= 0) {
      continue;
    }
    last = index;
    left -= aWeights[index];
    if (left < 0) {
      return index;
    }
  }
  return last;
}

// Draws the time until the next arrival.
double
GapSeconds(const LoadPlanSettings& aSettings, Random& aRandom, Duration aNow)
{
  if (aSettings.mShape == ArrivalShape::eConstant) {
    return 1 / aSettings.mRate;
  }
  double rate = aSettings.mRate;
  if (aSettings.mShape == ArrivalShape::eBursts &&
      aNow.mMicros % aSettings.mBurstPeriod.mMicros <
        aSettings.mBurstLength.mMicros) {
    rate *= aSettings.mBurstFactor;
  }
  return -std::log(1 - DrawUnit(aRandom)) / rate;
}

bool
ParseLoadKind(const std::string& aName, LoadKind& aKind)
{
  const auto found = std::find(kKindNames.begin(), kKindNames.end(), aName);
  if (found == kKindNames.end()) {
    return false;
  }
  aKind = static_cast<LoadKind>(found - kKindNames.begin());
  return true;
}

absl::Status
LineError(size_t aLine, const std::string& aWhat)
{
  return MakeError(ErrorKind::eInvalidArgument,
                   absl::StrCat("trace line ", aLine, ": ", aWhat),
                   "write {\"at_ms\":0,\"kind\":\"online\",\"workspace\":\"w\","
                   "\"prompt_bytes\":200,\"max_tokens\":16}");
}

bool
ReadNumber(const Json& aLine, const char* aName, uint64_t aMost, uint64_t& aOut)
{
  const auto field = aLine.find(aName);
  if (field == aLine.end() || !field->is_number_unsigned()) {
    return false;
  }
  aOut = field->get<uint64_t>();
  return aOut <= aMost;
}

bool
ReadText(const Json& aLine, const char* aName, std::string& aOut)
{
  const auto field = aLine.find(aName);
  if (field == aLine.end() || !field->is_string()) {
    return false;
  }
  aOut = field->get<std::string>();
  return true;
}

// Reads one trace line into aArrival. Returns an empty string, or a description
// of the fault.
std::string
ReadArrival(const Json& aLine,
            const std::vector<std::string>& aWorkspaces,
            LoadArrival& aArrival)
{
  uint64_t at = 0;
  uint64_t prompt = 0;
  uint64_t tokens = 0;
  std::string text;
  if (!aLine.is_object()) {
    return "not a JSON object";
  }
  if (!ReadNumber(aLine, "at_ms", kMaxTraceMillis, at)) {
    return "at_ms must be a whole number up to 3600000";
  }
  if (!ReadNumber(aLine, "prompt_bytes", kMaxPromptBytes, prompt)) {
    return "prompt_bytes must be a whole number up to 1048576";
  }
  if (!ReadNumber(aLine, "max_tokens", kMaxTokens, tokens) || tokens == 0) {
    return "max_tokens must be a whole number from 1 to 100000";
  }
  if (!ReadText(aLine, "kind", text) || !ParseLoadKind(text, aArrival.mKind)) {
    return "kind must be online, stream, keyed or unkeyed";
  }
  if (!ReadText(aLine, "workspace", text)) {
    return "workspace must be a name";
  }
  const auto found = std::find(aWorkspaces.begin(), aWorkspaces.end(), text);
  if (found == aWorkspaces.end()) {
    return absl::StrCat("workspace '", text, "' has no key in --workspaces");
  }
  aArrival.mWorkspace = static_cast<uint32_t>(found - aWorkspaces.begin());
  aArrival.mAt = Millis(static_cast<int64_t>(at));
  aArrival.mPromptBytes = static_cast<uint32_t>(prompt);
  aArrival.mMaxTokens = static_cast<uint32_t>(tokens);
  return "";
}

} // namespace

std::string
LoadKindName(LoadKind aKind)
{
  return kKindNames[static_cast<size_t>(aKind)];
}

std::vector<LoadArrival>
MakeLoadPlan(const LoadPlanSettings& aSettings)
{
  std::vector<LoadArrival> plan;
  Random random(aSettings.mSeed);
  double seconds = 0;
  while (plan.size() < aSettings.mMaxCount) {
    LoadArrival arrival;
    arrival.mAt = Micros(static_cast<int64_t>(seconds * 1e6));
    seconds += GapSeconds(aSettings, random, arrival.mAt);
    if (arrival.mAt >= aSettings.mLength) {
      break;
    }
    arrival.mKind = static_cast<LoadKind>(DrawWeighted(random, aSettings.mMix));
    arrival.mWorkspace =
      static_cast<uint32_t>(DrawWeighted(random, aSettings.mShares));
    arrival.mPromptBytes = aSettings.mPromptBytes;
    arrival.mMaxTokens = aSettings.mMaxTokens;
    plan.push_back(arrival);
  }
  return plan;
}

absl::StatusOr<std::vector<LoadArrival>>
ParseLoadTrace(const std::string& aText,
               const std::vector<std::string>& aWorkspaces,
               uint64_t aMaxCount)
{
  std::vector<LoadArrival> plan;
  size_t number = 0;
  for (const absl::string_view line : absl::StrSplit(aText, '\n')) {
    ++number;
    if (line.empty()) {
      continue;
    }
    if (plan.size() == aMaxCount) {
      return LineError(number, "more lines than --count allows");
    }
    LoadArrival arrival;
    const Json json = Json::parse(line.begin(), line.end(), nullptr, false);
    const std::string wrong = ReadArrival(json, aWorkspaces, arrival);
    if (!wrong.empty()) {
      return LineError(number, wrong);
    }
    if (!plan.empty() && arrival.mAt < plan.back().mAt) {
      return LineError(number,
                       "at_ms is less than that of the preceding arrival");
    }
    plan.push_back(arrival);
  }
  return plan;
}

absl::StatusOr<std::array<double, kLoadKinds>>
ParseLoadMix(const std::string& aText)
{
  std::array<double, kLoadKinds> mix{};
  double sum = 0;
  const std::vector<std::string> parts = absl::StrSplit(aText, ',');
  for (const std::string& part : parts) {
    const std::vector<std::string> fields = absl::StrSplit(part, ':');
    LoadKind kind{};
    double weight = 0;
    if (fields.size() != 2 || !ParseLoadKind(fields[0], kind) ||
        !absl::SimpleAtod(fields[1], &weight) || !(weight >= 0) ||
        weight > 1e6) {
      return MakeError(ErrorKind::eInvalidArgument,
                       absl::StrCat("'", part, "' is not KIND:WEIGHT"),
                       "write it as online:6,stream:3,keyed:1,unkeyed:1");
    }
    mix[static_cast<size_t>(kind)] = weight;
    sum += weight;
  }
  if (sum <= 0) {
    return MakeError(ErrorKind::eInvalidArgument,
                     "all weights are 0",
                     "give at least one kind a weight");
  }
  return mix;
}

} // namespace caraway
