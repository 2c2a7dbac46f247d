// Formats the metrics of the entry in the Prometheus text format.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/entry/entry.h"
#include "caraway/entry/session.h"

namespace caraway {

namespace {

void
Counter(std::string& aOut, const char* aName, uint64_t aValue)
{
  absl::StrAppend(
    &aOut, "# TYPE ", aName, " counter\n", aName, " ", aValue, "\n");
}

void
Gauge(std::string& aOut, const char* aName, uint64_t aValue)
{
  absl::StrAppend(
    &aOut, "# TYPE ", aName, " gauge\n", aName, " ", aValue, "\n");
}

// A counter with one label; aValues maps label values to counts.
template<class Map>
void
Labelled(std::string& aOut,
         const char* aName,
         const char* aLabel,
         const Map& aValues)
{
  absl::StrAppend(&aOut, "# TYPE ", aName, " counter\n");
  for (const auto& [label, value] : aValues) {
    absl::StrAppend(
      &aOut, aName, "{", aLabel, "=\"", label, "\"} ", value, "\n");
  }
}

} // namespace

std::string
MetricsText(const Entry& aEntry, MonoTime aNow)
{
  const EntryMetrics& metrics = aEntry.mMetrics;
  std::string out;
  Counter(out, "caraway_entry_requests_total", metrics.mRequests);
  Counter(out, "caraway_entry_admitted_total", metrics.mAdmitted);
  Counter(out, "caraway_entry_loans_given_total", metrics.mLent);
  Counter(out, "caraway_entry_loans_taken_total", metrics.mBorrowed);
  Counter(
    out, "caraway_entry_unreadable_loads_total", metrics.mUnreadableLoads);
  Counter(
    out, "caraway_entry_answers_passed_on_total", metrics.mAnswersPassedOn);
  Counter(out, "caraway_entry_tokens_returned_total", metrics.mReturned);
  Counter(out, "caraway_entry_dispatches_total", metrics.mDispatches);
  Counter(
    out, "caraway_entry_reused_connections_total", metrics.mReusedConnections);
  Counter(out, "caraway_entry_home_placements_total", metrics.mHomePlacements);
  Counter(out, "caraway_entry_retries_total", metrics.mRetries);
  Counter(out, "caraway_entry_affinity_hits_total", metrics.mAffinityRouted);
  Counter(out, "caraway_entry_outcome_queries_total", metrics.mQueries);
  Labelled(out, "caraway_entry_answers_total", "status", metrics.mAnswers);
  Labelled(out, "caraway_entry_failures_total", "code", metrics.mFailures);
  Labelled(out, "caraway_entry_outcomes_total", "outcome", metrics.mOutcomes);
  Gauge(out, "caraway_entry_active_requests", aEntry.mRequests.size());
  Gauge(
    out,
    "caraway_entry_rated_targets",
    static_cast<uint64_t>(std::count_if(
      aEntry.mPlacement.begin(),
      aEntry.mPlacement.end(),
      [](const auto& aLoad) { return aLoad.second.mRate.mPerSecond > 0; })));
  uint64_t rolloutRequests = 0;
  uint64_t trialRequests = 0;
  for (const auto& [service, rollout] : aEntry.mRollouts.mServices) {
    rolloutRequests += rollout.mExposure.mRequests;
    trialRequests += rollout.mExposure.mTrial;
  }
  Gauge(out, "caraway_entry_rollout_requests", rolloutRequests);
  Gauge(out, "caraway_entry_rollout_trial_requests", trialRequests);
  Counter(out, "caraway_entry_orders_refused_total", metrics.mOrdersRefused);
  Gauge(out, "caraway_entry_control_calls", aEntry.mCalls.size());
  Gauge(
    out, "caraway_entry_control_replicas", aEntry.mSettings.mControl.size());
  Gauge(out,
        "caraway_entry_control_away_ms",
        static_cast<uint64_t>(ControlAway(aEntry, aNow).Millis()));
  Gauge(out, "caraway_entry_config_revision", aEntry.mConfig.mRevision.mValue);
  Gauge(out, "caraway_entry_epoch", aEntry.mSession.mEpoch.mValue);
  out +=
    metrics.mFirstByte.PrometheusText("caraway_entry_first_byte_seconds", "");
  out += metrics.mWhole.PrometheusText("caraway_entry_answer_seconds", "");
  return out;
}

} // namespace caraway
