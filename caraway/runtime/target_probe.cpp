// Probes of targets: connections that are opened only to see whether they are
// accepted.

#include <cerrno>

#include "caraway/runtime/socket_address.h"
#include "caraway/runtime/target_client.h"

namespace caraway {

namespace {

// A machine in the same region answers within a few milliseconds.
constexpr int kProbeTimeoutMicros = 250000;

} // namespace

void
TargetClient::Check(const CheckTarget& aCheck)
{
  const absl::StatusOr<SocketAddress> address =
    ParseSocketAddress(aCheck.mAddress);
  auto owned = std::make_unique<Probe>();
  Probe& probe = *owned;
  probe.mClient = this;
  probe.mCheck = aCheck.mCheck;
  mProbes[aCheck.mCheck] = std::move(owned);
  probe.mBuffer.reset(
    bufferevent_socket_new(mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE));
  if (!address.ok() || !probe.mBuffer) {
    FinishProbe(aCheck.mCheck, TargetReach::eSilent);
    return;
  }
  bufferevent_setcb(
    probe.mBuffer.get(), nullptr, nullptr, &TargetClient::OnProbeEvent, &probe);
  const timeval patience{ 0, kProbeTimeoutMicros };
  bufferevent_set_timeouts(probe.mBuffer.get(), &patience, &patience);
  bufferevent_enable(probe.mBuffer.get(), EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(
        probe.mBuffer.get(),
        reinterpret_cast<const sockaddr*>(&address->mStorage),
        static_cast<int>(address->mLength)) != 0) {
    FinishProbe(aCheck.mCheck, TargetReach::eSilent);
  }
}

void
TargetClient::OnProbeEvent(bufferevent*, short aEvents, void* aProbe)
{
  const auto* probe = static_cast<const Probe*>(aProbe);
  TargetReach reach = TargetReach::eSilent;
  if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
    reach = TargetReach::eAccepts;
  } else if ((aEvents & BEV_EVENT_ERROR) != 0) {
    const int error = EVUTIL_SOCKET_ERROR();
    reach = error == ECONNREFUSED || error == ECONNRESET ? TargetReach::eRefuses
                                                         : TargetReach::eSilent;
  }
  probe->mClient->FinishProbe(probe->mCheck, reach);
}

void
TargetClient::FinishProbe(uint64_t aCheck, TargetReach aReach)
{
  auto known = mProbes.find(aCheck);
  if (known == mProbes.end()) {
    return;
  }
  const std::shared_ptr<Probe> probe = std::move(known->second);
  mProbes.erase(known);
  // Deferred: one of the connection's callbacks may be running, and the role
  // gets no event while its actions are still being carried out.
  mLoop.Defer([this, probe, aReach] {
    probe->mBuffer.reset();
    mOnChecked.emit({ probe->mCheck, aReach });
  });
}

} // namespace caraway
