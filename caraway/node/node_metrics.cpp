// Formats the node's metrics in the Prometheus text format.

#include "absl/strings/str_cat.h"
#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

void
Line(std::string& aText, const char* aName, const char* aType, double aValue)
{
  absl::StrAppend(
    &aText, "# TYPE ", aName, " ", aType, "\n", aName, " ", aValue, "\n");
}

void
Counter(std::string& aText, const char* aName, uint64_t aValue)
{
  Line(aText, aName, "counter", static_cast<double>(aValue));
}

void
Gauge(std::string& aText, const char* aName, double aValue)
{
  Line(aText, aName, "gauge", aValue);
}

} // namespace

std::string
MetricsText(const Node& aNode)
{
  const NodeCounters& counters = aNode.mCounters;
  const Scheduler& scheduler = aNode.mScheduler;
  std::string text;
  Counter(text, "caraway_node_dispatches_total", counters.mDispatches);
  Counter(text, "caraway_node_started_total", counters.mStarted);
  Counter(text, "caraway_node_answered_total", counters.mAnswered);
  Counter(text, "caraway_node_refused_total", counters.mRefused);
  Counter(text, "caraway_node_broken_total", counters.mFailed);
  Counter(text, "caraway_node_doubled_total", counters.mDuplicateDispatches);
  Counter(text, "caraway_node_preempted_total", counters.mPreempted);
  Counter(
    text, "caraway_node_slow_starts_total", aNode.mScheduler.mSlowStart.mBegun);
  Gauge(text, "caraway_node_target_pace", KnownPace(aNode));
  Counter(text, "caraway_node_items_done_total", counters.mItemsDone);
  Counter(text, "caraway_node_items_failed_total", counters.mItemsFailed);
  Counter(text, "caraway_node_items_returned_total", counters.mItemsReturned);
  Counter(text, "caraway_node_turned_cold_total", counters.mTurnedCold);
  Gauge(text, "caraway_node_limit", scheduler.mLimit.mValue);
  Gauge(text, "caraway_node_batch_cap", scheduler.mBatchCap.mValue);
  Gauge(text, "caraway_node_running_online", scheduler.mRunningOnline);
  Gauge(text,
        "caraway_node_running_batch",
        static_cast<double>(scheduler.mRunning.size()) -
          scheduler.mRunningOnline);
  Gauge(text, "caraway_node_queued", QueuedCalls(aNode));
  Gauge(text,
        "caraway_node_batch_waiting",
        static_cast<double>(scheduler.mBatch.size()));
  Gauge(text,
        "caraway_node_online_expected",
        ExpectedOnlineCalls(scheduler.mForecast, scheduler.mItemTime));
  Counter(text,
          "caraway_node_forecast_intervals_total",
          scheduler.mForecast.mChecked);
  Counter(text,
          "caraway_node_forecast_exceeded_total",
          scheduler.mForecast.mExceeded);
  Gauge(text, "caraway_node_cold", scheduler.mLimit.mRamping ? 1 : 0);
  Gauge(text, "caraway_node_stated_rate", aNode.mRate.mPerSecond);
  Gauge(text,
        "caraway_node_kept_answer_bytes",
        static_cast<double>(aNode.mKeptBytes));
  Gauge(text,
        "caraway_node_revision",
        static_cast<double>(aNode.mSession.mView.mRevision.mValue));
  return text;
}

} // namespace caraway
