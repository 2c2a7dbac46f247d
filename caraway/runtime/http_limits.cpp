// Limits of the HTTP server: open connections, and unsent bytes of responses to
// slow readers.

#include <iterator>
#include <map>
#include <vector>

#include "caraway/runtime/http_server.h"

namespace caraway {

void
HttpServer::LimitConnections()
{
  // evhttp has no connection limit. Each open connection has about two events
  // in the loop, so the number of events shows when to stop accepting.
  constexpr int kEventsPerConnection = 2;
  constexpr Duration kInterval = Millis(100);
  const int events =
    event_base_get_num_events(mLoop.Base(), EVENT_BASE_COUNT_ADDED);
  if (events > mSettings.mMaxConnections * kEventsPerConnection) {
    evconnlistener_disable(mListener);
  } else {
    evconnlistener_enable(mListener);
  }
  LimitQueuedBytes();
  mConnectionTimer.ArmAt(mLoop.Now() + kInterval);
}

size_t
HttpServer::UnsentBytes() const
{
  size_t total = 0;
  for (const auto& [buffer, inbound] : mInbound) {
    total += inbound.mWatched
               ? evbuffer_get_length(bufferevent_get_output(buffer))
               : 0;
  }
  return total;
}

void
HttpServer::LimitQueuedBytes()
{
  std::multimap<size_t, HttpCallId> queued; // by unsent bytes
  size_t total = 0;
  for (const auto& [id, call] : mCalls) {
    const size_t bytes = evbuffer_get_length(bufferevent_get_output(
      evhttp_connection_get_bufferevent(call.mConnection)));
    if (call.mBegan && bytes > 0) {
      queued.emplace(bytes, id);
      total += bytes;
    }
  }
  while (total > mSettings.mMaxQueuedTotalBytes && !queued.empty()) {
    const auto largest = std::prev(queued.end());
    total -= largest->first;
    AbortSlowReader(largest->second);
    queued.erase(largest);
  }
}

// Instead of buffering without bound.
void
HttpServer::AbortSlowReader(HttpCallId aId)
{
  Abort({ aId });
  mAborted.back().mCloseDeadline = mLoop.Now();
  mLoop.Defer([this, aId] { mOnClosed.emit({ aId }); });
}

void
HttpServer::Abort(const HttpAbort& aAbort)
{
  Call* call = Find(aAbort.mCall);
  if (call == nullptr) {
    return;
  }
  // Closing the connection without the last chunk shows the caller that the
  // response is incomplete. Queued bytes are sent first.
  constexpr Duration kLongestWait = Seconds(2);
  mAborted.push_back(
    { call->mRequest, call->mConnection, mLoop.Now() + kLongestWait });
  Finish(aAbort.mCall);
  mAbortTimer.ArmAt(mLoop.Now());
}

void
HttpServer::CloseAborted()
{
  constexpr Duration kInterval = Millis(5);
  const MonoTime now = mLoop.Now();
  std::vector<AbortedConnection> ready;
  for (const AbortedConnection& aborted : mAborted) {
    bufferevent* buffer =
      evhttp_connection_get_bufferevent(aborted.mConnection);
    if (now >= aborted.mCloseDeadline ||
        evbuffer_get_length(bufferevent_get_output(buffer)) == 0) {
      ready.push_back(aborted);
    }
  }
  for (const AbortedConnection& aborted : ready) {
    // Calls OnConnectionClosed, which resets a connection whose response would
    // look complete otherwise.
    evhttp_connection_free(aborted.mConnection);
  }
  if (!mAborted.empty()) {
    mAbortTimer.ArmAt(now + kInterval);
  }
}

} // namespace caraway
