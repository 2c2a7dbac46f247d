// Guards against a batch item whose text is joined from the events of two
// software versions.
#define BOOST_TEST_MODULE node_version
#include <boost/test/unit_test.hpp>

#include "tests/node_fixture.h"

using namespace caraway;

namespace {

struct Item : NodeFixture
{
  Item()
    : NodeFixture(4)
  {
    MakeReady();
    mNode.mRecord.mVersion = "v2";
  }

  // Leases an item with progress that the version of its service made. Returns
  // its call.
  StartTargetCall Lease(const char* aOrigin)
  {
    ItemBatch batch;
    batch.mNodeEpoch = Epoch(7);
    batch.mSequence = 1;
    batch.mJob = JobId("batch_1");
    batch.mToken = FencingToken(50);
    batch.mModel = ModelId("m");
    batch.mEndpoint = "host";
    batch.mDeadline = batch.mWindow = Seconds(60);
    batch.mItems = { { 0,
                       R"({"custom_id":"i","url":"/p/1","body_base64":""})",
                       0,
                       { 3, "old", aOrigin } } };
    Hear(kTestControl, batch);
    BOOST_REQUIRE_EQUAL(Started().size(), 1u);
    return Started()[0];
  }

  ItemResult Finish(const StartTargetCall& aCall,
                    const std::string& aEvents,
                    bool aBreak)
  {
    TargetCallBegan began;
    began.mCall = aCall.mCall;
    began.mStatus = 200;
    began.mEchoesRequestId = true;
    began.mAnsweredRequest = RequestId("i");
    Give(began);
    Give(TargetCallBytes{ aCall.mCall, aEvents });
    if (aBreak) {
      Give(TargetCallFailed{ aCall.mCall, Outcome::eUnknown, "broken" });
    } else {
      Give(TargetCallEnded{ aCall.mCall });
    }
    Wait(Millis(100));
    const auto sent = Sent<ItemResults>();
    BOOST_REQUIRE_EQUAL(sent.size(), 1u);
    return sent[0].mResults.at(0);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(item_goes_on_at_the_version_that_began_it, Item)
{
  const StartTargetCall call = Lease("m/v2");
  BOOST_TEST(*call.mContext.mResumeAfter == 3u);
  const ItemResult result = Finish(call, "id: 4\ndata: new\n\n", false);
  BOOST_TEST(result.mBody.find("old\\nnew") != std::string::npos);
}

// A job may have moved to another service, with versions of the same names.
BOOST_AUTO_TEST_CASE(item_of_another_version_or_service_starts_anew)
{
  for (const char* origin : { "m/v1", "other/v2", "v2", "" }) {
    Item item;
    const StartTargetCall call = item.Lease(origin);
    BOOST_TEST(!call.mContext.mResumeAfter.has_value());
    const ItemResult result = item.Finish(call, "id: 1\ndata: new\n\n", false);
    BOOST_TEST(result.mBody.find("old") == std::string::npos);
    BOOST_TEST(result.mBody.find("new") != std::string::npos);
  }
}

BOOST_FIXTURE_TEST_CASE(returned_item_names_its_version, Item)
{
  const ItemResult result = Finish(Lease("m/v2"), "id: 4\ndata: new\n\n", true);
  BOOST_TEST((result.mVerdict == ItemVerdict::eReturned));
  BOOST_TEST(result.mProgress.mLastEvent == 4u);
  BOOST_TEST(result.mBody == "m/v2");
}
