#pragma once
// Answers where a request or job of a workspace would go now, and why, without
// sending it. Uses the decisions of real requests on the state as it is; spends
// no token and reserves no slot.

#include <string>
#include <vector>

#include "caraway/base/decision_log.h"
#include "caraway/entry/entry_step.h"

namespace caraway {

// A target, in the order in which the request would try them.
struct WhereCandidate
{
  std::string mName; // target, or node of the product's own routes
  std::string mZone;
  std::string mReason;          // of the placement decision
  std::vector<LogField> mExtra; // the figures that it was made by
};

struct WhereService
{
  ServiceId mService;
  uint32_t mWeight = 1; // among the services of the route
  std::vector<WhereCandidate> mCandidates;
  // Targets of the service that the request may not go to, and why.
  std::vector<std::pair<TargetId, std::string>> mExcluded;
};

struct WhereReport
{
  bool mFound = false;    // there is such a route
  std::string mKind;      // of the route: request, stream, batch
  std::string mAdmission; // admitted, waits, refused
  std::string mAdmissionReason;
  size_t mWaitingForTokens = 0;  // requests of all workspaces at this entry
  size_t mWaitingForTargets = 0; // of the route's services
  bool mHasLease = false;
  Revision mRevision; // of the configuration that the answer is by
  std::vector<WhereService> mServices;
};

// Limit of candidates for each service in a report.
constexpr size_t kMaxWhereCandidates = 8;

WhereReport
ExplainWhere(EntryStep& aStep, const WhereQuery& aQuery);

// As JSON, for operators and `caraway explain where`.
std::string
WhereJson(const WhereReport& aReport);

// Replies to the operator's query.
void
HandleWhereQuery(EntryStep& aStep, const WhereQuery& aQuery);

// Serves the query on a listener that callers use as well: operators prove
// themselves by their token. False if the request is for another path, or if
// this entry knows no token.
bool
ServeWhere(EntryStep& aStep, const HttpRequest& aHttp);

// The query of the request's path and query string; nothing if it is for
// another path.
std::optional<WhereQuery>
ReadWhereQuery(const HttpRequest& aHttp);

} // namespace caraway
