// Frames are a 4-byte length (little-endian), then the payload.

#include "caraway/runtime/peer_connection.h"

#include <algorithm>
#include <cstring>

#include "caraway/runtime/logging.h"
#include "caraway/runtime/peer_transport.h"
#include "caraway/runtime/socket_address.h"
#include "caraway/wire/messages.h"

namespace caraway {

namespace {

constexpr size_t kHeaderBytes = 4;
// Longest first frame, an address: what is held of a process that is no peer.
constexpr size_t kMaxAddressBytes = 256;
constexpr Duration kIdleAfter = Seconds(2);
constexpr int64_t kIdleFactor = 6;

} // namespace

PeerConnection::PeerConnection(PeerTransport& aTransport,
                               BufferEventPtr aBuffer,
                               PeerAddress aPeer,
                               MonoTime aNow)
  : mTransport(aTransport)
  , mBuffer(std::move(aBuffer))
  , mPeer(std::move(aPeer))
  , mDialled(!mPeer.Empty())
  , mEstablished(!mDialled)
  , mDialledAt(aNow)
  , mLastReceived(aNow)
  , mLastSent(aNow)
  , mLastMessage(aNow)
  , mActiveSince(aNow)
{
}

void
PeerConnection::Listen()
{
  bufferevent_setcb(mBuffer.get(),
                    &PeerConnection::OnReadable,
                    nullptr,
                    &PeerConnection::OnEvent,
                    this);
  // Buffer at most one frame of the maximum size, whatever the peer sends.
  bufferevent_setwatermark(
    mBuffer.get(), EV_READ, 0, MaxFrame() + kHeaderBytes);
  bufferevent_enable(mBuffer.get(), EV_READ | EV_WRITE);
}

size_t
PeerConnection::MaxFrame() const
{
  return mPeer.Empty() ? kMaxAddressBytes : kMaxFrameBytes;
}

void
PeerConnection::Start(const PeerAddress& aSelf)
{
  Listen();
  SendFrame(aSelf.mValue, kMaxFrameBytes);
}

void
PeerConnection::TakeOverFrom(PeerConnection& aOld)
{
  mLastReceived = aOld.mLastReceived;
  mLastSent = aOld.mLastSent;
  mLastMessage = aOld.mLastMessage;
  mActiveSince = aOld.mActiveSince;
  aOld.mClosing = true;
  // The first frame is still queued, since the old connection could send
  // nothing.
  evbuffer_add_buffer(bufferevent_get_output(mBuffer.get()),
                      bufferevent_get_output(aOld.mBuffer.get()));
  Listen();
}

bool
PeerConnection::ConnectTimedOut(MonoTime aNow, Duration aPatience) const
{
  return !mEstablished && !mClosing && aNow - mDialledAt >= aPatience;
}

bool
PeerConnection::SendFrame(std::string_view aPayload, size_t aMaxQueued)
{
  evbuffer* output = bufferevent_get_output(mBuffer.get());
  if (mClosing || evbuffer_get_length(output) + aPayload.size() > aMaxQueued) {
    return false;
  }
  const auto length = static_cast<uint32_t>(aPayload.size());
  bufferevent_write(mBuffer.get(), &length, kHeaderBytes);
  bufferevent_write(mBuffer.get(), aPayload.data(), aPayload.size());
  mLastSent = mTransport.mLoop.Now();
  if (!aPayload.empty()) {
    RecordMessage(mLastSent);
  }
  return true;
}

void
PeerConnection::RecordMessage(MonoTime aNow)
{
  if (IsIdleAt(aNow)) {
    mActiveSince = aNow;
  }
  mLastMessage = aNow;
}

bool
PeerConnection::IsIdleAt(MonoTime aNow) const
{
  return aNow - mLastMessage > kIdleAfter;
}

bool
PeerConnection::Heartbeat(MonoTime aNow, Duration aInterval, Duration aSilence)
{
  const int64_t factor = IsIdleAt(aNow) ? kIdleFactor : 1;
  // The short silence timeout counts from mActiveSince: before the first
  // message after an idle period, the peer had only to send at the long
  // interval.
  const MonoTime heard =
    factor == 1 ? std::max(mLastReceived, mActiveSince) : mLastReceived;
  if (aNow - heard > aSilence * factor) {
    return false;
  }
  if (aNow - mLastSent >= aInterval * factor) {
    // Also if the queue is full, since the peer closes a silent connection.
    SendFrame({}, SIZE_MAX);
  }
  return true;
}

void
PeerConnection::OnReadable(bufferevent*, void* aConnection)
{
  auto* connection = static_cast<PeerConnection*>(aConnection);
  if (!connection->mClosing && !connection->ReadFrames()) {
    connection->mClosing = true;
    connection->mTransport.HandleClosed(connection);
  }
}

void
PeerConnection::OnEvent(bufferevent*, short aWhat, void* aConnection)
{
  auto* connection = static_cast<PeerConnection*>(aConnection);
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    connection->mEstablished = true;
  }
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0 &&
      !connection->mClosing) {
    connection->mClosing = true;
    connection->mTransport.HandleClosed(connection);
  }
}

bool
PeerConnection::ReadFrames()
{
  mLastReceived = mTransport.mLoop.Now();
  evbuffer* input = bufferevent_get_input(mBuffer.get());
  uint32_t length = 0;
  while (evbuffer_copyout(input, &length, kHeaderBytes) ==
         static_cast<ev_ssize_t>(kHeaderBytes)) {
    if (length > MaxFrame()) {
      ++mTransport.mCounters.mMalformed;
      return false;
    }
    if (evbuffer_get_length(input) < kHeaderBytes + length) {
      return true;
    }
    evbuffer_drain(input, kHeaderBytes);
    const unsigned char* bytes =
      evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
    const std::string_view payload(reinterpret_cast<const char*>(bytes),
                                   length);
    if (!HandleFrame(payload)) {
      return false;
    }
    evbuffer_drain(input, length);
  }
  return true;
}

bool
PeerConnection::HandleFrame(std::string_view aPayload)
{
  PeerCounters& counters = mTransport.mCounters;
  counters.mReceivedBytes += kHeaderBytes + aPayload.size();
  if (mPeer.Empty()) {
    const std::string address(aPayload);
    if (!ParseSocketAddress(address).ok()) {
      ++counters.mMalformed;
      return false;
    }
    mPeer = PeerAddress(address);
    bufferevent_setwatermark(
      mBuffer.get(), EV_READ, 0, MaxFrame() + kHeaderBytes);
    mTransport.OnPeerIdentified(this, mPeer);
    return true;
  }
  if (aPayload.empty() || (mDialled && aPayload == mPeer.mValue)) {
    return true; // heartbeat, or the peer's address on a dialled connection
  }
  auto message = DecodeMessage(aPayload);
  if (!message.ok()) {
    ++counters.mMalformed;
    WriteLog(LogLevel::eWarning,
             "peer_frame_refused",
             { { "peer", mPeer.mValue },
               { "error", std::string(message.status().message()) } });
    return false;
  }
  ++counters.mReceivedMessages;
  RecordMessage(mLastReceived);
  mTransport.mOnMessage.emit(mPeer, *message);
  return !mClosing;
}

} // namespace caraway
