#pragma once
// Test fixture: one entry whose peers are simulated. Registrations, renewals
// and grant requests are answered automatically as control would; the test
// sends all other messages itself.

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "caraway/entry/auth.h"
#include "caraway/entry/entry.h"

namespace caraway {

inline const PeerAddress kControl{ "control:1" };

inline std::string
TestKey(char aDigit)
{
  return "ck_" + std::string(16, aDigit) + "_" + std::string(64, aDigit);
}

struct EntryRig
{
  Entry mEntry;
  MonoTime mNow{ 1000000 };
  uint64_t mEpoch = 100; // of the entry's session
  bool mLease = true;    // renewals are answered
  bool mGrants = true;   // grant requests are answered
  double mTokens = 1000; // tokens in each grant reply
  uint64_t mNextCall = 1;
  uint64_t mRevision = 0;
  std::vector<std::pair<PeerAddress, Message>> mSent;
  std::map<uint64_t, HttpResponse> mResponses;
  std::map<uint64_t, HttpBegin> mBegins;
  std::map<uint64_t, std::string> mChunks;
  std::map<uint64_t, std::string> mState; // "begun", "ended", "aborted"
  bool mStopped = false;
  std::vector<StartTargetCall> mTargetCalls; // started by the entry
  std::vector<TargetCallId> mCancelled;
  std::vector<CheckTarget> mChecks;
  std::vector<OrderReply> mOrders;
  std::vector<DecisionLog> mLines;

  explicit EntryRig(const std::string& aName = "entry-1",
                    const std::string& aAddress = "entry:1")
  {
    EntrySettings settings;
    settings.mInstance = InstanceId(aName);
    settings.mAddress = PeerAddress(aAddress);
    settings.mZone = ZoneId("a");
    settings.mControl = { kControl };
    mEntry = MakeEntry(settings, 7, mNow);
    Step(Wakeup{});
    Contract contract;
    contract.mWorkspace = WorkspaceId("w");
    contract.mRate = 100;
    contract.mBurst = 100;
    contract.mModels = { ModelId("m") };
    contract.mRoutes = { RouteId("stock"), RouteId("read") };
    Change(SetContract{ contract });
    Change(CreateKey{ { KeyId(TestKey('1').substr(0, 19)),
                        DigestOfKey(TestKey('1')),
                        WorkspaceId("w"),
                        false } });
    AddRoute("stock", "/stock", false, false);
    AddRoute("read", "/read", true, false);
    AddRoute("open", "/open", true, true);
  }

  void AddRoute(const char* aId,
                const char* aPath,
                bool aIdempotent,
                bool aOpen)
  {
    Change(SetRoute{
      { RouteId(aId), "*", aPath, ServiceId("s"), aIdempotent, aOpen } });
  }

  // Adds a node that offers model "m" and service "s". The first letter of its
  // name is its zone.
  void AddNode(const std::string& aName, uint64_t aEpoch)
  {
    Member member;
    member.mInstance = InstanceId(aName);
    member.mEpoch = Epoch(aEpoch);
    member.mRole = MemberRole::eNode;
    member.mAddress = PeerAddress(aName);
    member.mZone = ZoneId(aName.substr(0, 1));
    member.mTarget.mId = TargetId("t-" + aName);
    member.mTarget.mModels = { ModelId("m") };
    member.mTarget.mServices = { ServiceId("s") };
    Change(SetMember{ member });
  }

  void Change(ConfigChange aChange)
  {
    ConfigDelta delta;
    delta.mFrom = Revision(mRevision);
    delta.mTo = Revision(++mRevision);
    delta.mChanges = { { delta.mTo, std::move(aChange) } };
    Receive(kControl, delta);
  }

  void Receive(const PeerAddress& aFrom, Message aMessage)
  {
    Step(MessageReceived{ aFrom, std::move(aMessage) });
  }

  void Step(const EntryEvent& aEvent)
  {
    std::vector<EntryAction> actions;
    StepEntry(mEntry, mNow, aEvent, actions);
    std::vector<Message> replies;
    for (EntryAction& action : actions) {
      Take(action, replies);
    }
    for (Message& reply : replies) {
      Step(MessageReceived{ kControl, std::move(reply) });
    }
  }

  void Advance(Duration aTime)
  {
    const MonoTime end = mNow + aTime;
    for (int steps = 0; NextWakeup(mEntry) <= end; ++steps) {
      BOOST_REQUIRE(steps < 10000); // fails on a timer that stays due
      mNow = std::max(mNow, NextWakeup(mEntry));
      Step(Wakeup{});
    }
    mNow = end;
  }

