// Guards against a batch item that is listed as completed although its target
// broke the answer off. An answer without a length and without chunks ends with
// its connection, also when its target ends.
#define BOOST_TEST_MODULE node_answer_end
#include <boost/test/unit_test.hpp>

#include "tests/node_fixture.h"

using namespace caraway;

namespace {

struct RawItem : NodeFixture
{
  StartTargetCall mCall;

  RawItem()
    : NodeFixture(4)
  {
    MakeReady();
    ItemBatch batch;
    batch.mNodeEpoch = Epoch(7);
    batch.mSequence = 1;
    batch.mJob = JobId("batch_1");
    batch.mToken = FencingToken(50);
    batch.mEndpoint = "host";
    batch.mDeadline = batch.mWindow = Seconds(60);
    batch.mItems = { { 0,
                       R"({"custom_id":"i","url":"/p/1","body_base64":""})" } };
    Hear(kTestControl, batch);
    TakeCall();
  }

  void TakeCall()
  {
    BOOST_REQUIRE_EQUAL(Started().size(), 1u);
    mCall = Started()[0];
  }

  void Begin(bool aEndsByClose)
  {
    TargetCallBegan began;
    began.mCall = mCall.mCall;
    began.mStatus = 200;
    began.mEndsByClose = aEndsByClose;
    began.mEchoesRequestId = true;
    began.mAnsweredRequest = RequestId("i");
    Give(began);
  }

  void Event(int aNumber)
  {
    Give(TargetCallBytes{ mCall.mCall,
                          "id: " + std::to_string(aNumber) + "\ndata: e\n\n" });
  }

  // Closes the connection, and reports how the target responds afterwards.
  void Close(TargetReach aReach)
  {
    Give(TargetCallEnded{ mCall.mCall, true });
    const auto checks = Actions<CheckTarget>();
    BOOST_REQUIRE_EQUAL(checks.size(), 1u);
    Give(TargetChecked{ checks[0].mCheck, aReach });
  }

  ItemResult Result()
  {
    Wait(Millis(100));
    const auto sent = Sent<ItemResults>();
    BOOST_REQUIRE_EQUAL(sent.size(), 1u);
    BOOST_REQUIRE_EQUAL(sent[0].mResults.size(), 1u);
    return sent[0].mResults[0];
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(item_that_ends_with_its_target_is_returned, RawItem)
{
  Begin(true);
  Event(1);
  Close(TargetReach::eRefuses);
  const ItemResult result = Result();
  BOOST_TEST((result.mVerdict == ItemVerdict::eReturned));
  BOOST_TEST(result.mProgress.mLastEvent == 1u);
}

// A target that lives may have broken the answer off as well.
BOOST_FIXTURE_TEST_CASE(item_of_unknown_end_is_continued, RawItem)
{
  Begin(true);
  Event(1);
  Close(TargetReach::eAccepts);
  TakeCall();
  BOOST_TEST(*mCall.mContext.mResumeAfter == 1u);
  Begin(false);
  Event(2);
  Give(TargetCallEnded{ mCall.mCall });
  const ItemResult result = Result();
  BOOST_TEST((result.mVerdict == ItemVerdict::eDone));
  BOOST_TEST(result.mBody.find("e\\ne") != std::string::npos);
}

// A call that continues the item may be broken off before its first event, so
// one that brings nothing does not show that the text is whole.
BOOST_FIXTURE_TEST_CASE(item_is_completed_if_nothing_follows_for_long, RawItem)
{
  Begin(true);
  Event(1);
  Close(TargetReach::eAccepts);
  for (int call = 0; call < 3; ++call) {
    TakeCall();
    BOOST_TEST(*mCall.mContext.mResumeAfter == 1u);
    Begin(true);
    Close(TargetReach::eAccepts);
  }
  BOOST_TEST((Result().mVerdict == ItemVerdict::eDone));
}

BOOST_FIXTURE_TEST_CASE(stated_end_after_nothing_completes_an_item, RawItem)
{
  Begin(true);
  Event(1);
  Close(TargetReach::eAccepts);
  TakeCall();
  Begin(false);
  Give(TargetCallEnded{ mCall.mCall });
  BOOST_TEST((Result().mVerdict == ItemVerdict::eDone));
}

BOOST_FIXTURE_TEST_CASE(item_is_returned_if_the_target_ends_meanwhile, RawItem)
{
  Begin(true);
  Event(1);
  Close(TargetReach::eAccepts);
  TakeCall();
  Begin(true);
  Close(TargetReach::eRefuses);
  BOOST_TEST((Result().mVerdict == ItemVerdict::eReturned));
}
