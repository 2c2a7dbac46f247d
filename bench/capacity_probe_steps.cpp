// Runs the steps of a control replica, an entry or a node a given number of
// times, to count instructions. As in the daemons, each message is decoded
// before a step and encoded after it. Sockets, the event loop and system calls
// are not included.

#include <valgrind/callgrind.h>

#include "bench/capacity_probe.h"
#include "caraway/entry/auth.h"
#include "caraway/entry/entry.h"
#include "caraway/wire/messages.h"
#include "tests/control_holder.h"
#include "tests/node_fixture.h"

namespace caraway::probe {

namespace {

const std::string kAnswer(400, 'x');

Message
Decode(const Message& aMessage)
{
  return DecodeMessage(EncodeMessage(aMessage)).value();
}

// Control ---------------------------------------------------------------------

struct Leader
{
  ControlLink mLink{ 3 };
  std::vector<Member> mMembers;
  std::vector<Member> mEntries;

  Leader()
  {
    mLink.StartAll();
    mLink.AwaitLeader();
    for (size_t at = 0; at < 1090; ++at) {
      Member member = SampleMember(at);
      member.mRole = at < 390 ? MemberRole::eEntry : MemberRole::eNode;
      const auto leader = ControlLink::AddressOf(mLink.Leader().value());
      mLink.SendFrom(
        member.mAddress, leader, Register{ member, mLink.mNow.mMicros });
      if (at % 100 == 99) {
        mLink.Run(Millis(20));
      }
    }
    mLink.Run(Millis(200));
    const auto& view = mLink.LeaderControl().mState.mConfig.mView;
    for (const auto& [id, member] : view.mMembers) {
      mMembers.push_back(member);
      if (member.mRole == MemberRole::eEntry) {
        mEntries.push_back(member);
      }
    }
  }

  // Decodes and handles one message and encodes the answers.
  std::vector<Message> Step(const PeerAddress& aFrom, const std::string& aBytes)
  {
    std::vector<ControlAction> actions;
    StepControl(mLink.LeaderControl(),
                mLink.mNow,
                1000,
                MessageReceived{ aFrom, DecodeMessage(aBytes).value() },
                actions);
    std::vector<Message> sent;
    for (ControlAction& action : actions) {
      if (auto* send = std::get_if<SendMessage>(&action)) {
        EncodeMessage(send->mMessage);
        sent.push_back(std::move(send->mMessage));
      }
    }
    return sent;
  }
};

void
RunLeaderRenewals(size_t aCount)
{
  Leader leader;
  CALLGRIND_START_INSTRUMENTATION;
  for (size_t at = 0; at < aCount; ++at) {
    const Member& member = leader.mMembers[at % leader.mMembers.size()];
    Renew renew;
    renew.mInstance = member.mInstance;
    renew.mEpoch = member.mEpoch;
    renew.mRevision =
      leader.mLink.LeaderControl().mState.mConfig.mView.mRevision;
    renew.mSentAt = leader.mLink.mNow.mMicros;
    renew.mTarget = member.mTarget;
    leader.Step(member.mAddress, EncodeMessage(renew));
  }
  CALLGRIND_STOP_INSTRUMENTATION;
}

// Runs grant requests from 390 sessions. The first request of each session only
// learns which leader grants. Returns false if no token was granted.
bool
RunLeaderGrants(size_t aCount, size_t aSpaces)
{
  Leader leader;
  // The leader grants nothing until all tokens of an earlier leader must have
  // expired.
  leader.mLink.Run(Millis(3200));
  Control& control = leader.mLink.LeaderControl();
  for (size_t at = 0; at < aSpaces; ++at) {
    // The contract need not be in the log: the grantor reads the leader's view.
    Contract contract = SampleContract(at);
    contract.mRate = 100000;
    control.mState.mConfig.mView.mContracts[contract.mWorkspace] = contract;
  }
  uint64_t grantor = 0;
  double given = 0;
  CALLGRIND_START_INSTRUMENTATION;
  for (size_t at = 0; at < aCount; ++at) {
    const Member& member = leader.mEntries[at % 390];
    leader.mLink.mNow = leader.mLink.mNow + Micros(40);
    GrantRequest request;
    request.mInstance = member.mInstance;
    request.mEpoch = member.mEpoch;
    request.mSequence = at + 1;
    request.mSentAt = leader.mLink.mNow.mMicros;
    request.mGrantor = grantor;
    for (size_t space = 0; space < aSpaces; ++space) {
      request.mDemands.push_back(
        { SampleContract(space).mWorkspace, 0, 0, 2, 0 });
    }
    for (const Message& sent :
         leader.Step(member.mAddress, EncodeMessage(request))) {
      if (const auto* reply = std::get_if<GrantReply>(&sent)) {
        grantor = reply->mGrantor;
        for (const WorkspaceGrant& one : reply->mGrants) {
          given += one.mTokens;
        }
      }
    }
  }
  CALLGRIND_STOP_INSTRUMENTATION;
  return given > 0;
}

// Runs configuration polls at a follower that has no change to send: the
// ConfigFetch and its answer 1 s later. aCount is rounded down to a multiple of
// the number of members.
bool
RunFollowerPolls(size_t aCount)
{
  Leader group;
  const size_t follower = (group.mLink.Leader().value() + 1) % 3;
  Control& control = *group.mLink.mReplicas[follower].mControl;
  const size_t rounds = aCount / group.mMembers.size();
  size_t answered = 0;
  MonoTime now = group.mLink.mNow;
  ConfigFetch fetch;
  fetch.mHeld = control.mState.mConfig.mView.mRevision;
  const std::string bytes = EncodeMessage(fetch);
  auto step = [&](const ControlEvent& aEvent) {
    std::vector<ControlAction> actions;
    StepControl(control, now, 1000, aEvent, actions);
    for (const ControlAction& action : actions) {
      if (const auto* send = std::get_if<SendMessage>(&action)) {
        EncodeMessage(send->mMessage);
        answered += std::holds_alternative<ConfigDelta>(send->mMessage) ? 1 : 0;
      }
    }
  };
  CALLGRIND_START_INSTRUMENTATION;
  for (size_t round = 0; round < rounds; ++round) {
    for (const Member& member : group.mMembers) {
      step(MessageReceived{ member.mAddress, DecodeMessage(bytes).value() });
    }
    now = now + Millis(1001);
    step(Wakeup{});
  }
  CALLGRIND_STOP_INSTRUMENTATION;
  return answered == rounds * group.mMembers.size();
}

// Runs three replicas that only exchange heartbeats, for aSeconds of virtual
// time.
void
RunIdleGroup(size_t aSeconds)
{
  ControlLink link(3);
  link.StartAll();
  link.AwaitLeader();
  CALLGRIND_START_INSTRUMENTATION;
  link.Run(Seconds(static_cast<int64_t>(aSeconds)));
  CALLGRIND_STOP_INSTRUMENTATION;
}

// Entry -----------------------------------------------------------------------

std::string
KeyText()
{
  return "ck_" + std::string(16, '1') + "_" + std::string(64, '1');
}

struct EntryProbe
{
  Entry mEntry;
  MonoTime mNow{ 1000000 };
  uint64_t mRevision = 0;
  uint64_t mDone = 0;