  void Take(EntryAction& aAction, std::vector<Message>& aReplies)
  {
    if (auto* send = std::get_if<SendMessage>(&aAction)) {
      AutoReply(send->mMessage, aReplies);
      mSent.emplace_back(send->mTo, std::move(send->mMessage));
    } else if (auto* response = std::get_if<HttpResponse>(&aAction)) {
      const uint64_t call = response->mCall.mValue;
      BOOST_REQUIRE(mResponses.count(call) + mState.count(call) == 0);
      mResponses[call] = std::move(*response);
    } else if (auto* begin = std::get_if<HttpBegin>(&aAction)) {
      BOOST_REQUIRE(mResponses.count(begin->mCall.mValue) == 0);
      mState[begin->mCall.mValue] = "begun";
      mBegins[begin->mCall.mValue] = *begin;
    } else if (auto* chunk = std::get_if<HttpChunk>(&aAction)) {
      BOOST_REQUIRE(mState[chunk->mCall.mValue] == "begun");
      mChunks[chunk->mCall.mValue] += chunk->mBytes;
    } else if (auto* end = std::get_if<HttpEnd>(&aAction)) {
      BOOST_REQUIRE(mState[end->mCall.mValue] == "begun");
      mState[end->mCall.mValue] = "ended";
    } else if (auto* abort = std::get_if<HttpAbort>(&aAction)) {
      BOOST_REQUIRE(mState[abort->mCall.mValue] == "begun");
      mState[abort->mCall.mValue] = "aborted";
    } else if (std::holds_alternative<Stopped>(aAction)) {
      mStopped = true;
    } else if (auto* call = std::get_if<StartTargetCall>(&aAction)) {
      mTargetCalls.push_back(std::move(*call));
    } else if (auto* check = std::get_if<CheckTarget>(&aAction)) {
      mChecks.push_back(*check);
    } else if (auto* cancel = std::get_if<CancelTargetCall>(&aAction)) {
      mCancelled.push_back(cancel->mCall);
    } else if (auto* order = std::get_if<OrderReply>(&aAction)) {
      mOrders.push_back(std::move(*order));
    } else if (auto* line = std::get_if<DecisionLog>(&aAction)) {
      mLines.push_back(std::move(*line));
    }
  }

  void AutoReply(const Message& aMessage, std::vector<Message>& aReplies)
  {
    if (const auto* registering = std::get_if<Register>(&aMessage)) {
      aReplies.push_back(RegisterReply{ registering->mMember.mInstance,
                                        registering->mMember.mIncarnation,
                                        Epoch(mEpoch),
                                        registering->mSentAt });
    } else if (const auto* renew = std::get_if<Renew>(&aMessage)) {
      if (mLease) {
        aReplies.push_back(RenewReply{ renew->mInstance,
                                       renew->mEpoch,
                                       RenewVerdict::eGranted,
                                       Seconds(3),
                                       renew->mRevision,
                                       renew->mSentAt });
      }
    } else if (const auto* request = std::get_if<GrantRequest>(&aMessage)) {
      if (mGrants) {
        aReplies.push_back(Grant(*request));
      }
    }
  }

  GrantReply Grant(const GrantRequest& aRequest) const
  {
    GrantReply reply;
    reply.mEpoch = aRequest.mEpoch;
    reply.mSequence = aRequest.mSequence;
    reply.mSentAt = aRequest.mSentAt;
    reply.mGrantor = 1;
    reply.mLease = Seconds(2);
    reply.mBriefLease = Millis(400);
    for (const WorkspaceDemand& ask : aRequest.mDemands) {
      WorkspaceGrant given;
      given.mWorkspace = ask.mWorkspace;
      given.mTokens = mTokens;
      given.mRetryAfter = mTokens < 1 ? Millis(2500) : Duration{};
      reply.mGrants.push_back(given);
    }
    return reply;
  }

  // Sends a caller request with the key of workspace "w"; returns its call id.
  uint64_t Http(const std::string& aMethod,
                const std::string& aPath,
                const std::string& aBody = "",
                Headers aHeaders = {})
  {
    aHeaders.emplace_back("Authorization", "Bearer " + TestKey('1'));
    return HttpWith(aMethod, aPath, aBody, std::move(aHeaders));
  }

