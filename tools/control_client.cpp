// Finds the leader among the control replicas and retries operations.

#include "tools/control_client.h"

#include <openssl/rand.h>

#include "absl/strings/str_cat.h"

namespace caraway {

namespace {

constexpr int kMisdirected = 421;
constexpr int kServiceUnavailable = 503;

// A replica answers 421 if it isn't the leader and 503 if it is unavailable.
bool
ShouldTryNextReplica(const absl::StatusOr<FetchAnswer>& aAnswer)
{
  return !aAnswer.ok() || aAnswer->mStatus == kMisdirected ||
         aAnswer->mStatus == kServiceUnavailable;
}

} // namespace

ControlCallResult
CallControl(Loop& aLoop,
            const ControlClient& aClient,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            const std::string& aOperation,
            const std::string& aExpected)
{
  constexpr Duration kPause = Millis(100);
  FetchRequest request;
  request.mMethod = aMethod;
  request.mBody = aBody;
  request.mAuthority = aClient.mAuthority;
  request.mTimeout = Seconds(3);
  request.mHeaders = { { "Authorization",
                         absl::StrCat("Bearer ", aClient.mToken) },
                       { "Content-Type", "application/json" } };
  if (!aOperation.empty()) {
    request.mHeaders.emplace_back("X-Operation-Id", aOperation);
  }
  if (!aExpected.empty()) {
    request.mHeaders.emplace_back("X-Expected-Revision", aExpected);
  }
  const MonoTime giveUp = aLoop.Now() + aClient.mLeaderTimeout;
  ControlCallResult last;
  while (true) {
    for (const std::string& url : aClient.mUrls) {
      request.mUrl = url + aPath;
      const auto answer = FetchAndWait(aLoop, request);
      if (!ShouldTryNextReplica(answer)) {
        return { answer->mStatus, answer->mBody };
      }
      if (answer.ok()) {
        last.mBody = answer->mBody;
      }
    }
    if (aLoop.Now() >= giveUp) {
      return last;
    }
    WaitOnLoop(aLoop, kPause);
  }
}

void
WaitOnLoop(Loop& aLoop, Duration aDuration)
{
  Timer timer(aLoop, [&aLoop] { aLoop.Exit(); });
  timer.ArmAt(aLoop.Now() + aDuration);
  aLoop.Run();
}

std::string
NewOperationId()
{
  uint64_t random = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&random), sizeof(random));
  return absl::StrCat("op-", absl::Hex(random, absl::kZeroPad16));
}

} // namespace caraway
