#pragma once
// One request of a load run as HTTP, and the check of its answer.

#include <cstdint>
#include <optional>
#include <string>

#include "caraway/runtime/http_fetch.h"
#include "tools/load_plan.h"

namespace caraway {

enum class LoadOutcome : uint8_t
{
  eOk,         // whole, and belongs to the request
  eWrong,      // status 200, but another request's answer or not whole
  eRefused,    // the error says not_run
  eUnknown,    // the error says unknown
  eFailed,     // any other status, or no answer
  eUnfinished, // no answer when the run ended
};

constexpr size_t kLoadOutcomes = 6;

std::string
LoadOutcomeName(LoadOutcome aOutcome);

struct LoadCallSettings
{
  std::string mRun;                     // makes Idempotency-Keys unique
  std::string mModel = "tekst-model";   // of completions
  std::string mServicePath = "/stock/"; // prefix of service calls
  Duration mTimeout = Seconds(30);
  // Seed of the stand-in engines. With it, each text is compared with the one
  // text that its prompt gives; without it, only its length and end are
  // checked.
  std::optional<uint64_t> mCheckSeed;
};

// The prompt differs for each aIndex.
std::string
LoadPrompt(uint64_t aIndex, uint32_t aBytes);

FetchRequest
MakeLoadRequest(const LoadCallSettings& aSettings,
                const LoadArrival& aArrival,
                uint64_t aIndex);

// aBody is the whole body, also of a stream.
LoadOutcome
CheckLoadAnswer(const LoadCallSettings& aSettings,
                const LoadArrival& aArrival,
                uint64_t aIndex,
                int aStatus,
                const std::string& aBody);

} // namespace caraway
