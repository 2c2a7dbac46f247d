#pragma once
// The requests of a load run: when each one is due, of which kind and for whom.
// Made from a seed or read from a recorded trace; no I/O here.

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "caraway/base/time.h"

namespace caraway {

enum class LoadKind : uint8_t
{
  eOnline,  // a completion, answered whole
  eStream,  // a completion as server-sent events
  eKeyed,   // a service call with Idempotency-Key
  eUnkeyed, // a service call without one
};

constexpr size_t kLoadKinds = 4;

std::string
LoadKindName(LoadKind aKind);

struct LoadArrival
{
  Duration mAt; // intended send time since the start of the run
  LoadKind mKind = LoadKind::eOnline;
  uint32_t mWorkspace = 0; // index into the workspaces of the run
  uint32_t mPromptBytes = 200;
  uint32_t mMaxTokens = 16;
};

enum class ArrivalShape : uint8_t
{
  eConstant,
  ePoisson,
  eBursts, // Poisson, with a higher rate for part of each period
};

struct LoadPlanSettings
{
  uint64_t mSeed = 1;
  ArrivalShape mShape = ArrivalShape::ePoisson;
  double mRate = 20;              // requests a second
  Duration mLength = Seconds(10); // no arrival at or after it
  uint64_t mMaxCount = 1000;      // no more arrivals than this
  Duration mBurstPeriod = Seconds(5);
  Duration mBurstLength = Seconds(1);
  double mBurstFactor = 8;                           // of mRate, during a burst
  std::array<double, kLoadKinds> mMix{ 6, 3, 1, 1 }; // weights by kind
  std::vector<double> mShares{ 1 };                  // weights by workspace
  uint32_t mPromptBytes = 200;
  uint32_t mMaxTokens = 16;
};

// In the order of time; the same settings give the same plan.
std::vector<LoadArrival>
MakeLoadPlan(const LoadPlanSettings& aSettings);

// A trace has one JSON object a line with at_ms, kind, workspace, prompt_bytes
// and max_tokens. Workspaces that aWorkspaces does not name are errors, as are
// times that go back and more than aMaxCount lines; the message names the line.
absl::StatusOr<std::vector<LoadArrival>>
ParseLoadTrace(const std::string& aText,
               const std::vector<std::string>& aWorkspaces,
               uint64_t aMaxCount);

// "online:6,stream:3,keyed:1,unkeyed:1"; kinds left out get weight 0.
absl::StatusOr<std::array<double, kLoadKinds>>
ParseLoadMix(const std::string& aText);

} // namespace caraway
