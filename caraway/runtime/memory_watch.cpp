// Says that a process is about to reach the memory at which it is ended.

#include "caraway/runtime/memory_watch.h"

#include "absl/strings/str_cat.h"
#include "caraway/runtime/logging.h"
#include "caraway/runtime/process_metrics.h"

namespace caraway {

namespace {

constexpr Duration kLookInterval = Millis(250);
// Of the limit, in tenths: at the first line, and between lines.
constexpr uint64_t kFirstTenths = 8;
constexpr uint64_t kTenths = 10;
constexpr uint64_t kStepsInTenth = 2;

} // namespace

MemoryWatch::MemoryWatch(Loop& aLoop, uint64_t aLimit)
  : mLoop(aLoop)
  , mLimit(aLimit)
  , mNextStep(aLimit / kTenths * kFirstTenths)
  , mTimer(aLoop, [this] { Look(); })
{
  if (mLimit > 0) {
    mTimer.ArmAt(aLoop.Now() + kLookInterval);
  }
}

void
MemoryWatch::Look()
{
  mTimer.ArmAt(mLoop.Now() + kLookInterval);
  const uint64_t peak = PeakMemory();
  if (peak < mNextStep) {
    return;
  }
  while (mNextStep <= peak) {
    mNextStep += mLimit / (kTenths * kStepsInTenth);
  }
  WriteLog(LogLevel::eWarning,
           "memory",
           { { "peak_bytes", absl::StrCat(peak) },
             { "limit_bytes", absl::StrCat(mLimit) } });
}

} // namespace caraway
