// Listening, dialling, sending and heartbeats of the peer transport.

#include "caraway/runtime/peer_transport.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <vector>

#include <event2/bufferevent_ssl.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "caraway/base/error.h"
#include "caraway/runtime/logging.h"
#include "caraway/runtime/peer_connection.h"
#include "caraway/runtime/socket_address.h"

namespace caraway {

namespace {

constexpr int kBacklog = 1024;
constexpr size_t kMaxDatagramBytes = 1400;

absl::Status
BindError(const std::string& aAddress)
{
  return MakeError(
    ErrorKind::eUnavailable,
    absl::StrCat("cannot listen on ", aAddress, ": ", std::strerror(errno)),
    "choose a free port and an address of this instance");
}

} // namespace

PeerTransport::PeerTransport(Loop& aLoop, PeerSettings aSettings)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mHeartbeatTimer(aLoop, [this] { Heartbeat(); })
{
}

PeerTransport::~PeerTransport()
{
  if (mDatagramSocket >= 0) {
    mDatagramEvent.reset();
    evutil_closesocket(mDatagramSocket);
  }
}

absl::Status
PeerTransport::ReloadTls()
{
  if (!TlsEnabled(mSettings.mTls)) {
    return absl::OkStatus();
  }
  auto server = MakeTlsContext(mSettings.mTls, TlsMode::eMutualServer);
  if (!server.ok()) {
    return server.status();
  }
  auto client = MakeTlsContext(mSettings.mTls, TlsMode::eMutualClient);
  if (!client.ok()) {
    return client.status();
  }
  mServerTls = std::move(*server);
  mClientTls = std::move(*client);
  return absl::OkStatus();
}

absl::Status
PeerTransport::Listen()
{
  if (auto status = ReloadTls(); !status.ok()) {
    return status;
  }
  auto address = ParseSocketAddress(mSettings.mListen);
  if (!address.ok()) {
    return address.status();
  }
  mListener.reset(evconnlistener_new_bind(
    mLoop.Base(),
    &PeerTransport::OnAccept,
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
    kBacklog,
    reinterpret_cast<const sockaddr*>(&address->mStorage),
    static_cast<int>(address->mLength)));
  if (!mListener) {
    return BindError(mSettings.mListen);
  }
  const std::string bound =
    BoundAddress(evconnlistener_get_fd(mListener.get()));
  if (mSettings.mAddress.Empty()) {
    mSettings.mAddress = PeerAddress(bound);
  }
  auto datagramAddress = ParseSocketAddress(bound);
  mDatagramSocket = socket(datagramAddress->mStorage.ss_family,
                           SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                           0);
  if (mDatagramSocket < 0 ||
      bind(mDatagramSocket,
           reinterpret_cast<const sockaddr*>(&datagramAddress->mStorage),
           datagramAddress->mLength) != 0) {
    return BindError(bound);
  }
  mDatagramEvent.reset(event_new(mLoop.Base(),
                                 mDatagramSocket,
                                 EV_READ | EV_PERSIST,
                                 &PeerTransport::OnDatagram,
                                 this));
  event_add(mDatagramEvent.get(), nullptr);
  mHeartbeatTimer.ArmAt(mLoop.Now() + mSettings.mHeartbeat);
  return absl::OkStatus();
}

BufferEventPtr
PeerTransport::MakeBufferEvent(evutil_socket_t aSocket, bool aClient)
{
  const int options = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;
  if (!TlsEnabled(mSettings.mTls)) {
    return BufferEventPtr(
      bufferevent_socket_new(mLoop.Base(), aSocket, options));
  }
  SSL* ssl = SSL_new(aClient ? mClientTls.get() : mServerTls.get());
  BufferEventPtr buffer(bufferevent_openssl_socket_new(
    mLoop.Base(),
    aSocket,
    ssl,
    aClient ? BUFFEREVENT_SSL_CONNECTING : BUFFEREVENT_SSL_ACCEPTING,
    options));
  bufferevent_openssl_set_allow_dirty_shutdown(buffer.get(), 1);
  return buffer;
}

void
PeerTransport::OnAccept(evconnlistener*,
                        evutil_socket_t aSocket,
                        sockaddr*,
                        int,
                        void* aTransport)
{
  auto* transport = static_cast<PeerTransport*>(aTransport);
  if (transport->mConnections.size() >= transport->mSettings.mMaxConnections) {
    evutil_closesocket(aSocket);
    return;
  }
  SetNoDelay(aSocket);
  auto connection =
    std::make_unique<PeerConnection>(*transport,
                                     transport->MakeBufferEvent(aSocket, false),
                                     PeerAddress(),
                                     transport->mLoop.Now());
  connection->Start(transport->mSettings.mAddress);
  transport->mConnections.insert(std::move(connection));
}

std::unique_ptr<PeerConnection>
PeerTransport::StartConnecting(const PeerAddress& aTo)
{
  auto address = ParseSocketAddress(aTo.mValue);
  if (!address.ok()) {
    return nullptr;
  }
  BufferEventPtr buffer = MakeBufferEvent(-1, true);
  if (bufferevent_socket_connect(
        buffer.get(),
        reinterpret_cast<sockaddr*>(&address->mStorage),
        static_cast<int>(address->mLength)) != 0) {
    return nullptr;
  }
  SetNoDelay(bufferevent_getfd(buffer.get()));
  return std::make_unique<PeerConnection>(
    *this, std::move(buffer), aTo, mLoop.Now());
}

PeerConnection*
PeerTransport::RegisterDialled(std::unique_ptr<PeerConnection> aDialled)
{
  PeerConnection* dialled = aDialled.get();
  mByPeer[dialled->Peer()] = dialled;
  mConnections.insert(std::move(aDialled));
  return dialled;
}

PeerConnection*
PeerTransport::Dial(const PeerAddress& aTo)
{
  if (mConnections.size() >= mSettings.mMaxConnections) {
    return nullptr;
  }
  auto connection = StartConnecting(aTo);
  if (!connection) {
    return nullptr;
  }
  connection->Start(mSettings.mAddress);
  return RegisterDialled(std::move(connection));
}

PeerConnection*
PeerTransport::Redial(PeerConnection* aStuck)
{
  auto connection = StartConnecting(aStuck->Peer());
  if (!connection) {
    return aStuck;
  }
  connection->TakeOverFrom(*aStuck);
  PeerConnection* dialled = RegisterDialled(std::move(connection));
  HandleClosed(aStuck); // no longer the current one: emits no mOnPeerLost
  return dialled;
}

void
PeerTransport::OnPeerIdentified(PeerConnection* aConnection,
                                const PeerAddress& aPeer)
{
  // If both sides dialled at once, each keeps sending on the connection that it
  // dialled. A new accepted connection replaces an older accepted one, since a
  // peer that dials again has given up on the old connection.
  auto known = mByPeer.find(aPeer);
  if (known == mByPeer.end() || !known->second->Dialled()) {
    mByPeer[aPeer] = aConnection;
  } else if (known->second->ConnectTimedOut(mLoop.Now(),
                                            mSettings.mConnectTimeout)) {
    Redial(known->second); // the peer is running now
  }
}

void
PeerTransport::HandleClosed(PeerConnection* aConnection)
{
  const PeerAddress peer = aConnection->Peer();
  auto known = mByPeer.find(peer);
  const bool current = known != mByPeer.end() && known->second == aConnection;
  if (current) {
    mByPeer.erase(known);
  }
  for (auto it = mConnections.begin(); it != mConnections.end(); ++it) {
    if (it->get() == aConnection) {
      // Freed from the loop, since one of its callbacks may be running.
      auto node = mConnections.extract(it);
      mLoop.Defer(
        [held = std::shared_ptr<PeerConnection>(std::move(node.value()))] {});
      break;
    }
  }
  if (current) {
    mOnPeerLost.emit(peer);
  }
}

void
PeerTransport::Send(const PeerAddress& aTo, const Message& aMessage)
{
  const std::string payload = EncodeMessage(aMessage);
  if (payload.size() > kMaxFrameBytes) {
    ++mCounters.mDropped;
    WriteLog(LogLevel::eError,
             "message_too_large",
             { { "message", std::string(MessageName(aMessage)) },
               { "bytes", absl::StrCat(payload.size()) } });
    return;
  }
  auto known = mByPeer.find(aTo);
  PeerConnection* connection =
    known != mByPeer.end() ? known->second : Dial(aTo);
  if (connection != nullptr &&
      connection->ConnectTimedOut(mLoop.Now(), mSettings.mConnectTimeout)) {
    connection = Redial(connection);
  }
  if (connection == nullptr ||
      !connection->SendFrame(payload, mSettings.mMaxQueuedBytes)) {
    ++mCounters.mDropped;
    return;
  }
  ++mCounters.mSentMessages;
  mCounters.mSentBytes += payload.size() + sizeof(uint32_t);
}

void
PeerTransport::SendDatagram(const PeerAddress& aTo, const Message& aMessage)
{
  const std::string payload = EncodeMessage(aMessage);
  auto address = ParseSocketAddress(aTo.mValue);
  if (!address.ok() || payload.size() > kMaxDatagramBytes) {
    ++mCounters.mDropped;
    return;
  }
  sendto(mDatagramSocket,
         payload.data(),
         payload.size(),
         MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&address->mStorage),
         address->mLength);
  ++mCounters.mSentMessages;
  mCounters.mSentBytes += payload.size();
}

