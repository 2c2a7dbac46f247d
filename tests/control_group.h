#pragma once
// Fixture of control tests: three replicas on a ControlLink, and an entry that
// reports targets and sends orders.

#include <functional>

#include "tests/control_link.h"

namespace caraway {

inline const PeerAddress kGroupEntry("10.0.1.1:1");

struct ControlGroup
{
  ControlLink mLink{ 3 };
  // Gets what the entry receives, but for replies to its registration.
  std::function<void(const Message&)> mOnMessage;
  Epoch mEpoch; // of the entry's registration
  uint64_t mCalls = 0;

  ControlGroup()
  {
    mLink.StartAll();
    BOOST_REQUIRE(mLink.AwaitLeader());
    mLink.mPeers[kGroupEntry] = [this](const PeerAddress&,
                                       const Message& aMessage) {
      if (const auto* session = std::get_if<RegisterReply>(&aMessage)) {
        mEpoch = session->mEpoch;
      } else if (mOnMessage) {
        mOnMessage(aMessage);
      }
    };
    Register();
  }

  // Registers the entry, again if it is registered already.
  void Register()
  {
    caraway::Register entry;
    entry.mMember.mInstance = InstanceId("entry-1");
    entry.mMember.mIncarnation = 1;
    entry.mMember.mAddress = kGroupEntry;
    mEpoch = {};
    SendToLeader(entry);
    mLink.Run(Millis(200));
    BOOST_REQUIRE(!mEpoch.IsNone());
  }

  PeerAddress LeaderAddress()
  {
    return ControlLink::AddressOf(mLink.Leader().value());
  }

  void SendToLeader(const Message& aMessage)
  {
    mLink.SendFrom(kGroupEntry, LeaderAddress(), aMessage);
  }

  // Sends an order to the leader and lets aTime pass.
  void SendCall(CallBody aBody, Duration aTime)
  {
    ControlCall call;
    call.mCall = ++mCalls;
    call.mEntry = InstanceId("entry-1");
    call.mEntryEpoch = mEpoch;
    call.mBody = std::move(aBody);
    SendToLeader(call);
    mLink.Run(aTime);
  }

  static Target TargetOf(const char* aId,
                         const char* aVersion,
                         const ServiceId& aService)
  {
    Target target;
    target.mId = TargetId(aId);
    target.mService = aService;
    target.mAddress = std::string("10.0.2.1:") + aId;
    target.mVersion = aVersion;
    target.mStartedAt = 1;
    return target;
  }

  void ChangeLeader()
  {
    mLink.Kill(mLink.Leader().value());
    AwaitLeader();
  }

  // All replicas lose power and start again.
  void LosePower()
  {
    for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
      mLink.Kill(at);
    }
    mLink.StartAll();
    AwaitLeader();
  }

  void AwaitLeader()
  {
    BOOST_REQUIRE(mLink.AwaitLeader());
    mLink.Run(Millis(200));
  }
};

} // namespace caraway