  EntryProbe()
  {
    EntrySettings settings;
    settings.mInstance = InstanceId("entry-100");
    settings.mAddress = PeerAddress("10.0.0.9:1");
    settings.mZone = ZoneId("vest-a");
    settings.mControl = { PeerAddress("10.0.0.1:1") };
    mEntry = MakeEntry(settings, 7, mNow);
    Contract contract = SampleContract(1);
    Change(SetContract{ contract });
    ApiKey key = SampleKey(1);
    key.mId = KeyId(KeyText().substr(0, 19));
    key.mDigest = DigestOfKey(KeyText());
    Change(CreateKey{ key });
    for (size_t at = 0; at < 47; ++at) {
      Change(SetMember{ SampleMember(at) });
    }
    Step(Wakeup{});
  }

  void Change(ConfigChange aChange)
  {
    ConfigDelta delta;
    delta.mFrom = Revision(mRevision);
    delta.mTo = Revision(++mRevision);
    delta.mChanges = { { delta.mTo, std::move(aChange) } };
    Step(MessageReceived{ PeerAddress("10.0.0.1:1"), std::move(delta) });
  }

  void Step(const EntryEvent& aEvent)
  {
    std::vector<EntryAction> actions;
    StepEntry(mEntry, mNow, aEvent, actions);
    for (const EntryAction& action : actions) {
      if (const auto* send = std::get_if<SendMessage>(&action)) {
        Answer(send->mTo, Decode(send->mMessage));
      } else if (const auto* response = std::get_if<HttpResponse>(&action)) {
        mDone += response->mStatus == 200 ? 1 : 0;
      }
    }
  }

  void Hear(const PeerAddress& aFrom, const Message& aMessage)
  {
    Step(MessageReceived{ aFrom, Decode(aMessage) });
  }

