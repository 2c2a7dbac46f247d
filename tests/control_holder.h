#pragma once
// A simulated member on a ControlLink: registers, fetches the configuration and
// renews its lease.

#include "tests/control_link.h"

namespace caraway {

struct LinkHolder
{
  ControlLink* mLink = nullptr;
  Member mMember;
  size_t mReplica = 0; // where it sends to; changes on NotLeader
  size_t mFetchFrom = 0;
  Epoch mEpoch;
  ConfigView mView;
  std::vector<ConfigChange> mParts; // of a snapshot, received so far
  Revision mPartRevision;
  MonoTime mLeaseEnd;
  uint64_t mRegistrations = 0;
  bool mSilent = false; // simulates a hung process: receives and sends nothing

  void Begin()
  {
    mLink->mPeers[mMember.mAddress] = [this](const PeerAddress&,
                                             const Message& aMessage) {
      if (!mSilent) {
        std::visit([this](const auto& aOne) { On(aOne); }, aMessage);
      }
    };
    Tick();
  }

  void Send(Message aMessage)
  {
    if (!mSilent) {
      mLink->SendFrom(mMember.mAddress,
                      ControlLink::AddressOf(mReplica),
                      std::move(aMessage));
    }
  }

  void Tick()
  {
    if (mEpoch.IsNone()) {
      Send(Register{ mMember, mLink->mNow.mMicros });
    } else {
      SendRenew();
    }
    SendFetch();
    mLink->At(mLink->mNow + Seconds(1), [this] { Tick(); });
  }

  void SendRenew()
  {
    Renew renew;
    renew.mInstance = mMember.mInstance;
    renew.mEpoch = mEpoch;
    renew.mRevision = mView.mRevision;
    renew.mSentAt = mLink->mNow.mMicros;
    renew.mTarget = mMember.mTarget;
    renew.mLeaseLeft = std::max(Duration{}, mLeaseEnd - mLink->mNow);
    Send(std::move(renew));
  }

  void SendFetch()
  {
    ConfigFetch fetch;
    fetch.mHeld = mView.mRevision;
    fetch.mScope = mMember.mRole == MemberRole::eEntry ? ConfigScope::eAll
                                                       : ConfigScope::eNodeOnly;
    fetch.mSnapshotOffset = mParts.size();
    fetch.mSnapshotRevision = mPartRevision;
    if (!mSilent) {
      mLink->SendFrom(
        mMember.mAddress, ControlLink::AddressOf(mFetchFrom), std::move(fetch));
    }
  }

  template<class T>
  void On(const T&)
  {
  }
  void On(const RegisterReply& aReply)
  {
    if (mEpoch != aReply.mEpoch) {
      mEpoch = aReply.mEpoch;
      ++mRegistrations;
      SendRenew();
    }
  }
  void On(const RenewReply& aReply)
  {
    if (aReply.mVerdict == RenewVerdict::eUnknownSession) {
      mEpoch = {};
    } else if (aReply.mVerdict == RenewVerdict::eGranted) {
      mLeaseEnd =
        std::max(mLeaseEnd, HolderLeaseEnd({ aReply.mSentAt }, aReply.mLease));
    }
  }
  void On(const NotLeader& aReply)
  {
    for (size_t at = 0; at < mLink->mReplicas.size(); ++at) {
      if (ControlLink::AddressOf(at) == aReply.mLeader) {
        mReplica = at;
        return;
      }
    }
    mReplica = (mReplica + 1) % mLink->mReplicas.size();
  }
  void On(const ConfigDelta& aDelta)
  {
    const Revision before = mView.mRevision;
    if (aDelta.mFrom > before || aDelta.mTo <= before) {
      return;
    }
    for (const RevisedChange& change : aDelta.mChanges) {
      ApplyChange(mView, change);
    }
    mView.mRevision = aDelta.mTo;
    Applied();
  }
  void On(const ConfigSnapshotPart& aPart)
  {
    if (aPart.mRevision <= mView.mRevision) {
      return;
    }
    if (aPart.mOffset == 0) {
      mParts.clear();
      mPartRevision = aPart.mRevision;
    }
    if (aPart.mRevision != mPartRevision || aPart.mOffset != mParts.size()) {
      return;
    }
    mParts.insert(mParts.end(), aPart.mChanges.begin(), aPart.mChanges.end());
    if (!aPart.mLast) {
      SendFetch();
      return;
    }
    (void)ApplySnapshot(mView, aPart.mRevision, std::exchange(mParts, {}));
    mPartRevision = {};
    Applied();
  }
  void Applied()
  {
    if (!mEpoch.IsNone()) {
      SendRenew();
    }
    SendFetch();
  }
};

inline LinkHolder
MakeHolder(ControlLink& aLink, size_t aNumber, const std::string& aZone)
{
  LinkHolder holder;
  holder.mLink = &aLink;
  holder.mMember.mInstance = InstanceId("entry-" + std::to_string(aNumber));
  holder.mMember.mIncarnation = 7000 + aNumber;
  holder.mMember.mAddress =
    PeerAddress("10.1." + std::to_string(aNumber / 250) + "." +
                std::to_string(aNumber % 250) + ":1");
  holder.mMember.mZone = ZoneId(aZone);
  return holder;
}

} // namespace caraway