void
PeerTransport::OnDatagram(evutil_socket_t aSocket, short, void* aTransport)
{
  auto* transport = static_cast<PeerTransport*>(aTransport);
  std::array<char, kMaxDatagramBytes> bytes{};
  sockaddr_storage from{};
  socklen_t length = sizeof(from);
  ssize_t received = 0;
  while ((received = recvfrom(aSocket,
                              bytes.data(),
                              bytes.size(),
                              MSG_DONTWAIT,
                              reinterpret_cast<sockaddr*>(&from),
                              &length)) >= 0) {
    auto message =
      DecodeMessage({ bytes.data(), static_cast<size_t>(received) });
    // Datagrams are not authenticated, so only load hints are accepted.
    if (!message.ok() || !std::holds_alternative<LoadReport>(*message)) {
      ++transport->mCounters.mMalformed;
      continue;
    }
    ++transport->mCounters.mReceivedMessages;
    transport->mCounters.mReceivedBytes += static_cast<uint64_t>(received);
    transport->mOnMessage.emit(PeerAddress(FormatSocketAddress(
                                 reinterpret_cast<const sockaddr*>(&from))),
                               *message);
  }
}

void
PeerTransport::Heartbeat()
{
  const MonoTime now = mLoop.Now();
  std::vector<PeerConnection*> silent;
  for (const auto& connection : mConnections) {
    if (!connection->Heartbeat(
          now, mSettings.mHeartbeat, mSettings.mSilenceTimeout)) {
      silent.push_back(connection.get());
    }
  }
  for (PeerConnection* connection : silent) {
    WriteLog(LogLevel::eWarning,
             "peer_silent",
             { { "peer", connection->Peer().mValue } });
    HandleClosed(connection);
  }
  mHeartbeatTimer.ArmAt(now + mSettings.mHeartbeat);
}

} // namespace caraway
