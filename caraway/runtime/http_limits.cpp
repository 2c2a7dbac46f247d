// Limits of the HTTP server: connections and descriptors, bytes of requests
// that are held, and unsent bytes of responses to slow readers.

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

#include "caraway/runtime/http_server.h"

namespace caraway {

void
HttpServer::LimitConnections()
{
  constexpr Duration kInterval = Millis(100);
  mLimitQueued = false;
  CloseOverdue();
  CloseExcess();
  LimitQueuedBytes();
  if (HasRoom()) {
    evconnlistener_enable(mListener);
  } else {
    evconnlistener_disable(mListener);
  }
  mConnectionTimer.ArmAt(mLoop.Now() + kInterval);
}

void
HttpServer::LimitConnectionsSoon()
{
  if (!std::exchange(mLimitQueued, true)) {
    mConnectionTimer.ArmAt(mLoop.Now());
  }
}

bool
HttpServer::HasRoom() const
{
  return mInbound.size() < static_cast<size_t>(mSettings.mMaxConnections) &&
         HasDescriptors();
}

bool
HttpServer::HasDescriptors() const
{
  // The kernel gives out the lowest free descriptor, so all below it are used.
  const int lowest =
    fcntl(evconnlistener_get_fd(mListener), F_DUPFD_CLOEXEC, 0);
  if (lowest >= 0) {
    close(lowest);
  }
  return lowest >= 0 && lowest < mSettings.mMaxDescriptors;
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
  // The reader keeps a copy of a head that has not ended.
  const size_t wanted =
    std::max(aInbound.mReserved,
             aInbound.mArrived + reader.mHead.size() + reader.mLine.size() +
               (stated ? static_cast<size_t>(reader.mLeft) : 0));
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
    LimitConnectionsSoon();
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

void
HttpServer::LimitQueuedBytes()
{
  if (mUnsentBytes <= mSettings.mMaxQueuedTotalBytes) {
    return;
  }
  // Readers that have stopped go first, then those with the most.
  constexpr Duration kStopped = Seconds(1);
  std::multimap<std::pair<bool, size_t>, bufferevent*> queued;
  for (const auto& [buffer, inbound] : mInbound) {
    if (inbound.mUnsent > 0) {
      const bool stopped = mLoop.Now() - inbound.mMovedAt >= kStopped;
      queued.emplace(std::pair(stopped, inbound.mUnsent), buffer);
    }
  }
  // One whole response may be larger than the limit.
  while (mUnsentBytes > mSettings.mMaxQueuedTotalBytes && queued.size() > 1) {
    CloseConnection(std::prev(queued.end())->second, "unsent");
    queued.erase(std::prev(queued.end()));
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
