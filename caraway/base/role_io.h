#pragma once
// Events and actions that all three roles share.

#include "caraway/base/decision_log.h"
#include "caraway/base/ids.h"
#include "caraway/wire/messages.h"

namespace caraway {

// Event: a message from another process of the system.
struct MessageReceived
{
  PeerAddress mFrom; // advertised address of the sender
  Message mMessage;
};

// Event: the transport lost its connection to a peer. Messages sent and not yet
// answered may or may not have arrived.
struct PeerLost
{
  PeerAddress mPeer;
};

// Event: time has passed; sent at or after NextWakeup.
struct Wakeup
{};

// Event: the process was asked to stop gracefully (SIGTERM).
struct StopRequested
{};

// Action: send a message, over TCP unless mDatagram is set.
struct SendMessage
{
  PeerAddress mTo;
  Message mMessage;
  bool mDatagram = false;
};

// Action: the graceful stop is complete; the process may exit.
struct Stopped
{};

} // namespace caraway
