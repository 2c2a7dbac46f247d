#pragma once
// Test fixture: an entry with a serving plan and two targets with nodes, for
// requests that the entry sends to targets itself.

#include "entry_rig.h"

namespace caraway {

inline PlanRoute
MakeRoute(const char* aId, CallKind aKind, bool aResumable, uint32_t aAttempts)
{
  PlanRoute route;
  route.mId = RouteId(aId);
  route.mHost = "h";
  route.mPathPrefix = std::string("/") + aId + "/";
  route.mKind = aKind;
  route.mShares = { { ServiceId("engine"), 1 } };
  route.mTimeout = Seconds(5);
  route.mLatencyGoal = Millis(300);
  route.mGapGoal = Millis(200);
  route.mMaxAttempts = aAttempts;
  route.mResumable = aResumable;
  return route;
}

struct Direct : EntryRig
{
  InputParts mPromptParts; // of the next requests
  std::string mQuery;      // of the same

  Direct()
  {
    mEntry.mSettings.mServeWithoutLease = true;
    ServingPlan plan;
    plan.mVersion = 1;
    plan.mServices.resize(1);
    plan.mServices[0].mId = ServiceId("engine");
    plan.mServices[0].mEngine = true;
    plan.mRoutes = { MakeRoute("chat", CallKind::eStream, false, 1),
                     MakeRoute("resume", CallKind::eStream, true, 2),
                     MakeRoute("look", CallKind::eIdempotent, false, 2),
                     MakeRoute("once", CallKind::eOnce, false, 3) };
    PlanWorkspace workspace;
    workspace.mId = WorkspaceId("p");
    workspace.mKeys = { DigestOfKey("secret") };
    workspace.mRate = 100;
    workspace.mBurst = 100;
    plan.mWorkspaces = { workspace };
    Change(SetPlan{ plan });
    for (const char* name : { "a1", "a2" }) {
      Target target;
      target.mId = TargetId(std::string("t-") + name);
      target.mService = ServiceId("engine");
      target.mAddress = std::string("10.0.0.1:") + name[1];
      target.mZone = ZoneId("a");
      target.mSlots = 8;
      target.mStartedAt = 1;
      Change(SetTarget{ target });
      AddNode(name, 10 + name[1]);
    }
    mSent.clear();
  }

  uint64_t SendForward(const char* aRoute, const std::string& aKey = "secret")
  {
    ForwardRequest request;
    const uint64_t call = mNextCall++;
    request.mCall = HttpCallId(call);
    request.mId = RequestId("r" + std::to_string(call));
    request.mKey = aKey;
    request.mHost = "h";
    request.mMethod = "POST";
    request.mPath = std::string("/") + aRoute + "/x";
    request.mQuery = mQuery;
    request.mBody = "body";
    request.mPromptParts = mPromptParts;
    Step(request);
    return call;
  }

  // Returns the node that got the last slot request, and clears mSent.
  PeerAddress RequestedNode()
  {
    PeerAddress node;
    for (const auto& [to, message] : mSent) {
      if (std::holds_alternative<SlotRequest>(message)) {
        node = to;
      }
    }
    mSent.clear();
    return node;
  }

  void ReplySlot(const PeerAddress& aNode,
                 uint64_t aCall,
                 SlotState aState,
                 Duration aWait = {})
  {
    SlotReply reply;
    reply.mRequest = RequestId("r" + std::to_string(aCall));
    reply.mState = aState;
    reply.mExpectedWait = aWait;
    reply.mLimit = 8;
    Receive(aNode, reply);
  }

  // Sends a request and grants its slot; returns the call to the target.
  StartTargetCall StartCall(const char* aRoute, uint64_t& aCall)
  {
    aCall = SendForward(aRoute);
    ReplySlot(RequestedNode(), aCall, SlotState::eGranted);
    BOOST_REQUIRE(!mTargetCalls.empty());
    StartTargetCall call = mTargetCalls.back();
    Step(TargetCallSent{ call.mCall });
    return call;
  }

  void LoseNodes()
  {
    Change(RemoveMember{ InstanceId("a1"), Epoch(10 + '1') });
    Change(RemoveMember{ InstanceId("a2"), Epoch(10 + '2') });
  }

  void MakeCold(double aRate)
  {
    ServingPlan plan = *mEntry.mConfig.mPlan;
    ++plan.mVersion;
    plan.mServices[0].mColdRate = aRate;
    Change(SetPlan{ plan });
  }

  StartTargetCall GrantNext(uint64_t aCall)
  {
    const size_t before = mTargetCalls.size();
    ReplySlot(RequestedNode(), aCall, SlotState::eGranted);
    BOOST_REQUIRE(mTargetCalls.size() == before + 1);
    Step(TargetCallSent{ mTargetCalls.back().mCall });
    return mTargetCalls.back();
  }

  void Begin(const StartTargetCall& aCall, int aStatus, bool aNotRun = false)
  {
    TargetCallBegan began;
    began.mCall = aCall.mCall;
    began.mStatus = aStatus;
    began.mNotRun = aNotRun;
    began.mEchoesRequestId = true;
    began.mAnsweredRequest = aCall.mContext.mRequest;
    Step(began);
  }

  void Bytes(const StartTargetCall& aCall, const std::string& aBytes)
  {
    Step(TargetCallBytes{ aCall.mCall, aBytes });
  }

  // Sends the bytes again and again for two seconds, or until a call is
  // cancelled.
  void SendUntilCancelled(const StartTargetCall& aCall,
                          const std::string& aBytes)
  {
    for (int at = 0; at < 20 && mCancelled.empty(); ++at) {
      Bytes(aCall, aBytes);
      Advance(Millis(100));
    }
  }

  void Break(const StartTargetCall& aCall, Outcome aOutcome)
  {
    Step(TargetCallFailed{ aCall.mCall, aOutcome, "broken by the test" });
  }
};

} // namespace caraway
