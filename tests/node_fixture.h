#pragma once
// Fixture of the node tests: a node whose control, entry and target are
// simulated by events that the test supplies.

#include <string>
#include <vector>

#include "caraway/node/node.h"

namespace caraway {

inline const PeerAddress kTestControl("127.0.0.1:1");
inline const PeerAddress kTestControl2("127.0.0.1:4");
inline const PeerAddress kTestEntry("127.0.0.1:2");

struct NodeFixture
{
  Node mNode;
  MonoTime mNow{ 1000000 };
  std::vector<NodeAction> mOut; // actions of the last event
  uint64_t mSequence = 0;

  explicit NodeFixture(uint32_t aColdLimit = 1)
  {
    NodeSettings settings;
    settings.mInstance = InstanceId("node-1");
    settings.mAddress = PeerAddress("127.0.0.1:3");
    settings.mZone = ZoneId("zone-a");
    settings.mControl = { kTestControl, kTestControl2 };
    settings.mSeed = 0;
    settings.mColdLimit = aColdLimit;
    mNode = MakeNode(settings, 77, mNow);
  }

  void Give(const NodeEvent& aEvent)
  {
    mOut.clear();
    StepNode(mNode, mNow, aEvent, mOut);
  }

  void Hear(const PeerAddress& aFrom, Message aMessage)
  {
    Give(MessageReceived{ aFrom, std::move(aMessage) });
  }

  void Wait(Duration aTime)
  {
    mNow = mNow + aTime;
    Give(Wakeup{});
  }

  // Messages of type T sent in response to the last event.
  template<class T>
  std::vector<T> Sent() const
  {
    std::vector<T> found;
    for (const NodeAction& action : mOut) {
      if (const auto* send = std::get_if<SendMessage>(&action)) {
        if (const auto* message = std::get_if<T>(&send->mMessage)) {
          found.push_back(*message);
        }
      }
    }
    return found;
  }

  // Actions of type T in response to the last event.
  template<class T>
  std::vector<T> Actions() const
  {
    std::vector<T> found;
    for (const NodeAction& action : mOut) {
      if (const auto* kind = std::get_if<T>(&action)) {
        found.push_back(*kind);
      }
    }
    return found;
  }

  // Calls that the last event started at the target, except load polls.
  std::vector<StartTargetCall> Started() const
  {
    std::vector<StartTargetCall> calls = Actions<StartTargetCall>();
    std::erase_if(calls, [](const StartTargetCall& aCall) {
      return aCall.mPath == "/load";
    });
    return calls;
  }

  void Announce(const std::string& aStart = "s1",
                const std::string& aCapabilities = "{}")
  {
    HttpRequest request;
    request.mMethod = "POST";
    request.mPath = "/announce";
    request.mBody = R"({"target":"t1","kind":"engine",)"
                    R"("url":"http://127.0.0.1:9000","models":["m"],)"
                    R"("start_id":")" +
                    aStart + R"(","capabilities":)" + aCapabilities + "}";
    Give(request);
  }

  void GrantLease()
  {
    RenewReply reply;
    reply.mInstance = InstanceId("node-1");
    reply.mEpoch = mNode.mSession.mEpoch;
    reply.mLease = Seconds(3);
    reply.mSentAt = mNow.mMicros;
    Hear(kTestControl, reply);
  }

  void Registered(uint64_t aEpoch)
  {
    RegisterReply reply;
    reply.mInstance = InstanceId("node-1");
    reply.mIncarnation = 77;
    reply.mEpoch = Epoch(aEpoch);
    Hear(kTestControl, reply);
  }

  void AnswerLoad(const std::string& aBody)
  {
    const TargetCallId call = mNode.mTarget.mLoadCall;
    Give(TargetCallBegan{ call, 200, {} });
    Give(TargetCallBytes{ call, aBody });
    Give(TargetCallEnded{ call });
  }

  void MakeReady(const std::string& aCapabilities = "{}")
  {
    Announce("s1", aCapabilities);
    Registered(7);
    GrantLease();
    AnswerLoad(R"({"running":0,"waiting":0,"cold":false})");
  }

  // Advances the time while renewing the lease and repeating the announcement.
  void Pass(Duration aTime)
  {
    for (const MonoTime end = mNow + aTime; mNow < end;) {
      mNow = mNow + Millis(500);
      GrantLease();
      Announce();
    }
  }

  Dispatch Call(const std::string& aRequest)
  {
    Dispatch dispatch;
    dispatch.mRequest = RequestId(aRequest);
    dispatch.mAttempt = 1;
    dispatch.mEntry = InstanceId("entry-1");
    dispatch.mEntryEpoch = Epoch(3);
    dispatch.mNodeEpoch = mNode.mSession.mEpoch;
    dispatch.mSequence = ++mSequence;
    dispatch.mWorkspace = WorkspaceId("w");
    dispatch.mKey = KeyId("ck_1");
    dispatch.mModel = ModelId("m");
    dispatch.mIdempotent = true;
    dispatch.mStream = true;
    dispatch.mDeadline = Seconds(60);
    dispatch.mPromptTokens = 10;
    dispatch.mOutputTokens = 10;
    dispatch.mMethod = "POST";
    dispatch.mPath = "/v1/chat/completions";
    dispatch.mHeaders = { { "Authorization", "Bearer secret" },
                          { "Accept", "*/*" } };
    dispatch.mBody = "{}";
    return dispatch;
  }

  // Sends the dispatch. Returns the target call that it started, or none.
  TargetCallId Run(const Dispatch& aDispatch)
  {
    Hear(kTestEntry, aDispatch);
    const auto started = Started();
    return started.empty() ? TargetCallId() : started.back().mCall;
  }

  void Answer(TargetCallId aCall, const std::string& aBody, int aStatus = 200)
  {
    Give(TargetCallBegan{ aCall, aStatus, {} });
    Give(TargetCallBytes{ aCall, aBody });
    Give(TargetCallEnded{ aCall });
  }

  // Answers the outstanding LeaseItems request with items of one job.
  void AnswerLeaseItems(uint32_t aCount, uint64_t aSequence = 0)
  {
    ItemBatch batch;
    batch.mNodeEpoch = mNode.mSession.mEpoch;
    batch.mSequence = aSequence != 0 ? aSequence : mNode.mBatch.mLeaseSequence;
    batch.mJob = JobId("batch_1");
    batch.mToken = FencingToken(50);
    batch.mWorkspace = WorkspaceId("night");
    batch.mModel = ModelId("m");
    batch.mEndpoint = "/v1/chat/completions";
    batch.mDeadline = Seconds(3600);
    batch.mWindow = Seconds(3600);
    for (uint32_t n = 0; n < aCount; ++n) {
      batch.mItems.push_back(
        { n,
          R"({"custom_id":"c)" + std::to_string(n) +
            R"(","method":"POST","url":"/v1/chat/completions",)"
            R"("body":{"max_tokens":5}})" });
    }
    Hear(kTestControl, batch);
  }
};

} // namespace caraway
