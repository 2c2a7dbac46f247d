#pragma once
// Messages between the system's processes over TCP, and load hints over UDP.
//
// One connection per pair of processes carries messages in both directions. The
// first frame in each direction is the sender's advertised address. A
// connection in use carries at least an empty frame (heartbeat) every 800 ms,
// and one that receives nothing for 2 s is closed; after 2 s without messages,
// both times are six times longer. Delivery is unreliable: messages queued on a
// connection that breaks are dropped, and roles retransmit after a timeout.

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
  TlsFiles mTls;        // mutual TLS; empty: plain TCP
  Duration mHeartbeat = Millis(800);
  Duration mSilenceTimeout = Seconds(2);
  // A connection that is not established after this is dialled again. Peers
  // accept within milliseconds, but TCP retransmits a lost SYN only after a
  // second, and a peer that starts in the meantime would wait for it.
  Duration mConnectTimeout = Millis(250);
  size_t mMaxQueuedBytes =
    32 << 20; // unsent bytes of one connection; further messages are dropped
  size_t mMaxConnections = 4096; // accepted and dialled ones together
};

struct PeerCounters
{
  uint64_t mSentMessages = 0;
  uint64_t mSentBytes = 0;
  uint64_t mReceivedMessages = 0;
  uint64_t mReceivedBytes = 0;
  uint64_t mDropped = 0; // messages not sent: queue full or no connection
  uint64_t mMalformed =
    0; // frames (closing the connection) and datagrams that did not decode
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

  // Loads the certificates again, for new connections.
  absl::Status ReloadTls();

  const PeerAddress& Address() const { return mSettings.mAddress; }
  const PeerCounters& Counters() const { return mCounters; }

  void Send(const PeerAddress& aTo, const Message& aMessage);
  void SendDatagram(const PeerAddress& aTo, const Message& aMessage);

  // Sender and message. For a datagram, the sender is its source address.
  sigc::signal<void(const PeerAddress&, const Message&)> mOnMessage;
  // The current connection to this peer was closed.
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
  // Starts a non-blocking connect; nullptr if that fails at once.
  std::unique_ptr<PeerConnection> StartConnecting(const PeerAddress& aTo);
  // Makes the dialled connection the current one of its peer.
  PeerConnection* RegisterDialled(std::unique_ptr<PeerConnection> aDialled);
  PeerConnection* Dial(const PeerAddress& aTo);
  // Replaces a dialled connection that is not established in time; returns the
  // old one if that fails.
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
  // All open connections. mByPeer points to the current one of each known peer.
  std::set<std::unique_ptr<PeerConnection>> mConnections;
  std::map<PeerAddress, PeerConnection*> mByPeer;
  PeerCounters mCounters;
};

} // namespace caraway
