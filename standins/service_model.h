#pragma once
// A model of a plain service that records every execution by request id, so
// that a check can prove that none ran twice.

#include <cstdint>
#include <map>
#include <string>

#include "caraway/base/random.h"
#include "caraway/base/time.h"

namespace caraway {

struct ServiceSettings
{
  uint64_t mSeed = 1;
  Duration mTime = Millis(5); // of one execution
  double mJitter = 0.5;       // either way
  double mFailure = 0;        // part that breaks after it has run
};

struct ServiceModel
{
  ServiceSettings mSettings;
  Random mRandom;
  std::map<std::string, uint32_t> mExecutions; // by request id
  uint64_t mRequests = 0;
};

struct ServiceAnswer
{
  Duration mAfter;
  bool mBroken = false; // it ran, and the connection breaks without an answer
  int mStatus = 200;
  std::string mBody;
};

ServiceModel
MakeService(const ServiceSettings& aSettings);

// Runs a request once and says when and what to answer.
ServiceAnswer
Execute(ServiceModel& aService,
        const std::string& aRequestId,
        const std::string& aMethod,
        const std::string& aPath,
        const std::string& aBody);

// Requests that ran more than once.
uint64_t
RepeatedExecutions(const ServiceModel& aService);

} // namespace caraway
