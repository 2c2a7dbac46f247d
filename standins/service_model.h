#pragma once
// Simulates a plain service and counts the executions of each request id, so
// that a test can check that none ran twice.

#include <cstdint>
#include <map>
#include <string>

#include "caraway/base/random.h"
#include "caraway/base/time.h"

namespace caraway {

struct ServiceSettings
{
  uint64_t mSeed = 1;
  Duration mTime = Millis(5); // mean time of one execution
  double mJitter = 0.5;       // as a fraction of mTime, either way
  double mFailure = 0;        // fraction of calls that break after they ran
};

struct ServiceModel
{
  ServiceSettings mSettings;
  Random mRandom;
  std::map<std::string, uint32_t> mExecutions; // times that each request id ran
  uint64_t mRequests = 0;
};

struct ServiceModelAnswer
{
  Duration mAfter;
  bool mBroken = false; // ran, but the connection breaks unanswered
  int mStatus = 200;
  std::string mBody;
};

ServiceModel
MakeService(const ServiceSettings& aSettings);

// Runs a request once. Returns the answer and after how long to send it.
ServiceModelAnswer
Execute(ServiceModel& aService,
        const std::string& aRequestId,
        const std::string& aMethod,
        const std::string& aPath,
        const std::string& aBody);

// Number of requests that ran more than once.
uint64_t
RepeatedExecutions(const ServiceModel& aService);

} // namespace caraway
