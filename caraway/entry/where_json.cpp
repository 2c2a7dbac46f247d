// JSON of the answer where a request would go.

#include <nlohmann/json.hpp>

#include "caraway/entry/where.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

Json
CandidateJson(const WhereCandidate& aCandidate)
{
  Json figures = Json::object();
  for (const LogField& field : aCandidate.mExtra) {
    figures[field.mName] = field.mValue;
  }
  return { { "target", aCandidate.mName },
           { "zone", aCandidate.mZone },
           { "reason", aCandidate.mReason },
           { "figures", std::move(figures) } };
}

Json
ServiceJson(const WhereService& aService)
{
  Json candidates = Json::array();
  for (const WhereCandidate& candidate : aService.mCandidates) {
    candidates.push_back(CandidateJson(candidate));
  }
  Json excluded = Json::array();
  for (const auto& [target, reason] : aService.mExcluded) {
    excluded.push_back({ { "target", target.mValue }, { "reason", reason } });
  }
  return { { "service", aService.mService.mValue },
           { "weight", aService.mWeight },
           { "candidates", std::move(candidates) },
           { "excluded", std::move(excluded) } };
}

} // namespace

std::string
WhereJson(const WhereReport& aReport)
{
  Json services = Json::array();
  for (const WhereService& service : aReport.mServices) {
    services.push_back(ServiceJson(service));
  }
  const Json report{
    { "kind", aReport.mKind },
    { "admission",
      { { "verdict", aReport.mAdmission },
        { "reason", aReport.mAdmissionReason } } },
    { "waiting",
      { { "for_tokens", aReport.mWaitingForTokens },
        { "for_targets", aReport.mWaitingForTargets } } },
    { "lease", aReport.mHasLease },
    { "revision", aReport.mRevision.mValue },
    { "services", std::move(services) },
  };
  return report.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace caraway
