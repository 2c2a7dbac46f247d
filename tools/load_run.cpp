// Sends the requests of a load run, open-loop.

#include "tools/load_run.h"

#include <algorithm>
#include <iostream>

#include "absl/strings/str_format.h"
#include "tools/load_batch.h"

namespace caraway {

namespace {

constexpr Duration kProgressEvery = Seconds(2);

// State of a run, shared by the request callbacks.
struct Run
{
  Run(Loop& aLoop,
      const LoadRunSettings& aSettings,
      const std::vector<LoadArrival>& aPlan,
      LoadResult& aResult)
    : mLoop(aLoop)
    , mSettings(aSettings)
    , mPlan(aPlan)
    , mResult(aResult)
    , mStart(aLoop.Now())
    , mSend(aLoop, [this] { SendDue(); })
    , mProgress(aLoop, [this] { ReportProgress(); })
  {
  }

  void SendDue();
  void Send(uint64_t aIndex);
  void OnAnswer(uint64_t aIndex,
                const absl::StatusOr<FetchAnswer>& aAnswer,
                const std::string& aStreamed);
  void ReportProgress();

  Loop& mLoop;
  const LoadRunSettings& mSettings;
  const std::vector<LoadArrival>& mPlan;
  LoadResult& mResult;
  MonoTime mStart;
  Timer mSend;
  Timer mProgress;
  std::unique_ptr<LoadBatch> mBatch;
  uint64_t mNext = 0; // index of the first arrival that isn't sent yet
  uint64_t mInFlight = 0;
  uint64_t mOk = 0;
  uint64_t mAnswered = 0;
};

void
Run::SendDue()
{
  while (mNext < mPlan.size() && mStart + mPlan[mNext].mAt <= mLoop.Now()) {
    Send(mNext++);
  }
  if (mNext < mPlan.size()) {
    mSend.ArmAt(mStart + mPlan[mNext].mAt);
  }
}

void
Run::Send(uint64_t aIndex)
{
  LoadRecord& record = mResult.mRecords[aIndex];
  const LoadArrival& arrival = mPlan[aIndex];
  const MonoTime due = mStart + arrival.mAt;
  record.mSendLag = mLoop.Now() - due;
  if (mInFlight >= mSettings.mMaxInFlight) {
    record.mOutcome = LoadOutcome::eFailed;
    ++mAnswered;
    return;
  }
  ++mInFlight;
  FetchRequest request = MakeLoadRequest(mSettings.mCall, arrival, aIndex);
  request.mUrl =
    mSettings.mEntries[aIndex % mSettings.mEntries.size()] + request.mUrl;
  request.mAuthority = mSettings.mAuthority;
  request.mHeaders.emplace_back(
    "Authorization", "Bearer " + mSettings.mKeys[arrival.mWorkspace]);
  auto streamed = std::make_shared<std::string>();
  if (arrival.mKind == LoadKind::eStream) {
    request.mOnBytes =
      [this, aIndex, due, streamed](const std::string& aBytes) {
        LoadRecord& mine = mResult.mRecords[aIndex];
        if (streamed->empty() && !aBytes.empty()) {
          mine.mFirst = mLoop.Now() - due;
        }
        *streamed += aBytes;
      };
  }
  Fetch(mLoop,
        request,
        [this, aIndex, streamed](const absl::StatusOr<FetchAnswer>& aAnswer) {
          OnAnswer(aIndex, aAnswer, *streamed);
        });
}

void
Run::OnAnswer(uint64_t aIndex,
              const absl::StatusOr<FetchAnswer>& aAnswer,
              const std::string& aStreamed)
{
  LoadRecord& record = mResult.mRecords[aIndex];
  const LoadArrival& arrival = mPlan[aIndex];
  --mInFlight;
  ++mAnswered;
  record.mTotal = mLoop.Now() - (mStart + arrival.mAt);
  if (!aAnswer.ok()) {
    record.mOutcome = LoadOutcome::eFailed;
    return;
  }
  record.mStatus = aAnswer->mStatus;
  record.mOutcome = CheckLoadAnswer(
    mSettings.mCall,
    arrival,
    aIndex,
    aAnswer->mStatus,
    arrival.mKind == LoadKind::eStream ? aStreamed : aAnswer->mBody);
  if (record.mOutcome == LoadOutcome::eOk) {
    ++mOk;
  }
}

void
Run::ReportProgress()
{
  std::string batch;
  if (mBatch) {
    batch =
      absl::StrFormat(", batch %s %d of %d",
                      mResult.mBatchState,
                      mResult.mBatch.empty() ? 0 : mResult.mBatch.back().mDone,
                      mSettings.mBatchItems);
  }
  std::cerr << absl::StrFormat("%.0f s: sent %d of %d, ok %d, open %d%s\n",
                               (mLoop.Now() - mStart).Seconds(),
                               mNext,
                               mPlan.size(),
                               mOk,
                               mInFlight,
                               batch);
  mProgress.ArmAt(mLoop.Now() + kProgressEvery);
}

} // namespace

void
RunLoad(Loop& aLoop,
        const LoadRunSettings& aSettings,
        const std::vector<LoadArrival>& aPlan,
        LoadResult& aResult)
{
  aResult.mRecords.clear();
  for (const LoadArrival& arrival : aPlan) {
    aResult.mRecords.emplace_back().mArrival = arrival;
  }
  Run run(aLoop, aSettings, aPlan, aResult);
  bool stopped = false;
  const sigc::connection onStop = aLoop.mOnStop.connect([&] {
    stopped = true;
    aLoop.Exit();
  });
  if (aSettings.mBatchItems > 0) {
    run.mBatch = std::make_unique<LoadBatch>(
      aLoop,
      LoadBatchSettings{ aSettings.mEntries.front(),
                         aSettings.mKeys[aSettings.mBatchWorkspace],
                         aSettings.mAuthority,
                         aSettings.mCall.mModel,
                         aSettings.mBatchItems },
      aResult);
    run.mBatch->Start();
  }
  run.SendDue();
  run.mProgress.ArmAt(aLoop.Now() + kProgressEvery);
  const MonoTime last =
    run.mStart + (aPlan.empty() ? Duration{} : aPlan.back().mAt);
  // Checks every 100 ms whether the run is complete or has timed out.
  Timer* watch = nullptr;
  Timer watchTimer(aLoop, [&] {
    const bool answered =
      run.mNext == aPlan.size() &&
      (run.mInFlight == 0 || aLoop.Now() >= last + aSettings.mAnswerTimeout);
    const bool batchDone = !run.mBatch || run.mBatch->Finished() ||
                           aLoop.Now() >= last + aSettings.mBatchTimeout;
    if (answered && batchDone) {
      aLoop.Exit();
    } else {
      watch->ArmAt(aLoop.Now() + Millis(100));
    }
  });
  watch = &watchTimer;
  watchTimer.ArmAt(aLoop.Now() + Millis(100));
  aLoop.Run();
  aResult.mLength = aLoop.Now() - run.mStart;
  if (stopped) {
    // Arrivals that were not due yet were not sent, so they are not counted.
    aResult.mRecords.resize(run.mNext);
  }
}

} // namespace caraway
