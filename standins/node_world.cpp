// Simulates one real node with the engine model on a virtual clock.

#include "standins/node_world.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace caraway {

namespace {

using Json = nlohmann::json;

const PeerAddress kControl("127.0.0.1:1");
const PeerAddress kEntry("127.0.0.1:2");

void
FromControl(NodeWorld& aWorld, Message aMessage)
{
  At(aWorld,
     aWorld.mNow + Millis(3),
     [&aWorld, message = std::move(aMessage)]() {
       Give(aWorld, MessageReceived{ kControl, message });
     });
}

void
AnswerLease(NodeWorld& aWorld, const LeaseItems& aLease)
{
  ItemBatch batch;
  batch.mNodeEpoch = aLease.mNodeEpoch;
  batch.mSequence = aLease.mSequence;
  batch.mRetryAfter = Seconds(1);
  if (aWorld.mSettings.mBatch) {
    batch.mJob = JobId("batch_1");
    batch.mToken = FencingToken(aLease.mSequence);
    batch.mWorkspace = WorkspaceId("nightly");
    batch.mModel = ModelId("m");
    batch.mEndpoint = "/v1/chat/completions";
    batch.mDeadline = aWorld.mSettings.mBatchLeft;
    batch.mWindow = aWorld.mSettings.mBatchWindow;
    for (uint32_t n = 0; n < aLease.mWanted; ++n) {
      const uint64_t index = aWorld.mNextIndex++;
      const Json body = { { "max_tokens", aWorld.mSettings.mBatchOutput },
                          { "prompt_tokens", aWorld.mSettings.mBatchPrompt } };
      const Json line = { { "custom_id", std::to_string(index) },
                          { "method", "POST" },
                          { "url", "/v1/chat/completions" },
                          { "body", body } };
      batch.mItems.push_back({ static_cast<uint32_t>(index), line.dump() });
    }
  }
  FromControl(aWorld, batch);
}

void
TakeResults(NodeWorld& aWorld, const ItemResults& aResults)
{
  for (const ItemResult& result : aResults.mResults) {
    if (result.mVerdict == ItemVerdict::eDone) {
      ++aWorld.mBatchDone;
      aWorld.mBatchTokens += aWorld.mSettings.mBatchOutput;
    } else if (result.mVerdict != ItemVerdict::eReturned) {
      ++aWorld.mBatchFailed;
    }
  }
  ItemResultsAck ack;
  ack.mNodeEpoch = aResults.mNodeEpoch;
  ack.mSequence = aResults.mSequence;
  FromControl(aWorld, ack);
}

void
RecordAnswerPart(NodeWorld& aWorld, const AnswerPart& aPart)
{
  OnlineRecord& record = aWorld.mOnline[aPart.mRequest];
  if (!aPart.mBytes.empty()) {
    if (record.mParts++ == 0) {
      record.mFirst = aWorld.mNow;
    }
    record.mLast = aWorld.mNow;
  }
  record.mDone = record.mDone || aPart.mLast;
}

void
OnSent(NodeWorld& aWorld, const SendMessage& aSend)
{
  const Message& message = aSend.mMessage;
  if (const auto* reg = std::get_if<Register>(&message)) {
    RegisterReply reply;
    reply.mInstance = reg->mMember.mInstance;
    reply.mIncarnation = reg->mMember.mIncarnation;
    reply.mEpoch = Epoch(++aWorld.mNextEpoch);
    FromControl(aWorld, reply);
  } else if (const auto* renew = std::get_if<Renew>(&message)) {
    RenewReply reply;
    reply.mInstance = renew->mInstance;
    reply.mEpoch = renew->mEpoch;
    reply.mLease = Seconds(3);
    reply.mSentAt = renew->mSentAt;
    FromControl(aWorld, reply);
  } else if (const auto* lease = std::get_if<LeaseItems>(&message)) {
    AnswerLease(aWorld, *lease);
  } else if (const auto* results = std::get_if<ItemResults>(&message)) {
    TakeResults(aWorld, *results);
  } else if (const auto* part = std::get_if<AnswerPart>(&message)) {
    RecordAnswerPart(aWorld, *part);
  } else if (const auto* refusal = std::get_if<Refusal>(&message)) {
    OnlineRecord& record = aWorld.mOnline[refusal->mRequest];
    record.mRefused = true;
    record.mKind = refusal->mKind;
    record.mOutcome = refusal->mOutcome;
  }
}

void
AnswerPlain(NodeWorld& aWorld, TargetCallId aCall, std::string aBody)
{
  At(aWorld,
     aWorld.mNow + Millis(1),
     [&aWorld, aCall, body = std::move(aBody)]() {
       Give(aWorld, TargetCallBegan{ aCall, 200, {} });
       Give(aWorld, TargetCallBytes{ aCall, body });
       Give(aWorld, TargetCallEnded{ aCall });
     });
}

void
StartAtTarget(NodeWorld& aWorld, const StartTargetCall& aStart)
{
  const TargetCallId id = aStart.mCall;
  if (aStart.mPath == "/load") {
    const EngineLoad load = ReportedLoad(aWorld.mEngine, aWorld.mNow);
    const Json body = { { "running", load.mRunning },
                        { "waiting", load.mWaiting },
                        { "cold", load.mCold } };
    AnswerPlain(aWorld, id, body.dump());
    return;
  }
  if (aStart.mPath != "/v1/chat/completions") {
    AnswerPlain(aWorld, id, "{}");
    return;
  }
  const Json body = Json::parse(aStart.mBody, nullptr, false);
  EngineCall call;
  call.mId = id.mValue;
  call.mPrompt = body.value("prompt_tokens", 1U);
  call.mOutput = body.value("max_tokens", 1U);
  call.mPrefix = body.value("prefix", uint64_t{ 0 });
  call.mPrefixTokens = call.mPrefix == 0 ? 0 : call.mPrompt / 2;
  const std::string resumed = HeaderValue(aStart.mHeaders, "X-Resume-Tokens");
  call.mResumed =
    resumed.empty() ? 0 : static_cast<uint32_t>(std::stoul(resumed));
  if (!AdmitCall(aWorld.mEngine, aWorld.mNow, call)) {
    At(aWorld, aWorld.mNow + Micros(200), [&aWorld, id]() {
      Give(aWorld, TargetCallFailed{ id, Outcome::eNotRun, "refused" });
    });
    return;
  }
  aWorld.mRequestedTokens[id.mValue] = call.mOutput;
}

void
OnAction(NodeWorld& aWorld, const NodeAction& aAction)
{
  if (aWorld.mWatch) {
    aWorld.mWatch(aWorld, aAction);
  }
  if (const auto* send = std::get_if<SendMessage>(&aAction)) {
    OnSent(aWorld, *send);
  } else if (const auto* start = std::get_if<StartTargetCall>(&aAction)) {
    StartAtTarget(aWorld, *start);
  } else if (const auto* cancel = std::get_if<CancelTargetCall>(&aAction)) {
    CancelCall(aWorld.mEngine, aWorld.mNow, cancel->mCall.mValue);
    aWorld.mRequestedTokens.erase(cancel->mCall.mValue);
    aWorld.mBegan.erase(cancel->mCall.mValue);
  } else if (const auto* log = std::get_if<DecisionLog>(&aAction)) {
    aWorld.mPreempted += log->mEvent == "preempt" ? 1 : 0;
  }
}

void
OnOutput(NodeWorld& aWorld, const EngineOutput& aOutput)
{
  auto known = aWorld.mRequestedTokens.find(aOutput.mCall);
  if (known == aWorld.mRequestedTokens.end()) {
    return; // the call was cancelled
  }
  const TargetCallId id(aOutput.mCall);
  if (!aWorld.mBegan[aOutput.mCall]) {
    aWorld.mBegan[aOutput.mCall] = true;
    Give(
      aWorld,
      TargetCallBegan{ id, 200, { { "Content-Type", "text/event-stream" } } });
  }
  if (aOutput.mKind == EngineOutputKind::eToken) {
    Give(aWorld,
         TargetCallBytes{
           id, "data: {\"choices\":[{\"delta\":{\"content\":\"t \"}}]}\n\n" });
    return;
  }
  aWorld.mRequestedTokens.erase(aOutput.mCall);
  aWorld.mBegan.erase(aOutput.mCall);
  if (aOutput.mKind == EngineOutputKind::eBroken) {
    Give(aWorld, TargetCallFailed{ id, Outcome::eUnknown, "reset" });
    return;
  }
  Give(aWorld, TargetCallBytes{ id, "data: [DONE]\n\n" });
  Give(aWorld, TargetCallEnded{ id });
}

void
Announce(NodeWorld& aWorld)
{
  At(aWorld, aWorld.mNow + Seconds(1), [&aWorld]() { Announce(aWorld); });
  if (!aWorld.mAnnouncing || aWorld.mNow < aWorld.mEngine.mUpAt) {
    return;
  }
  const Json body = { { "target", "engine-1" },
                      { "kind", "engine" },
                      { "url", "http://127.0.0.1:9000" },
                      { "models", { "m" } },
                      { "start_id", std::to_string(aWorld.mEngine.mStart) },
                      { "capabilities",
                        { { "resume", aWorld.mSettings.mCanResume } } } };
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = "/announce";
  request.mBody = body.dump();
  Give(aWorld, request);
}

Node
NewNode(const NodeWorld& aWorld, uint64_t aIncarnation)
{
  NodeSettings settings;
  settings.mInstance = InstanceId("node-1");
  settings.mAddress = PeerAddress("127.0.0.1:3");
  settings.mZone = ZoneId("zone-a");
  settings.mControl = { kControl };
  settings.mPolicy = aWorld.mSettings.mPolicy;
  settings.mMaxLimit = aWorld.mSettings.mMaxLimit;
  return MakeNode(settings, aIncarnation, aWorld.mNow);
}

} // namespace

