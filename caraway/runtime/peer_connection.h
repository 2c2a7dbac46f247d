#pragma once
// One framed connection of the peer transport.

#include <string>
#include <string_view>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/runtime/libevent_handles.h"

namespace caraway {

class PeerTransport;

class PeerConnection
{
public:
  // aPeer is empty for accepted connections until their first frame.
  PeerConnection(PeerTransport& aTransport,
                 BufferEventPtr aBuffer,
                 PeerAddress aPeer,
                 MonoTime aNow);

  // Starts reading and sends the first frame, the own advertised address.
  void Start(const PeerAddress& aSelf);

  // Starts in place of a connection that was never established: takes over what
  // waits there, and how long the peer has been silent.
  void TakeOverFrom(PeerConnection& aOld);

  // True if it was dialled this long ago and the peer has not answered yet.
  bool ConnectTimedOut(MonoTime aNow, Duration aPatience) const;

  // False if too many bytes are queued.
  bool SendFrame(std::string_view aPayload, size_t aMaxQueued);

  // Sends an empty frame if nothing else was sent lately; false if the peer has
  // been silent for too long. Without messages for kIdleAfter, both times are
  // kIdleFactor times longer: most connections of an entry are idle, and their
  // heartbeats would be most of its control traffic.
  bool Heartbeat(MonoTime aNow, Duration aInterval, Duration aSilence);

  const PeerAddress& Peer() const { return mPeer; }
  bool Dialled() const { return mDialled; }
  bufferevent* Buffer() const { return mBuffer.get(); }

private:
  void Listen();

  static void OnReadable(bufferevent* aBuffer, void* aConnection);
  static void OnEvent(bufferevent* aBuffer, short aWhat, void* aConnection);

  // False if the connection has to be closed.
  bool ReadFrames();
  bool HandleFrame(std::string_view aPayload);
  void RecordMessage(MonoTime aNow);
  bool IsIdleAt(MonoTime aNow) const;

  PeerTransport& mTransport;
  BufferEventPtr mBuffer;
  PeerAddress mPeer;
  bool mDialled = false;
  bool mEstablished = false;
  bool mClosing = false; // set once; no callback acts after it
  MonoTime mDialledAt;
  MonoTime mLastReceived;
  MonoTime mLastSent;
  MonoTime mLastMessage; // sent or received, heartbeats left out
  MonoTime mActiveSince; // first message after a quiet time
};

} // namespace caraway
