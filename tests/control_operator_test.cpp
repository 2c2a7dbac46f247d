// Tests the operators' API: concurrent writes, resends, malformed input and
// secrets.
#define BOOST_TEST_MODULE control_operator
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "tests/control_link.h"

using namespace caraway;
using Json = nlohmann::json;

namespace {

const std::string kContract =
  R"({"rate":10,"burst":20,"models":["tekst-model"]})";

struct OneReplica
{
  ControlLink mLink{ 1 };

  OneReplica()
  {
    mLink.StartAll();
    BOOST_REQUIRE(mLink.AwaitLeader());
  }

  uint64_t Put(const std::string& aWorkspace)
  {
    const HttpResponse response =
      mLink.Write("PUT", "/admin/contracts/" + aWorkspace, kContract);
    BOOST_REQUIRE(response.mStatus == 200);
    return Json::parse(response.mBody)["revision"];
  }
};

std::string
CodeOf(const HttpResponse& aResponse)
{
  return Json::parse(aResponse.mBody)["error"]["code"];
}

} // namespace

// Guards against lost updates: two operators read the same revision and both
// write, and the second must not overwrite the first.
BOOST_FIXTURE_TEST_CASE(loser_of_a_race_gets_the_current_revision, OneReplica)
{
  const uint64_t first = Put("lindholt");
  const std::string expected = std::to_string(first);
  Headers one{ { "X-Operation-Id", "race-1" },
               { "X-Expected-Revision", expected } };
  Headers two{ { "X-Operation-Id", "race-2" },
               { "X-Expected-Revision", expected } };
  const auto path = "/admin/contracts/lindholt";
  const HttpCallId callOne = mLink.Ask(0, "PUT", path, kContract, one);
  const HttpCallId callTwo =
    mLink.Ask(0, "PUT", path, R"({"rate":1,"burst":1})", two);
  mLink.Run(Millis(100));
  BOOST_TEST(mLink.mResponses[callOne].mStatus == 200);
  const HttpResponse& lost = mLink.mResponses[callTwo];
  BOOST_REQUIRE(lost.mStatus == 409);
  BOOST_TEST(CodeOf(lost) == "revision_conflict");
  BOOST_TEST(Json::parse(lost.mBody)["revision"] == first + 1);
  const Json now = Json::parse(mLink.Call(0, "GET", path).mBody);
  BOOST_TEST(now["rate"] == 10.0);
}

// An operator whose response was lost resends the write, which must not be
// applied twice.
BOOST_FIXTURE_TEST_CASE(resend_gets_the_first_result, OneReplica)
{
  const auto path = "/admin/contracts/lindholt";
  const auto first = mLink.Write("PUT", path, kContract, "same");
  mLink.Write("PUT", path, R"({"rate":3,"burst":3})", "other");
  const auto again = mLink.Write("PUT", path, kContract, "same");
  BOOST_TEST(again.mStatus == 200);
  BOOST_TEST(again.mBody == first.mBody);
  BOOST_TEST(Json::parse(mLink.Call(0, "GET", path).mBody)["rate"] == 3.0);
  const auto misused =
    mLink.Write("PUT", path, R"({"rate":4,"burst":4})", "same");
  BOOST_TEST(misused.mStatus == 409);
  BOOST_TEST(CodeOf(misused) == "conflict");
}

// The secret must be shown once and be stored neither in the state nor in the
// log.
BOOST_FIXTURE_TEST_CASE(key_secret_is_shown_once, OneReplica)
{
  Put("lindholt");
  const auto body = R"({"workspace":"lindholt"})";
  const auto created = mLink.Write("POST", "/admin/keys", body, "key-1");
  BOOST_REQUIRE(created.mStatus == 200);
  const Json first = Json::parse(created.mBody);
  const std::string id = first["id"];
  const std::string text = first["key"];
  BOOST_TEST(id.size() == 19u);
  BOOST_TEST(text.size() == id.size() + 65);
  BOOST_TEST(text.compare(0, id.size() + 1, id + "_") == 0);
  const Json second =
    Json::parse(mLink.Write("POST", "/admin/keys", body, "key-1").mBody);
  BOOST_TEST(second["id"] == id);
  BOOST_TEST(!second.contains("key"));
  const std::string secret = text.substr(id.size() + 1);
  const Control& control = mLink.LeaderControl();
  BOOST_TEST(EncodeControlState(control.mState).find(secret) ==
             std::string::npos);
  for (const LogEntry& entry : mLink.mReplicas[0].mDisk.mRecovered.mEntries) {
    BOOST_TEST(entry.mPayload.find(secret) == std::string::npos);
  }
  const Json other =
    Json::parse(mLink.Write("POST", "/admin/keys", body, "key-2").mBody);
  BOOST_TEST(other["key"] != first["key"]);
}