void
InitWorld(NodeWorld& aWorld, const WorldSettings& aSettings)
{
  aWorld.mSettings = aSettings;
  aWorld.mNode = NewNode(aWorld, 1);
  aWorld.mEngine =
    MakeEngine(aSettings.mEngine, aWorld.mNow, aSettings.mColdStart);
  Announce(aWorld);
}

void
At(NodeWorld& aWorld, MonoTime aAt, std::function<void()> aWhat)
{
  aWorld.mEvents.emplace(aAt, std::move(aWhat));
}

void
Give(NodeWorld& aWorld, const NodeEvent& aEvent)
{
  std::vector<NodeAction> actions;
  StepNode(aWorld.mNode, aWorld.mNow, aEvent, actions);
  for (const NodeAction& action : actions) {
    OnAction(aWorld, action);
  }
}

RequestId
SendOnline(NodeWorld& aWorld, const OnlineCall& aCall)
{
  Dispatch dispatch;
  dispatch.mRequest = RequestId("r" + std::to_string(aWorld.mNextRequest++));
  dispatch.mAttempt = 1;
  dispatch.mEntry = InstanceId("entry-1");
  dispatch.mEntryEpoch = Epoch(1);
  dispatch.mNodeEpoch = aWorld.mNode.mSession.mEpoch;
  dispatch.mSequence = aWorld.mNextSequence++;
  dispatch.mWorkspace = aCall.mWorkspace;
  dispatch.mWeight = aCall.mWeight;
  dispatch.mKey = aCall.mKey;
  dispatch.mModel = ModelId("m");
  dispatch.mIdempotent = true;
  dispatch.mStream = true;
  dispatch.mDeadline = aCall.mDeadline;
  dispatch.mPromptTokens = aCall.mPrompt;
  dispatch.mOutputTokens = aCall.mOutput;
  dispatch.mMethod = "POST";
  dispatch.mPath = "/v1/chat/completions";
  const Json body = { { "max_tokens", aCall.mOutput },
                      { "prompt_tokens", aCall.mPrompt },
                      { "prefix", aCall.mPrefix } };
  dispatch.mBody = body.dump();
  OnlineRecord record;
  record.mCall = aCall;
  record.mSent = aWorld.mNow;
  aWorld.mOnline[dispatch.mRequest] = record;
  Give(aWorld, MessageReceived{ kEntry, dispatch });
  return dispatch.mRequest;
}

