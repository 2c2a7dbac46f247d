#pragma once
// Owning pointers (RAII) for the resources of libevent and OpenSSL.

#include <memory>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <openssl/ssl.h>

namespace caraway {

template<auto Function>
struct FreeWith
{
  template<class T>
  void operator()(T* aResource) const
  {
    Function(aResource);
  }
};

using EventBasePtr = std::unique_ptr<event_base, FreeWith<event_base_free>>;
using EventPtr = std::unique_ptr<event, FreeWith<event_free>>;
using EvBufferPtr = std::unique_ptr<evbuffer, FreeWith<evbuffer_free>>;
using BufferEventPtr = std::unique_ptr<bufferevent, FreeWith<bufferevent_free>>;
using ListenerPtr =
  std::unique_ptr<evconnlistener, FreeWith<evconnlistener_free>>;
using EvHttpPtr = std::unique_ptr<evhttp, FreeWith<evhttp_free>>;
using EvHttpConnectionPtr =
  std::unique_ptr<evhttp_connection, FreeWith<evhttp_connection_free>>;
using SslContextPtr = std::unique_ptr<SSL_CTX, FreeWith<SSL_CTX_free>>;

} // namespace caraway
