// Builds load requests and checks their answers.

#include "tools/load_call.h"

#include <array>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "caraway/base/absl_view.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, kLoadOutcomes> kOutcomeNames{
  "ok", "wrong", "refused", "unknown", "failed", "unfinished"
};

bool
IsService(LoadKind aKind)
{
  return aKind == LoadKind::eKeyed || aKind == LoadKind::eUnkeyed;
}

// Requests close to each other have bodies of different lengths. The stand-in
// service reports the length that it received, which reveals an answer that
// belongs to another request. The period, the prime 997, is well above the
// number of calls in flight.
std::string
ServiceBody(uint64_t aIndex)
{
  return Json{ { "pallet", std::string(8 + aIndex % 997, 'p') } }.dump();
}

// Returns the text that the stand-in engine generates for a prompt.
std::string
ExpectedText(uint64_t aSeed, const std::string& aPrompt, uint32_t aTokens)
{
  std::string text;
  for (uint32_t token = 0; token < aTokens; ++token) {
    const uint64_t hash = XXH64(aPrompt.data(), aPrompt.size(), aSeed + token);
    absl::StrAppend(&text, "w", hash % 1000, " ");
  }
  return text;
}

std::string
ChoiceText(const Json& aBody)
{
  const auto text = "/choices/0/text"_json_pointer;
  return aBody.is_object() && aBody.contains(text) && aBody[text].is_string()
           ? aBody[text].get<std::string>()
           : "";
}

// Concatenates the text of a stream. Returns false if the stream contains an
// error or has no end marker.
bool
JoinStream(const std::string& aBody, std::string& aText)
{
  for (const absl::string_view line : absl::StrSplit(aBody, '\n')) {
    if (line == "data: [DONE]") {
      return true;
    }
    if (!absl::StartsWith(line, "data: ")) {
      continue;
    }
    const absl::string_view data = line.substr(6);
    const Json event = Json::parse(data.begin(), data.end(), nullptr, false);
    if (!event.is_object() || event.contains("error")) {
      return false;
    }
    aText += ChoiceText(event);
  }
  return false;
}

bool
IsExpectedText(const LoadCallSettings& aSettings,
               const LoadArrival& aArrival,
               uint64_t aIndex,
               const std::string& aText)
{
  if (aSettings.mCheckSeed) {
    return aText == ExpectedText(*aSettings.mCheckSeed,
                                 LoadPrompt(aIndex, aArrival.mPromptBytes),
                                 aArrival.mMaxTokens);
  }
  return !aText.empty();
}

bool
IsExpectedServiceReply(uint64_t aIndex, const Json& aBody)
{
  return aBody.is_object() && aBody.value("executions", 0) == 1 &&
         aBody.value("body_bytes", 0ULL) == ServiceBody(aIndex).size();
}

LoadOutcome
OutcomeFromError(const std::string& aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  const auto field = "/error/outcome"_json_pointer;
  if (!body.is_object() || !body.contains(field)) {
    return LoadOutcome::eFailed;
  }
  if (body[field] == "not_run") {
    return LoadOutcome::eRefused;
  }
  return body[field] == "unknown" ? LoadOutcome::eUnknown
                                  : LoadOutcome::eFailed;
}

} // namespace

std::string
LoadOutcomeName(LoadOutcome aOutcome)
{
  return kOutcomeNames[static_cast<size_t>(aOutcome)];
}

std::string
LoadPrompt(uint64_t aIndex, uint32_t aBytes)
{
  std::string prompt = absl::StrCat("request ", aIndex, " ");
  if (prompt.size() < aBytes) {
    prompt.resize(aBytes, 'x');
  }
  return prompt;
}

FetchRequest
MakeLoadRequest(const LoadCallSettings& aSettings,
                const LoadArrival& aArrival,
                uint64_t aIndex)
{
  FetchRequest request;
  request.mMethod = "POST";
  request.mTimeout = aSettings.mTimeout;
  request.mHeaders = { { "Content-Type", "application/json" } };
  if (IsService(aArrival.mKind)) {
    request.mUrl = aSettings.mServicePath + "book";
    request.mBody = ServiceBody(aIndex);
    if (aArrival.mKind == LoadKind::eKeyed) {
      request.mHeaders.emplace_back("Idempotency-Key",
                                    absl::StrCat(aSettings.mRun, "-", aIndex));
    }
    return request;
  }
  request.mUrl = "/v1/completions";
  request.mBody = Json{
    { "model", aSettings.mModel },
    { "prompt", LoadPrompt(aIndex, aArrival.mPromptBytes) },
    { "max_tokens", aArrival.mMaxTokens },
    { "stream", aArrival.mKind == LoadKind::eStream }
  }.dump();
  return request;
}

LoadOutcome
CheckLoadAnswer(const LoadCallSettings& aSettings,
                const LoadArrival& aArrival,
                uint64_t aIndex,
                int aStatus,
                const std::string& aBody)
{
  if (aStatus != 200) {
    return OutcomeFromError(aBody);
  }
  bool right = false;
  if (aArrival.mKind == LoadKind::eStream) {
    std::string text;
    right = JoinStream(aBody, text) &&
            IsExpectedText(aSettings, aArrival, aIndex, text);
  } else {
    const Json body = Json::parse(aBody, nullptr, false);
    right = IsService(aArrival.mKind)
              ? IsExpectedServiceReply(aIndex, body)
              : IsExpectedText(aSettings, aArrival, aIndex, ChoiceText(body));
  }
  return right ? LoadOutcome::eOk : LoadOutcome::eWrong;
}

} // namespace caraway