BOOST_FIXTURE_TEST_CASE(withdrawn_contract_ends_its_keys, OneReplica)
{
  Put("lindholt");
  const auto body = R"({"workspace":"lindholt"})";
  mLink.Write("POST", "/admin/keys", body);
  BOOST_TEST(mLink.Write("DELETE", "/admin/contracts/lindholt").mStatus == 200);
  const Json keys =
    Json::parse(mLink.Call(0, "GET", "/admin/keys?workspace=lindholt").mBody);
  BOOST_TEST(keys["keys"][0]["withdrawn"] == true);
  BOOST_TEST(mLink.Write("POST", "/admin/keys", body).mStatus == 404);
}

BOOST_FIXTURE_TEST_CASE(malformed_input_is_refused_with_a_reason, OneReplica)
{
  const auto put = [&](const std::string& aName, const std::string& aBody) {
    return mLink.Write("PUT", "/admin/contracts/" + aName, aBody);
  };
  const std::vector<std::pair<std::string, std::string>> wrong = {
    { "w", "" },
    { "w", "{" },
    { "w", "[]" },
    { "w", R"({"rate":-1})" },
    { "w", R"({"rate":"10"})" },
    { "w", R"({"rate":1e999})" },
    { "w", R"({"rate":5,"burst":0.5})" },
    { "w", R"({"weight":0})" },
    { "w", R"({"weight":1001})" },
    { "w", R"({"weight":1.5})" },
    { "w", R"({"reit":1})" },
    { "w", R"({"models":"m"})" },
    { "w", R"({"models":["a b"]})" },
    { "w", R"({"latency":"fast"})" },
    { "w", "{\"\xff\":1}" },
    { "a%20b", kContract },
    { std::string(129, 'a'), kContract },
  };
  for (const auto& [name, body] : wrong) {
    const HttpResponse response = put(name, body);
    BOOST_TEST_CONTEXT(name << " " << body)
    {
      BOOST_TEST(response.mStatus == 400);
      const Json error = Json::parse(response.mBody)["error"];
      BOOST_TEST(error["code"] == "invalid_argument");
      BOOST_TEST(error["outcome"] == "not_run");
      BOOST_TEST(!error["remedy"].get<std::string>().empty());
    }
  }
  BOOST_TEST(mLink.LeaderControl().mState.mConfig.mView.mRevision.mValue == 0u);
  const auto noId = mLink.Call(0, "PUT", "/admin/contracts/w", kContract);
  BOOST_TEST(noId.mStatus == 400);
  const auto badRevision =
    mLink.Write("PUT", "/admin/contracts/w", kContract, "x", "-1");
  BOOST_TEST(badRevision.mStatus == 400);
  BOOST_TEST(mLink.Call(0, "GET", "/admin/inforce?revision=x").mStatus == 400);
  BOOST_TEST(mLink.Write("POST", "/admin/zones/z/sideways").mStatus == 404);
}

BOOST_FIXTURE_TEST_CASE(operators_need_the_token, OneReplica)
{
  HttpRequest request;
  request.mCall = HttpCallId(999);
  request.mMethod = "GET";
  request.mPath = "/admin/status";
  for (const char* value : { "", "Bearer ", "Bearer tokem", "token" }) {
    request.mHeaders = { { "Authorization", value } };
    mLink.Post(0, mLink.mNow, request);
    mLink.Run(Millis(1));
    BOOST_TEST(mLink.mResponses[request.mCall].mStatus == 401);
  }
  BOOST_TEST(mLink.Call(0, "GET", "/admin/status").mStatus == 200);
}

// The configuration must survive restarts, from a snapshot and the log after
// it.
BOOST_AUTO_TEST_CASE(restart_after_hundreds_of_changes_keeps_all)
{
  ControlLink link(1);
  link.mReplicas[0].mSettings.mRaft.mSnapshotEvery = 150;
  link.StartAll();
  BOOST_REQUIRE(link.AwaitLeader());
  uint64_t last = 0;
  for (int round = 0; round < 400; ++round) {
    const auto response = link.Write(
      "PUT", "/admin/contracts/ws-" + std::to_string(round % 130), kContract);
    BOOST_REQUIRE(response.mStatus == 200);
    const uint64_t revision = Json::parse(response.mBody)["revision"];
    BOOST_TEST(revision > last);
    last = revision;
  }
  BOOST_TEST(!link.mReplicas[0].mDisk.mRecovered.mSnapshot.mIndex.IsNone());
  BOOST_TEST(!link.mReplicas[0].mDisk.mRecovered.mEntries.empty());
  for (int restart = 0; restart < 3; ++restart) {
    link.Kill(0);
    link.Start(0);
    BOOST_REQUIRE(link.AwaitLeader());
    const ConfigHistory& config = link.LeaderControl().mState.mConfig;
    BOOST_TEST(config.mView.mRevision.mValue == last);
    BOOST_TEST(config.mView.mContracts.size() == 130u);
    BOOST_TEST(config.mRecent.size() == 400u);
    BOOST_TEST(ObjectRevision(config.mView, "contract/ws-0").mValue == 391u);
  }
  // Operation ids are part of the state: a resend after a restart is not
  // applied again.
  const auto again =
    link.Write("PUT", "/admin/contracts/ws-0", kContract, "op-1");
  BOOST_TEST(Json::parse(again.mBody)["revision"] == 1u);
}
