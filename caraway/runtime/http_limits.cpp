// Limits of the HTTP server: connections and descriptors, bytes of requests
// that are held, and unsent bytes of responses to slow readers.

#include <algorithm>
#include <iterator>
#include <map>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

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
  LimitDescriptors();
  LimitQueuedBytes();
  mConnectionTimer.ArmAt(mLoop.Now() + kInterval);
}

void
HttpServer::LimitDescriptors()
{
  // The kernel gives out the lowest free descriptor, so all below it are used.
  const int lowest =
    fcntl(evconnlistener_get_fd(mListener), F_DUPFD_CLOEXEC, 0);
  if (lowest >= 0) {
    close(lowest);
  }
  if (lowest < 0 || lowest >= mSettings.mMaxDescriptors) {
    evconnlistener_disable(mListener);
  }
}

// A body whose length is stated is reserved with its head: of several bodies
// that together exceed the limit, the first ones are then received to the end.
bool
HttpServer::ReserveInput(Inbound& aInbound, size_t aAdded)
{
  const MessageReader& reader = aInbound.mReader;
  aInbound.mArrived += aAdded;
  // evhttp refuses longer bodies by their head.
  const bool stated = reader.mState == ReadState::eLengthBody &&
                      reader.mFraming.mLength <= mSettings.mMaxBodyBytes;
  const size_t wanted = std::max(
    aInbound.mReserved,
    aInbound.mArrived + (stated ? static_cast<size_t>(reader.mLeft) : 0));
  const size_t before = aInbound.mReserved;
  SetReserved(aInbound, wanted);
  // Accept refuses requests that are complete.
  if (wanted == before || reader.mMessageBytes == 0) {
    return true;
  }
  if (mInputBytes > mSettings.mMaxInputBytes ||
      (wanted > kLargeInputBytes &&
       mLargeInputBytes > mSettings.mMaxLargeInputBytes)) {
    SetReserved(aInbound, before);
    return false;
  }
  return true;
}

void
HttpServer::SetReserved(Inbound& aInbound, size_t aBytes)
{
  const auto large = [](size_t aSize) {
    return aSize > kLargeInputBytes ? aSize : 0;
  };
  mInputBytes += aBytes - aInbound.mReserved;
  mLargeInputBytes += large(aBytes) - large(aInbound.mReserved);
  aInbound.mReserved = aBytes;
}

void
HttpServer::ReleaseCall(evhttp_connection* aConnection)
{
  bufferevent* buffer = evhttp_connection_get_bufferevent(aConnection);
  const auto known = mInbound.find(buffer);
  if (known == mInbound.end()) {
    return;
  }
  known->second.mArrived = evbuffer_get_length(bufferevent_get_input(buffer));
  SetReserved(known->second, known->second.mArrived);
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
