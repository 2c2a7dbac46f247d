#pragma once
// Decides which connections to targets stay open for later calls, and for which
// calls.
//
// Load pattern: many short calls from many callers to the same targets. Without
// idle connections each call pays for a handshake, and the target for a new
// connection. With too many of them, a target refuses the connections of other
// callers. With stale ones, a request is lost to a target that has just closed
// its end.
//
// Invariants: no connection is handed out at or after its mUseUntil, nor to the
// request whose answer it brought last; no more than the limit of connections
// is idle for a target, and no more than kMaxIdleConnections in all.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "caraway/base/http.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

using ConnectionId = NumberId<struct ConnectionTag>; // chosen by the host

constexpr size_t kMaxIdleConnections = 128;

struct IdleConnection
{
  ConnectionId mId;
  std::string mAddress;   // "ip:port" of the target
  RequestId mLastRequest; // a late second answer to it may follow
  MonoTime mUseUntil;
};

struct ConnectionPool
{
  std::deque<IdleConnection> mIdle; // the one that was used last is at the back
};

// How long a target keeps an idle connection open, by the headers of its
// answer; nullopt: not stated.
std::optional<Duration>
StatedIdleTime(const Headers& aHeaders);

// How long after an answer its connection may be used again. Targets state
// whole seconds and count from the end of their answer, so the time ends
// earlier, or a request could meet the target's close.
Duration
ReuseTime(std::optional<Duration> aStated);

// Idle connections that one of aEntries entries may keep to a target that
// accepts aMaxConnections from all callers together; 0: not stated.
uint32_t
IdleLimit(uint32_t aMaxConnections, uint32_t aSlots, uint32_t aEntries);

// True if a call may be sent on an idle connection. A reset before the first
// byte of the answer does not prove that the call has not run, so it needs
// another run left.
constexpr bool
MayUseIdle(bool aRepeatable, uint32_t aRunsSoFar, uint32_t aMaxRuns)
{
  return aRepeatable && aRunsSoFar + 1 < aMaxRuns;
}

// Removes the connection that was used last and may be used for this request.
std::optional<ConnectionId>
TakeIdle(ConnectionPool& aPool,
         MonoTime aNow,
         const std::string& aAddress,
         const RequestId& aRequest);

// Adds a connection. Returns the ones to close, which may include the new one.
std::vector<ConnectionId>
KeepIdle(ConnectionPool& aPool, IdleConnection aConnection, uint32_t aLimit);

// Remove connections from the pool and return them: those whose time is over,
// and all to one target.
std::vector<ConnectionId>
DropExpired(ConnectionPool& aPool, MonoTime aNow);
std::vector<ConnectionId>
DropTarget(ConnectionPool& aPool, const std::string& aAddress);

// Removes a connection that the target has closed.
void
DropConnection(ConnectionPool& aPool, ConnectionId aId);

// When the next connection's time is over; kNever if none is idle.
MonoTime
NextExpiry(const ConnectionPool& aPool);

} // namespace caraway