  void Answer(const PeerAddress& aFrom, const Message& aMessage)
  {
    if (const auto* one = std::get_if<Register>(&aMessage)) {
      Hear(aFrom,
           RegisterReply{ one->mMember.mInstance,
                          one->mMember.mIncarnation,
                          Epoch(9),
                          one->mSentAt });
    } else if (const auto* renew = std::get_if<Renew>(&aMessage)) {
      Hear(aFrom,
           RenewReply{ renew->mInstance,
                       renew->mEpoch,
                       RenewVerdict::eGranted,
                       Seconds(3),
                       renew->mRevision,
                       renew->mSentAt });
    } else if (const auto* grant = std::get_if<GrantRequest>(&aMessage)) {
      GrantReply reply;
      reply.mEpoch = grant->mEpoch;
      reply.mSequence = grant->mSequence;
      reply.mSentAt = grant->mSentAt;
      reply.mGrantor = 1;
      reply.mLease = Seconds(2);
      for (const WorkspaceDemand& ask : grant->mDemands) {
        reply.mGrants.push_back({ ask.mWorkspace, 10 });
      }
      Hear(aFrom, reply);
    } else if (const auto* dispatch = std::get_if<Dispatch>(&aMessage)) {
      AnswerPart part;
      part.mRequest = dispatch->mRequest;
      part.mAttempt = dispatch->mAttempt;
      part.mNodeEpoch = dispatch->mNodeEpoch;
      part.mStatus = 200;
      part.mBytes = kAnswer;
      part.mLast = true;
      Hear(aFrom, part);
    } else if (std::holds_alternative<ConfigFetch>(aMessage)) {
      ConfigDelta delta; // the reply to a poll without changes
      delta.mFrom = delta.mTo = Revision(mRevision);
      Hear(aFrom, delta);
    }
  }

  void Pass(Duration aTime)
  {
    for (const MonoTime end = mNow + aTime; mNow < end;) {
      mNow = std::min(end, std::max(mNow + Millis(1), NextWakeup(mEntry)));
      Step(Wakeup{});
    }
  }
};

void
RunIdleEntry(size_t aSeconds)
{
  EntryProbe probe;
  probe.Pass(Seconds(5));
  CALLGRIND_START_INSTRUMENTATION;
  probe.Pass(Seconds(static_cast<int64_t>(aSeconds)));
  CALLGRIND_STOP_INSTRUMENTATION;
}

bool
RunEntryRequests(size_t aCount)
{
  EntryProbe probe;
  probe.Pass(Seconds(5));
  CALLGRIND_START_INSTRUMENTATION;
  for (size_t at = 0; at < aCount; ++at) {
    HttpRequest request;
    request.mCall = HttpCallId(at + 1);
    request.mMethod = "POST";
    request.mPath = "/v1/chat/completions";
    request.mHeaders = { { "Authorization", "Bearer " + KeyText() },
                         { "Content-Type", "application/json" } };
    request.mBody =
      R"({"model":"tekst-model","messages":[{"role":"user","content":")" +
      kAnswer + R"("}]})";
    probe.Step(request);
    probe.Pass(Millis(72)); // 5,400 requests/s over 390 entries
  }
  CALLGRIND_STOP_INSTRUMENTATION;
  return probe.mDone == aCount;
}

// Node ------------------------------------------------------------------------

bool
RunNodeRequests(size_t aCount)
{
  NodeFixture node(8);
  node.MakeReady();
  size_t started = 0;
  CALLGRIND_START_INSTRUMENTATION;
  for (size_t at = 0; at < aCount; ++at) {
    Dispatch dispatch = node.Call("req_" + std::to_string(at));
    dispatch.mBody = kAnswer;
    const Message message = Decode(dispatch);
    const TargetCallId call = node.Run(std::get<Dispatch>(message));
    started += call == TargetCallId() ? 0 : 1;
    node.Answer(call, kAnswer);
    for (const AnswerPart& part : node.Sent<AnswerPart>()) {
      EncodeMessage(part);
    }
  }
  CALLGRIND_STOP_INSTRUMENTATION;
  return started == aCount;
}

void
RunIdleNode(size_t aSeconds)
{
  NodeFixture node(8);
  node.MakeReady();
  CALLGRIND_START_INSTRUMENTATION;
  node.Pass(Seconds(static_cast<int64_t>(aSeconds)));
  CALLGRIND_STOP_INSTRUMENTATION;
}

} // namespace

bool
RunSteps(const std::string& aName, size_t aCount)
{
  if (aName == "leader_renew") {
    RunLeaderRenewals(aCount);
  } else if (aName == "leader_grant_1") {
    return RunLeaderGrants(aCount, 1);
  } else if (aName == "leader_grant_14") {
    return RunLeaderGrants(aCount, 14);
  } else if (aName == "group_idle_second") {
    RunIdleGroup(aCount);
  } else if (aName == "follower_poll") {
    return RunFollowerPolls(aCount);
  } else if (aName == "entry_idle_second") {
    RunIdleEntry(aCount);
  } else if (aName == "entry_request") {
    return RunEntryRequests(aCount);
  } else if (aName == "node_idle_second") {
    RunIdleNode(aCount);
  } else if (aName == "node_request") {
    return RunNodeRequests(aCount);
  } else {
    return false;
  }
  return true;
}

} // namespace caraway::probe
