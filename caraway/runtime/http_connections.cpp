// Connections to the HTTP server: how they end, and which of them hold too much
// or take too long.

#include <algorithm>

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "absl/strings/str_cat.h"
#include "caraway/runtime/http_server.h"
#include "caraway/runtime/logging.h"

namespace caraway {

namespace {

// Assumed of a connection whose receive buffer the kernel sizes.
constexpr size_t kUsualReceiveBytes = 64 << 10;
// Closed at once when there are too many, as a share of all.
constexpr size_t kClosedShare = 16;
constexpr Duration kOverdueInterval = Seconds(1);

const char*
ReasonFor(const HeldConnection& aConnection)
{
  if (aConnection.mAhead > 0) {
    return "sent_ahead";
  }
  return aConnection.mUse == ConnectionUse::eIdle ? "idle" : "stopped";
}

size_t
UnreadBytes(bufferevent* aBuffer)
{
  int unread = 0;
  return ioctl(bufferevent_getfd(aBuffer), FIONREAD, &unread) == 0 && unread > 0
           ? static_cast<size_t>(unread)
           : 0;
}

bool
InHead(const MessageReader& aReader)
{
  return aReader.mState == ReadState::eStartLine ||
         aReader.mState == ReadState::eFields;
}

// True if only the end of the connection ends the response, which has begun.
bool
LastsUntilClose(evhttp_request* aRequest)
{
  return aRequest->chunked == 0 &&
         evhttp_find_header(evhttp_request_get_output_headers(aRequest),
                            "Content-Length") == nullptr;
}

} // namespace

// evhttp passes its connection to the buffer's callbacks.
evhttp_connection*
HttpServer::ConnectionOf(const Inbound& aInbound)
{
  void* connection = nullptr;
  bufferevent_getcb(aInbound.mBuffer, nullptr, nullptr, nullptr, &connection);
  return static_cast<evhttp_connection*>(connection);
}

void
HttpServer::SetResetOnClose(evhttp_connection* aConnection, bool aReset)
{
  const linger setting{ aReset ? 1 : 0, 0 };
  (void)setsockopt(
    bufferevent_getfd(evhttp_connection_get_bufferevent(aConnection)),
    SOL_SOCKET,
    SO_LINGER,
    &setting,
    sizeof(setting));
}

// Closes the socket with a reset. The connection must be freed right after:
// evhttp would shut the socket down in an orderly way before it closes it.
void
HttpServer::ResetSocket(evhttp_connection* aConnection)
{
  SetResetOnClose(aConnection, true);
  bufferevent* buffer = evhttp_connection_get_bufferevent(aConnection);
  const evutil_socket_t socket = bufferevent_getfd(buffer);
  bufferevent_setfd(buffer, -1);
  evutil_closesocket(socket);
}

void
HttpServer::ResetUnlessComplete(evhttp_request* aRequest,
                                evhttp_connection* aConnection)
{
  // A TLS connection shows by itself whether it was ended in an orderly way.
  if (!LastsUntilClose(aRequest) || mTls != nullptr) {
    return;
  }
  SetResetOnClose(aConnection, true);
  mUnverified.insert(aConnection);
}

// The socket has taken every byte of the response, so its close is the end.
void
HttpServer::OnResponseSent(evhttp_request* aRequest, void* aServer)
{
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  if (static_cast<HttpServer*>(aServer)->mUnverified.erase(connection) > 0) {
    SetResetOnClose(connection, false);
  }
  // evhttp leaves a body in the buffer until it is complete.
  bufferevent_setwatermark(
    evhttp_connection_get_bufferevent(connection), EV_READ, 0, 0);
}

HeldConnection
HttpServer::Holding(const Inbound& aInbound, bool aUnread) const
{
  HeldConnection held;
  held.mId = aInbound.mSerial;
  held.mStill = mLoop.Now() - aInbound.mMovedAt;
  const size_t unread = aUnread ? UnreadBytes(aInbound.mBuffer) : 0;
  const size_t input =
    evbuffer_get_length(bufferevent_get_input(aInbound.mBuffer));
  held.mHeld = aInbound.mReserved + aInbound.mUnsent + unread;
  const bool serving = mCallByConnection.contains(ConnectionOf(aInbound));
  if (aInbound.mUnsent > 0) {
    held.mUse = ConnectionUse::eSending;
  } else if (serving) {
    held.mUse = ConnectionUse::eServing;
  } else if (aInbound.mRejected) {
    // evhttp keeps the chunks that came before the refusal.
    held.mUse =
      aInbound.mReserved > 0 ? ConnectionUse::eReceiving : ConnectionUse::eIdle;
  } else if (aInbound.mReader.mMessageBytes > 0) {
    held.mUse = ConnectionUse::eReceiving;
    if (InHead(aInbound.mReader)) {
      held.mStill = mLoop.Now() - aInbound.mBeganAt;
    }
  }
  // What follows an invalid request is dropped, so that its caller gets the
  // whole refusal.
  if ((serving || aInbound.mUnsent > 0) &&
      aInbound.mReader.mState != ReadState::eInvalid) {
    held.mAhead = input + unread;
  }
  return held;
}

void
HttpServer::CloseExcess()
{
  constexpr size_t kQuarters = 4;
  HoldingLimits limits;
  limits.mBytes = mSettings.mMaxInputBytes / kQuarters * (kQuarters - 1);
  const size_t each =
    mSettings.mReceiveBytes > 0 ? mSettings.mReceiveBytes : kUsualReceiveBytes;
  const bool heavy = mInputBytes + mInbound.size() * each > limits.mBytes;
  const bool full = !HasRoom();
  if (!heavy && !full) {
    return;
  }
  if (full) {
    limits.mConnections = mInbound.size() - mInbound.size() / kClosedShare - 1;
  }
  std::vector<HeldConnection> held;
  std::map<uint64_t, std::pair<bufferevent*, const char*>> bySerial;
  for (const auto& [buffer, inbound] : mInbound) {
    held.push_back(Holding(inbound, heavy));
    // Unsent bytes have a limit of their own.
    held.back().mHeld -= inbound.mUnsent;
    bySerial[inbound.mSerial] = { buffer, ReasonFor(held.back()) };
  }
  for (const uint64_t serial : ConnectionsToClose(std::move(held), limits)) {
    const auto& [buffer, reason] = bySerial.at(serial);
    CloseConnection(buffer, reason);
  }
}

void
HttpServer::CloseOverdue()
{
  const MonoTime now = mLoop.Now();
  if (now < mNextOverdue) {
    return;
  }
  mNextOverdue = now + kOverdueInterval;
  std::vector<bufferevent*> overdue;
  for (const auto& [buffer, inbound] : mInbound) {
    const HeldConnection held = Holding(inbound, false);
    const Duration took = now - inbound.mBeganAt;
    const bool late =
      held.mUse == ConnectionUse::eReceiving &&
      took > Seconds(InHead(inbound.mReader) ? mSettings.mHeadSeconds
                                             : mSettings.mRequestSeconds);
    const bool unread = held.mUse == ConnectionUse::eSending &&
                        held.mStill > Seconds(mSettings.mIdleSeconds);
    if (late || unread) {
      overdue.push_back(buffer);
    }
  }
  for (bufferevent* buffer : overdue) {
    CloseConnection(buffer, "overdue");
  }
}

void
HttpServer::CloseConnection(bufferevent* aBuffer, const char* aReason)
{
  const auto known = mInbound.find(aBuffer);
  if (known == mInbound.end()) {
    return;
  }
  if (!known->second.mWatched) {
    WatchInbound(known->second); // accepted in this iteration of the loop
  }
  ++mClosedConnections;
  const HeldConnection held = Holding(known->second, false);
  WriteLog(LogLevel::eWarning,
           "close_connection",
           { { "choice", aReason },
             { "held_bytes", absl::StrCat(held.mHeld) },
             { "still_ms", absl::StrCat(held.mStill.Millis()) },
             { "connections", absl::StrCat(mInbound.size()) } });
  evhttp_connection* connection = ConnectionOf(known->second);
  if (held.mUse != ConnectionUse::eIdle) {
    SetResetOnClose(connection, true); // what is unread is not kept either
  }
  evhttp_connection_free(connection); // calls OnConnectionClosed
}

} // namespace caraway
