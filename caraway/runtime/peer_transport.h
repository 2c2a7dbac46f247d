#pragma once
// Messages between the system's processes over TCP, and hints over UDP.
//
// One connection per pair of processes carries both directions. The first frame
// is the sender's advertised address. A connection in use carries at least an
// empty frame every 800 ms, and one without any byte for 2 s is closed; without
// messages for 2 s, both times are six times longer. Sending is unreliable:
// messages queued on a connection that breaks are dropped, and roles resend by
// timeout.

#include <map>
#include <memory>
#include <set>
#include <string>

#include <sigc++/sigc++.h>

#include "absl/status/status.h"
#include "caraway/base/ids.h"
#include "caraway/runtime/libevent_handles.h"
#include "caraway/runtime/loop.h"
#include "caraway/runtime/tls.h"
#include "caraway/wire/messages.h"

namespace caraway {

struct PeerSettings
{
  std::string mListen;  // "ip:port" to bind; port 0 picks one
  PeerAddress mAddress; // advertised; empty: the bound address
  TlsFiles mTls;        // mutual; empty: plain TCP
  Duration mHeartbeat = Millis(800);
  Duration mSilenceTimeout = Seconds(2);
  // Peers answer a dial within milliseconds. A lost opening packet is only sent
  // again after a second, and a peer that starts meanwhile would wait for it.
  Duration mConnectTimeout = Millis(250);
  size_t mMaxQueuedBytes = 32
                           << 20; // unsent on one connection; more are dropped
  size_t mMaxConnections = 4096;  // accepted and dialled together
};

struct PeerCounters
{
  uint64_t mSentMessages = 0;
  uint64_t mSentBytes = 0;
  uint64_t mReceivedMessages = 0;
  uint64_t mReceivedBytes = 0;
  uint64_t mDropped = 0; // not sent: queue full or connection broken
  uint64_t mMalformed =
    0; // frames that did not decode; the connection is closed
};

class PeerConnection;

class PeerTransport
{
public:
  PeerTransport(Loop& aLoop, PeerSettings aSettings);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  ~PeerTransport();

  // Binds the TCP and UDP sockets (same port) and loads certificates.
  absl::Status Listen();

  // Loads the certificates again; existing connections go on.
  absl::Status ReloadTls();

  const PeerAddress& Address() const { return mSettings.mAddress; }
  const PeerCounters& Counters() const { return mCounters; }

  void Send(const PeerAddress& aTo, const Message& aMessage);
  void SendDatagram(const PeerAddress& aTo, const Message& aMessage);

  sigc::signal<void(const PeerAddress&, const Message&)> mOnMessage;
  sigc::signal<void(const PeerAddress&)> mOnPeerLost;

private:
  friend class PeerConnection;

  static void OnAccept(evconnlistener* aListener,
                       evutil_socket_t aSocket,
                       sockaddr* aFrom,
                       int aLength,
                       void* aTransport);
  static void OnDatagram(evutil_socket_t aSocket,
                         short aWhat,
                         void* aTransport);

  void Heartbeat();
  // A connection that is being established; nullptr if that cannot begin.
  std::unique_ptr<PeerConnection> StartConnecting(const PeerAddress& aTo);
  PeerConnection* RegisterDialled(std::unique_ptr<PeerConnection> aDialled);
  PeerConnection* Dial(const PeerAddress& aTo);
  PeerConnection* Redial(PeerConnection* aStuck);
  void OnPeerIdentified(PeerConnection* aConnection, const PeerAddress& aPeer);
  void HandleClosed(PeerConnection* aConnection);
  BufferEventPtr MakeBufferEvent(evutil_socket_t aSocket, bool aClient);

  Loop& mLoop;
  PeerSettings mSettings;
  SslContextPtr mServerTls;
  SslContextPtr mClientTls;
  ListenerPtr mListener;
  evutil_socket_t mDatagramSocket = -1;
  EventPtr mDatagramEvent;
  Timer mHeartbeatTimer;
  // Every open connection; those with a known peer are in mByPeer, too.
  std::set<std::unique_ptr<PeerConnection>> mConnections;
  std::map<PeerAddress, PeerConnection*> mByPeer;
  PeerCounters mCounters;
};

} // namespace caraway
