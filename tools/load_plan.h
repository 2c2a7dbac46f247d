#pragma once
// The plan of a load run: send time, kind and workspace of each request,
// generated from a seed or parsed from a recorded trace. Does no I/O.

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "caraway/base/time.h"

namespace caraway {

enum class LoadKind : uint8_t
{
  eOnline,  // a completion, answered in one piece
  eStream,  // a completion as server-sent events
  eKeyed,   // a service call with Idempotency-Key
  eUnkeyed, // a service call without Idempotency-Key
};

constexpr size_t kLoadKinds = 4;

std::string
LoadKindName(LoadKind aKind);

struct LoadArrival
{
  Duration mAt; // intended send time, from the start of the run
  LoadKind mKind = LoadKind::eOnline;
  uint32_t mWorkspace = 0; // index into the workspaces of the run
  uint32_t mPromptBytes = 200;
  uint32_t mMaxTokens = 16;
};

enum class ArrivalShape : uint8_t
{
  eConstant,
  ePoisson,
  eBursts, // Poisson, with a higher rate during part of each period
};

struct LoadPlanSettings
{
  uint64_t mSeed = 1;
  ArrivalShape mShape = ArrivalShape::ePoisson;
  double mRate = 20;              // requests/s
  Duration mLength = Seconds(10); // every arrival is before this time
  uint64_t mMaxCount = 1000;      // maximum number of arrivals
  Duration mBurstPeriod = Seconds(5);
  Duration mBurstLength = Seconds(1);
  double mBurstFactor = 8; // multiplies mRate during a burst
  std::array<double, kLoadKinds> mMix{ 6, 3, 1, 1 }; // weights by kind
  std::vector<double> mShares{ 1 };                  // weights by workspace
  uint32_t mPromptBytes = 200;
  uint32_t mMaxTokens = 16;
};

// Arrivals are in time order. The same settings give the same plan.
std::vector<LoadArrival>
MakeLoadPlan(const LoadPlanSettings& aSettings);

// Parses a trace: one JSON object per line with at_ms, kind, workspace,
// prompt_bytes and max_tokens. A workspace that is not in aWorkspaces, a
// decreasing time and more than aMaxCount arrivals are errors; the message
// contains the line number.
absl::StatusOr<std::vector<LoadArrival>>
ParseLoadTrace(const std::string& aText,
               const std::vector<std::string>& aWorkspaces,
               uint64_t aMaxCount);

// Parses weights such as "online:6,stream:3,keyed:1,unkeyed:1". Kinds that are
// not listed get weight 0.
absl::StatusOr<std::array<double, kLoadKinds>>
ParseLoadMix(const std::string& aText);

} // namespace caraway
