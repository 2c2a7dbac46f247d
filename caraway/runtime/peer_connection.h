#pragma once
// One connection of the peer transport: framing, heartbeats and silence
// timeout.

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

  // Starts reading and sends the first frame: aSelf, the advertised address of
  // this process.
  void Start(const PeerAddress& aSelf);

  // Starts this connection in place of one that was never established: takes
  // over its output queue and its timestamps, so that the silence of the peer
  // still counts from the first attempt.
  void TakeOverFrom(PeerConnection& aOld);

  // True if it was dialled at least aPatience ago and is not established yet.
  bool ConnectTimedOut(MonoTime aNow, Duration aPatience) const;

  // False if more than aMaxQueued bytes would be queued.
  bool SendFrame(std::string_view aPayload, size_t aMaxQueued);

  // Sends an empty frame if nothing was sent for aInterval; returns false if
  // nothing was received for aSilence. Without messages for kIdleAfter, both
  // times are kIdleFactor times longer: most connections of an entry are idle,
  // and their heartbeats would be most of its control traffic.
  bool Heartbeat(MonoTime aNow, Duration aInterval, Duration aSilence);

  const PeerAddress& Peer() const { return mPeer; }
  bool Dialled() const { return mDialled; }
  bufferevent* Buffer() const { return mBuffer.get(); }

private:
  void Listen();
  // Of the next frame that is received.
  size_t MaxFrame() const;

  static void OnReadable(bufferevent* aBuffer, void* aConnection);
  static void OnEvent(bufferevent* aBuffer, short aWhat, void* aConnection);

  // Both return false if the connection has to be closed.
  bool ReadFrames();
  bool HandleFrame(std::string_view aPayload);
  void RecordMessage(MonoTime aNow);
  bool IsIdleAt(MonoTime aNow) const;

  PeerTransport& mTransport;
  BufferEventPtr mBuffer;
  PeerAddress mPeer;
  bool mDialled = false;
  bool mEstablished = false;
  bool mClosing = false; // never reset; callbacks then do nothing
  MonoTime mDialledAt;
  MonoTime mLastReceived;
  MonoTime mLastSent;
  MonoTime mLastMessage; // sent or received; heartbeats do not count
  MonoTime mActiveSince; // first message after an idle period
};

} // namespace caraway
