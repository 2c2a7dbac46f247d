#pragma once
// Builds the HTTP request for one arrival of a load run and checks its answer.

#include <cstdint>
#include <optional>
#include <string>

#include "caraway/runtime/http_fetch.h"
#include "tools/load_plan.h"

namespace caraway {

enum class LoadOutcome : uint8_t
{
  eOk,         // complete, and matches the request
  eWrong,      // status 200, but incomplete or of another request
  eRefused,    // error with outcome not_run
  eUnknown,    // error with outcome unknown
  eFailed,     // any other status, no answer, or not sent
  eUnfinished, // no answer when the run ended
};

constexpr size_t kLoadOutcomes = 6;

std::string
LoadOutcomeName(LoadOutcome aOutcome);

struct LoadCallSettings
{
  std::string mRun; // prefix that makes Idempotency-Keys unique
  std::string mModel = "tekst-model";   // model of completions
  std::string mServicePath = "/stock/"; // prefix of service calls
  Duration mTimeout = Seconds(30);
  // Seed of the stand-in engines. With it, each text is compared with the text
  // that the engine generates for the prompt. Without it, a text must only be
  // non-empty, and a stream must have its end marker.
  std::optional<uint64_t> mCheckSeed;
};

// Returns a prompt that is different for each aIndex, at least aBytes long.
std::string
LoadPrompt(uint64_t aIndex, uint32_t aBytes);

FetchRequest
MakeLoadRequest(const LoadCallSettings& aSettings,
                const LoadArrival& aArrival,
                uint64_t aIndex);

// aBody is the complete body; for a stream, all of its events.
LoadOutcome
CheckLoadAnswer(const LoadCallSettings& aSettings,
                const LoadArrival& aArrival,
                uint64_t aIndex,
                int aStatus,
                const std::string& aBody);

} // namespace caraway