  uint64_t HttpWith(const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aBody,
                    Headers aHeaders)
  {
    const uint64_t call = mNextCall++;
    HttpRequest request;
    request.mCall = HttpCallId(call);
    request.mMethod = aMethod;
    const size_t query = aPath.find('?');
    request.mPath = aPath.substr(0, query);
    request.mQuery = query == std::string::npos ? "" : aPath.substr(query + 1);
    request.mHeaders = std::move(aHeaders);
    request.mBody = aBody;
    Step(request);
    return call;
  }

  uint64_t Chat(bool aStream = false)
  {
    const std::string stream = aStream ? R"(,"stream":true)" : "";
    return Http("POST",
                "/v1/chat/completions",
                R"({"model":"m","messages":[{"role":"user","content":"hi"}])" +
                  stream + "}");
  }

  // Removes and returns the messages of this type sent so far.
  template<class T>
  std::vector<T> Sent()
  {
    std::vector<T> found;
    std::erase_if(mSent, [&](const auto& aSent) {
      const T* message = std::get_if<T>(&aSent.second);
      if (message != nullptr) {
        found.push_back(*message);
      }
      return message != nullptr;
    });
    return found;
  }

  Dispatch OneDispatch()
  {
    std::vector<Dispatch> sent = Sent<Dispatch>();
    BOOST_REQUIRE(sent.size() == 1u);
    return sent[0];
  }

  // Removes and returns the only control call sent, which must have this body.
  template<class T>
  std::pair<ControlCall, T> OneCall()
  {
    std::vector<ControlCall> sent = Sent<ControlCall>();
    BOOST_REQUIRE(sent.size() == 1u);
    const T* body = std::get_if<T>(&sent[0].mBody);
    BOOST_REQUIRE(body != nullptr);
    return { sent[0], *body };
  }

  void ReplyCall(const ControlCall& aCall, CallReplyBody aBody)
  {
    Receive(kControl,
            ControlCallReply{
              aCall.mGroup, aCall.mCall, aCall.mEntryEpoch, std::move(aBody) });
  }

  // Returns the address of the node with this epoch.
  PeerAddress NodeOfEpoch(Epoch aEpoch) const
  {
    for (const auto& [id, member] : mEntry.mConfig.mMembers) {
      if (member.mEpoch == aEpoch) {
        return member.mAddress;
      }
    }
    return PeerAddress("gone");
  }

  void Answer(const Dispatch& aDispatch,
              uint32_t aPart,
              const std::string& aBytes,
              bool aLast,
              uint16_t aStatus = 200)
  {
    AnswerPart part;
    part.mRequest = aDispatch.mRequest;
    part.mAttempt = aDispatch.mAttempt;
    part.mNodeEpoch = aDispatch.mNodeEpoch;
    part.mPart = aPart;
    part.mStatus = aPart == 0 ? aStatus : 0;
    part.mBytes = aBytes;
    part.mLast = aLast;
    Receive(NodeOfEpoch(aDispatch.mNodeEpoch), part);
  }

  void Refuse(const Dispatch& aDispatch,
              ErrorKind aKind,
              Outcome aOutcome,
              uint64_t aEpoch = 0)
  {
    Refusal refusal;
    refusal.mRequest = aDispatch.mRequest;
    refusal.mAttempt = aDispatch.mAttempt;
    refusal.mNodeEpoch = aEpoch == 0 ? aDispatch.mNodeEpoch : Epoch(aEpoch);
    refusal.mSequence = aDispatch.mSequence;
    refusal.mKind = aKind;
    refusal.mOutcome = aOutcome;
    refusal.mMessage = "refused by the test";
    Receive(NodeOfEpoch(aDispatch.mNodeEpoch), refusal);
  }

  void Outcomes(const Dispatch& aDispatch, AttemptState aState)
  {
    Receive(
      NodeOfEpoch(aDispatch.mNodeEpoch),
      OutcomeReply{
        aDispatch.mRequest, aDispatch.mAttempt, aDispatch.mNodeEpoch, aState });
  }

  int Status(uint64_t aCall)
  {
    return mResponses.count(aCall) == 0 ? 0 : mResponses[aCall].mStatus;
  }

  nlohmann::json Body(uint64_t aCall)
  {
    return nlohmann::json::parse(mResponses[aCall].mBody, nullptr, false);
  }

  std::string ErrorField(uint64_t aCall, const char* aField)
  {
    const nlohmann::json body = Body(aCall);
    return body.is_object() && body.contains("error")
             ? body["error"].value(aField, "")
             : "no error body";
  }

  std::string HeaderOf(uint64_t aCall, const char* aName)
  {
    return HeaderValue(mResponses[aCall].mHeaders, aName);
  }
};

} // namespace caraway
