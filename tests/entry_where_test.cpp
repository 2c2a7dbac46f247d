// Guards against an answer where a request would go that differs from where it
// then goes, that changes what later requests get, or that is given to callers.
#define BOOST_TEST_MODULE entry_where
#include <boost/test/unit_test.hpp>

#include "caraway/entry/where.h"
#include "direct_fixture.h"

using namespace caraway;

namespace {

struct Where : Direct
{
  Where()
  {
    mEntry.mSettings.mOperatorTokenDigest =
      // SHA-256 of "token-of-the-test"
      "d0283ed870053d62b0ca8389c79b3771437e2d6d24e15033c671d69ecffff441";
  }

  nlohmann::json Ask(WhereQuery aQuery)
  {
    aQuery.mCall = HttpCallId(mNextCall++);
    Step(aQuery);
    return nlohmann::json::parse(mResponses[aQuery.mCall.mValue].mBody);
  }

  static WhereQuery Query(const char* aRoute)
  {
    WhereQuery query;
    query.mWorkspace = WorkspaceId("p");
    query.mRoute = RouteId(aRoute);
    return query;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(where, Where)

BOOST_AUTO_TEST_CASE(first_candidate_is_where_the_request_then_goes)
{
  mEntry.mPlacement[TargetId("t-a1")].mOwn = 6;
  const auto report = Ask(Query("look"));
  BOOST_TEST(report["kind"] == "request");
  const auto& service = report["services"][0];
  BOOST_REQUIRE_EQUAL(service["candidates"].size(), 2u);
  BOOST_TEST(service["candidates"][0]["target"] == "t-a2");
  BOOST_TEST(service["candidates"][1]["figures"]["online"] == "6");
  SendForward("look");
  BOOST_TEST(RequestedNode().mValue == "a2");
}

BOOST_AUTO_TEST_CASE(a_query_changes_nothing)
{
  const size_t sent = mSent.size();
  Random before = mEntry.mRandom;
  Ask(Query("chat"));
  BOOST_TEST(mSent.size() == sent);
  BOOST_TEST(mTargetCalls.empty());
  BOOST_TEST(mEntry.mRequests.empty());
  BOOST_TEST(DrawBelow(mEntry.mRandom, 1U << 30) ==
             DrawBelow(before, 1U << 30));
  BOOST_TEST(mEntry.mMetrics.mAdmitted == 0u);
}

BOOST_AUTO_TEST_CASE(targets_that_get_nothing_are_named_with_the_reason)
{
  Change(SetTargetService{ TargetId("t-a1"), false });
  const auto report = Ask(Query("chat"));
  const auto& service = report["services"][0];
  BOOST_TEST(service["candidates"].size() == 1u);
  BOOST_REQUIRE_EQUAL(service["excluded"].size(), 1u);
  BOOST_TEST(service["excluded"][0]["target"] == "t-a1");
  BOOST_TEST(service["excluded"][0]["reason"] == "taken out of service");
}

BOOST_AUTO_TEST_CASE(admission_is_told_without_spending)
{
  auto report = Ask(Query("chat"));
  BOOST_TEST(report["admission"]["verdict"] == "waits");
  SendForward("chat"); // brings tokens
  const double held = mEntry.mTokens.mTokens[WorkspaceId("p")].mHeld;
  BOOST_REQUIRE(held >= 1);
  report = Ask(Query("chat"));
  BOOST_TEST(report["admission"]["verdict"] == "admitted");
  BOOST_TEST(mEntry.mTokens.mTokens[WorkspaceId("p")].mHeld == held);
  WhereQuery unknown = Query("chat");
  unknown.mWorkspace = WorkspaceId("nobody");
  BOOST_TEST(Ask(unknown)["admission"]["verdict"] == "refused");
}

BOOST_AUTO_TEST_CASE(unknown_route_is_not_found)
{
  WhereQuery query = Query("nowhere");
  query.mCall = HttpCallId(mNextCall++);
  Step(query);
  BOOST_TEST(Status(query.mCall.mValue) == 404);
}

BOOST_AUTO_TEST_CASE(callers_without_the_token_are_told_nothing)
{
  HttpRequest request;
  request.mMethod = "GET";
  request.mPath = "/caraway/where";
  request.mQuery = "workspace=p&route=chat";
  const auto ask = [&](const std::string& aHeader) {
    request.mCall = HttpCallId(mNextCall++);
    request.mHeaders = { { "Authorization", aHeader } };
    Step(request);
    return Status(request.mCall.mValue);
  };
  BOOST_TEST(ask("Bearer wrong") == 401);
  BOOST_TEST(ask("token-of-the-test") == 401);
  BOOST_TEST(ask("Bearer token-of-the-test") == 200);
  mEntry.mSettings.mOperatorTokenDigest.clear();
  BOOST_TEST(ask("Bearer token-of-the-test") == 404); // no such path
}

BOOST_AUTO_TEST_CASE(query_is_read_with_escapes)
{
  HttpRequest request;
  request.mMethod = "GET";
  request.mPath = "/caraway/where";
  request.mQuery = "workspace=a%20b&route=r&parts=x,y&model=m&other=1";
  const auto query = ReadWhereQuery(request);
  BOOST_REQUIRE(query.has_value());
  BOOST_TEST(query->mWorkspace.mValue == "a b");
  BOOST_TEST(query->mRoute.mValue == "r");
  BOOST_TEST(query->mModel.mValue == "m");
  BOOST_TEST(query->mParts.size() == 2u);
  request.mPath = "/caraway/elsewhere";
  BOOST_TEST(!ReadWhereQuery(request).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
