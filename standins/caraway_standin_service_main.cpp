// caraway-standin-service: stands in for a plain service whose calls must not
// be repeated. GET /executions returns how often each request ran.

#include <iostream>
#include <memory>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "standins/announcer.h"
#include "standins/service_model.h"
#include "standins/standin_settings.h"

using namespace caraway;

namespace {

const std::string kUsage =
  std::string(R"(caraway-standin-service: stands in for a plain service.

Usage:
  caraway-standin-service [options]
  caraway-standin-service (-h | --help)
  caraway-standin-service --version

Every option can also be set as CARAWAY_STANDIN_NAME in the environment.

Options:
  --service=NAME       The offered service.
  --time-us=N          Time of one execution [5000].
  --failure=X          Fraction of the calls that break after they ran [0].)") +
  kStandinUsage;

class ServiceServer
{
public:
  ServiceServer(Loop& aLoop,
                const HttpServerSettings& aHttp,
                const ServiceSettings& aService)
    : mLoop(aLoop)
    , mHttp(aLoop, aHttp)
    , mService(MakeService(aService))
  {
    mHttp.mOnRequest.connect(
      [this](const HttpRequest& aRequest) { OnRequest(aRequest); });
  }

  absl::Status Start() { return mHttp.Listen(); }
  const std::string& Address() const { return mHttp.Address(); }

private:
  void OnRequest(const HttpRequest& aRequest)
  {
    if (aRequest.mPath == "/executions") {
      const nlohmann::json body{ { "executions", mService.mExecutions },
                                 { "requests", mService.mRequests },
                                 { "repeated", RepeatedExecutions(mService) } };
      mHttp.Respond({ aRequest.mCall, 200, {}, body.dump() });
      return;
    }
    if (aRequest.mPath == "/load") {
      mHttp.Respond({ aRequest.mCall,
                      200,
                      {},
                      R"({"running":0,"waiting":0,"cold":false})" });
      return;
    }
    const ServiceModelAnswer answer =
      Execute(mService,
              HeaderValue(aRequest.mHeaders, "X-Request-Id"),
              aRequest.mMethod,
              aRequest.mPath,
              aRequest.mBody);
    const HttpCallId call = aRequest.mCall;
    auto timer = std::make_shared<std::unique_ptr<Timer>>();
    *timer = std::make_unique<Timer>(mLoop, [this, call, answer, timer] {
      if (answer.mBroken) {
        mHttp.Abort({ call });
      } else {
        mHttp.Respond({ call,
                        answer.mStatus,
                        { { "Content-Type", "application/json" } },
                        answer.mBody });
      }
      // Frees the timer once its callback has returned.
      mLoop.Defer([timer] { timer->reset(); });
    });
    (*timer)->ArmAt(mLoop.Now() + answer.mAfter);
  }

  Loop& mLoop;
  HttpServer mHttp;
  ServiceModel mService;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  SettingsReader reader(kUsage, "CARAWAY_STANDIN", aCount, aArguments);
  const StandinSettings common = ReadStandinSettings(reader);
  const std::string service = reader.Name("service");
  ServiceSettings settings;
  settings.mSeed = common.mSeed;
  settings.mTime =
    Micros(static_cast<int64_t>(reader.Number("time-us", 5000, 1, 60000000)));
  settings.mFailure = reader.Fraction("failure", 0);
  reader.Finish();

  Loop loop;
  ServiceServer server(loop, common.mHttp, settings);
  if (const absl::Status status = server.Start(); !status.ok()) {
    std::cerr << status.message() << '\n';
    return 1;
  }
  const nlohmann::json body{
    { "target", common.mTarget },
    { "kind", "service" },
    { "url", "http://" + server.Address() },
    { "models", nlohmann::json::array() },
    { "services", { service } },
    { "start_id", std::to_string(getpid()) },
    { "capabilities",
      { { "resume", false }, { "cancel", false }, { "fencing", false } } }
  };
  Announcer announcer(loop, common.mNode, body.dump());
  announcer.Start();
  loop.mOnStop.connect([&loop] { loop.Exit(); });
  loop.Run();
  return 0;
}
