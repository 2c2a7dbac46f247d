// A model worker's handler for streams and batch items, and clients that ask
// for streams.
#pragma once

#include "fleet.hpp"

namespace standin {

// An item or stream that a worker has begun to work on.
struct Begun
{
  double mAt = 0;
  std::string mId, mPath, mWorker, mService;
  uint64_t mAfter = 0;
};

class Engine
{
public:
  int mItemEvents = 400; // of a batch item
  double mItemPause = 0.025;
  int mStreamEvents = 12; // of a client's stream
  double mStreamPause = 0.04;

  Worker::Handler Handler(const std::string& aService)
  {
    return [this, aService](Worker& aWorker, WorkerCall& aCall) {
      Run(aWorker, aCall, aService);
    };
  }
  std::vector<Begun> Runs()
  {
    const std::lock_guard lock(mMutex);
    return mBegun;
  }
  static std::string Data(const std::string& aId, int aAt)
  {
    return aId + " piece " + std::to_string(aAt);
  }

private:
  void Run(Worker& aWorker, WorkerCall& aCall, const std::string& aService)
  {
    const bool item = aCall.mRequest.mPath.rfind("/pule252/", 0) == 0;
    const int events = item ? mItemEvents : mStreamEvents;
    const double pause = item ? mItemPause : mStreamPause;
    const std::string worker = aWorker.Id();
    {
      const std::lock_guard lock(mMutex);
      mBegun.push_back({ Now(), aCall.mId, aCall.mRequest.mPath, worker,
                         aService, aCall.mAfter });
    }
    Record& record = aWorker.InFleet().Log();
    if (item) {
      record.Line("worker ", worker, " of ", aService, " runs item ", aCall.mId,
                  " after event ", aCall.mAfter);
    }
    const uint64_t incarnation = aWorker.Incarnation();
    bool open = SendAll(aCall.mSocket,
                        Head(aCall.mId,
                             "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n"));
    int at = static_cast<int>(aCall.mAfter) + 1;
    for (; at <= events && open; ++at) {
      Sleep(pause);
      open = aWorker.Runs(incarnation) &&
             SendAll(aCall.mSocket,
                     Chunk("id: " + std::to_string(at) +
                           "\ndata: " + Data(aCall.mId, at) + "\n\n"));
      pollfd gone{ aCall.mSocket, POLLIN | POLLRDHUP, 0 };
      open = open && poll(&gone, 1, 0) == 0; // a closed call is dropped
    }
    if (open) {
      open = SendAll(aCall.mSocket, "0\r\n\r\n");
    }
    if (item) {
      record.Line("worker ", worker, open ? " finished item " : " dropped item ",
                  aCall.mId, " at event ", at - 1);
    }
  }
  std::mutex mMutex;
  std::vector<Begun> mBegun;
};

// Clients that ask for aPerSecond streams, at all front machines in turn.
class Callers
{
public:
  Callers(Fleet& aFleet, double aPerSecond)
    : mFleet(aFleet)
    , mThread([this, aPerSecond] { Run(aPerSecond); })
  {
  }
  ~Callers()
  {
    mEnding = true;
    mThread.join();
    while (mOpen > 0) {
      Sleep(0.01);
    }
    mFleet.Log().Line("clients sent ", mSent, " streams, ", mServed, " served");
  }

private:
  void Run(double aPerSecond)
  {
    const auto entries = mFleet.Of("entry");
    double next = Now();
    while (!mEnding) {
      Node* entry = entries[static_cast<size_t>(mSent++) % entries.size()];
      ++mOpen;
      std::thread([this, entry] {
        const std::string id = NewId();
        const Answer answer =
          Call(entry->mIp, kFrontPort, "POST", "/pufi791/2f",
               ClientHeaders(id, 5000), "prompt of " + id, 5.0);
        mServed += answer.mStatus == 200 && answer.mEnd == End::eWhole ? 1 : 0;
        --mOpen;
      }).detach();
      next += 1 / aPerSecond;
      Sleep(next - Now());
    }
  }
  Fleet& mFleet;
  std::atomic<bool> mEnding{ false };
  std::atomic<int> mOpen{ 0 };
  std::atomic<int> mSent{ 0 };
  std::atomic<int> mServed{ 0 };
  std::thread mThread;
};

inline Json
JobBody(const std::vector<std::string>& aItems)
{
  Json body;
  body["requests"] = Json::array();
  for (const std::string& item : aItems) {
    body["requests"].push_back(
      { { "id", item },
        { "path", "/pule252/3/" + item },
        { "headers",
          { { "Model", "m" },
            { "Token-Usage", "350,2400" },
            { "Prefix-Hash", "9c2e41:100,5d07b8:250" } } },
        { "body", Base64("prompt of " + item) },
        { "tokenCount", 2750 } });
  }
  return body;
}

inline std::vector<std::pair<std::string, std::string>>
JobHeaders(const std::string& aJob = {})
{
  std::vector<std::pair<std::string, std::string>> headers{
    { "Host", kHost }, { "Authorization", std::string("Bearer ") + kKey }
  };
  if (!aJob.empty()) {
    headers.emplace_back("Attempt-Id", aJob);
    headers.emplace_back("Content-Type", "application/json");
  }
  return headers;
}

// Sends a batch job until it is accepted, at other front machines in turn.
inline bool
Submit(Fleet& aFleet,
       const std::string& aJob,
       const std::vector<std::string>& aItems,
       size_t aFirst = 0)
{
  const auto entries = aFleet.Of("entry");
  for (size_t tries = 0; tries < 4; ++tries) {
    Node* entry = entries[(aFirst + tries) % entries.size()];
    const int status =
      Call(entry->mIp, kFrontPort, "POST", "/pule252/" + aJob,
           JobHeaders(aJob), JobBody(aItems).dump(), 2.5)
        .mStatus;
    aFleet.Log().Line("client sends batch job ", aJob, " to ", entry->mName,
                      ": status ", status);
    if (status == 202) {
      return true;
    }
  }
  return false;
}

} // namespace standin
