// Idle connections to targets, see routing/connection_pool.h.

#include <cerrno>
#include <utility>

#include <sys/socket.h>

#include "caraway/runtime/target_client.h"

namespace caraway {

namespace {

// True if the connection is open and nothing has arrived on it since the end of
// the last answer. What arrives later belongs to no request.
bool
IsQuiet(evhttp_connection* aConnection)
{
  bufferevent* buffer = evhttp_connection_get_bufferevent(aConnection);
  const evutil_socket_t handle = bufferevent_getfd(buffer);
  char byte = 0;
  return handle >= 0 &&
         evbuffer_get_length(bufferevent_get_input(buffer)) == 0 &&
         recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

EvHttpConnectionPtr
TargetClient::TakeIdleConnection(const Call& aCall)
{
  while (const std::optional<ConnectionId> id =
           TakeIdle(mPool, mLoop.Now(), aCall.mAuthority, aCall.mRequest)) {
    auto idle = mIdle.extract(*id);
    EvHttpConnectionPtr connection = std::move(idle.mapped().mConnection);
    evhttp_connection_set_closecb(connection.get(), nullptr, nullptr);
    if (IsQuiet(connection.get())) {
      return connection;
    }
  }
  return nullptr;
}

void
TargetClient::KeepConnection(Call& aCall)
{
  if (!IsQuiet(aCall.mConnection.get())) {
    return;
  }
  const ConnectionId id(mNextConnection++);
  Idle& idle = mIdle[id];
  idle = { this, id, std::move(aCall.mConnection) };
  evhttp_connection_set_closecb(
    idle.mConnection.get(), &TargetClient::OnIdleClosed, &idle);
  CloseIdle(KeepIdle(
    mPool,
    { id, aCall.mAuthority, aCall.mRequest, mLoop.Now() + aCall.mReuseTime },
    aCall.mIdleLimit));
  mIdleTimer.ArmAt(NextExpiry(mPool));
}

void
TargetClient::OnIdleClosed(evhttp_connection*, void* aIdle)
{
  const auto* idle = static_cast<const Idle*>(aIdle);
  TargetClient* client = idle->mClient;
  DropConnection(client->mPool, idle->mId);
  // Deferred, since this is one of the connection's callbacks.
  client->mLoop.Defer([client, id = idle->mId] { client->CloseIdle({ id }); });
}

void
TargetClient::CloseIdle(const std::vector<ConnectionId>& aDropped)
{
  for (const ConnectionId id : aDropped) {
    if (auto idle = mIdle.extract(id)) {
      evhttp_connection_set_closecb(
        idle.mapped().mConnection.get(), nullptr, nullptr);
    }
  }
}

void
TargetClient::DropIdle()
{
  CloseIdle(DropExpired(mPool, mLoop.Now()));
  if (!mPool.mIdle.empty()) {
    mIdleTimer.ArmAt(NextExpiry(mPool));
  }
}

} // namespace caraway
