#pragma once
// Events and actions common to entry, node and control.

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

// Event: the connection to a peer was lost. Unanswered messages may or may not
// have arrived.
struct PeerLost
{
  PeerAddress mPeer;
};

// Event: a timer expired; sent at or after NextWakeup.
struct Wakeup
{};

// Event: a graceful shutdown was requested (SIGTERM).
struct StopRequested
{};

// Action: send a message, over TCP unless mDatagram is set.
struct SendMessage
{
  PeerAddress mTo;
  Message mMessage;
  bool mDatagram = false;
};

// Action: the graceful shutdown is complete; the process may exit.
struct Stopped
{};

} // namespace caraway