void
RunUntil(NodeWorld& aWorld, MonoTime aEnd)
{
  for (;;) {
    const MonoTime event =
      aWorld.mEvents.empty() ? kNever : aWorld.mEvents.begin()->first;
    const MonoTime step = NextEngineStep(aWorld.mEngine);
    const MonoTime wake = NextWakeup(aWorld.mNode);
    const MonoTime next =
      std::max(aWorld.mNow, std::min({ event, step, wake }));
    if (next > aEnd) {
      aWorld.mNow = aEnd;
      return;
    }
    aWorld.mNow = next;
    if (step <= next) {
      std::vector<EngineOutput> outputs;
      AdvanceEngine(aWorld.mEngine, next, outputs);
      for (const EngineOutput& output : outputs) {
        OnOutput(aWorld, output);
      }
    } else if (event <= next) {
      auto what = std::move(aWorld.mEvents.begin()->second);
      aWorld.mEvents.erase(aWorld.mEvents.begin());
      what();
    } else {
      Give(aWorld, Wakeup{});
    }
  }
}

void
RestartNode(NodeWorld& aWorld)
{
  // The connections of the old process end with it. The engine still runs its
  // calls to their end.
  aWorld.mRequestedTokens.clear();
  aWorld.mBegan.clear();
  const uint64_t call = aWorld.mNode.mNextTargetCall + 1000000;
  aWorld.mNode = NewNode(aWorld, aWorld.mNode.mSession.mIncarnation + 1);
  aWorld.mNode.mNextTargetCall = call; // call ids at the engine stay unique
}

void
RestartTarget(NodeWorld& aWorld)
{
  std::vector<EngineOutput> outputs;
  RestartEngine(aWorld.mEngine, aWorld.mNow, outputs);
  for (const EngineOutput& output : outputs) {
    OnOutput(aWorld, output);
  }
}

} // namespace caraway
