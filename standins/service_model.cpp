// Simulates a plain service and counts its executions.

#include "standins/service_model.h"

#include <algorithm>

namespace caraway {

ServiceModel
MakeService(const ServiceSettings& aSettings)
{
  ServiceModel service;
  service.mSettings = aSettings;
  service.mRandom = Random(aSettings.mSeed);
  return service;
}

ServiceModelAnswer
Execute(ServiceModel& aService,
        const std::string& aRequestId,
        const std::string& aMethod,
        const std::string& aPath,
        const std::string& aBody)
{
  const ServiceSettings& settings = aService.mSettings;
  const uint32_t times = ++aService.mExecutions[aRequestId];
  ++aService.mRequests;
  ServiceModelAnswer answer;
  const double jitter =
    1.0 + settings.mJitter * (2 * DrawUnit(aService.mRandom) - 1);
  answer.mAfter = Micros(
    static_cast<int64_t>(static_cast<double>(settings.mTime.mMicros) * jitter));
  answer.mBroken = DrawUnit(aService.mRandom) < settings.mFailure;
  answer.mBody = "{\"method\":\"" + aMethod +
                 "\",\"executions\":" + std::to_string(times) +
                 ",\"path_bytes\":" + std::to_string(aPath.size()) +
                 ",\"body_bytes\":" + std::to_string(aBody.size()) + "}";
  return answer;
}

uint64_t
RepeatedExecutions(const ServiceModel& aService)
{
  return static_cast<uint64_t>(
    std::count_if(aService.mExecutions.begin(),
                  aService.mExecutions.end(),
                  [](const auto& aEntry) { return aEntry.second > 1; }));
}

} // namespace caraway
