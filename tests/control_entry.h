#pragma once
// A simulated entry on a ControlLink that calls the leader.

#include "tests/control_link.h"

namespace caraway {

struct ControlEntry
{
  ControlLink& mLink;
  PeerAddress mAddress;
  Epoch mEpoch; // none until control has registered the entry
  std::vector<ControlCallReply> mReplies; // to the last call
  uint64_t mCalls = 0;

  explicit ControlEntry(ControlLink& aLink, const char* aAddress = "10.0.1.1:1")
    : mLink(aLink)
    , mAddress(aAddress)
  {
    mLink.mPeers[mAddress] = [this](const PeerAddress&,
                                    const Message& aMessage) {
      if (const auto* registered = std::get_if<RegisterReply>(&aMessage)) {
        mEpoch = registered->mEpoch;
      } else if (const auto* reply = std::get_if<ControlCallReply>(&aMessage)) {
        mReplies.push_back(*reply);
      }
    };
  }
  ControlEntry(const ControlEntry&) = delete;
  ControlEntry& operator=(const ControlEntry&) = delete;

  void SendToLeader(Message aMessage)
  {
    if (const std::optional<size_t> leader = mLink.Leader()) {
      mLink.SendFrom(
        mAddress, ControlLink::AddressOf(*leader), std::move(aMessage));
    }
  }

  void RegisterAtLeader()
  {
    Register entry;
    entry.mMember.mInstance = InstanceId("entry-1");
    entry.mMember.mIncarnation = 1;
    entry.mMember.mAddress = mAddress;
    SendToLeader(entry);
  }

  // Nullopt if the leader does not reply at once.
  std::optional<CallReplyBody> Call(CallBody aBody)
  {
    RegisterAtLeader(); // the session ends without renewals
    mLink.Run(Millis(20));
    mReplies.clear();
    ControlCall call;
    call.mCall = ++mCalls;
    call.mEntry = InstanceId("entry-1");
    call.mEntryEpoch = mEpoch;
    call.mBody = std::move(aBody);
    SendToLeader(call);
    mLink.Run(Millis(10));
    return mReplies.empty() ? std::nullopt
                            : std::optional(mReplies.front().mBody);
  }
};

} // namespace caraway
