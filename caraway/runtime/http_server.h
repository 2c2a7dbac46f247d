#pragma once
// HTTP towards callers, operators and targets, by evhttp.
//
// Requests come out whole through mOnRequest; answers go in by call id, whole
// or in pieces. A caller that closes its connection is told by mOnClosed, once.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "absl/status/status.h"
#include "caraway/base/http.h"
#include "caraway/runtime/libevent_handles.h"
#include "caraway/runtime/loop.h"
#include "caraway/runtime/tls.h"

namespace caraway {

struct HttpServerSettings
{
  std::string mListen; // "ip:port"; port 0 picks one
  TlsFiles mTls;       // server side; empty: plain HTTP
  size_t mMaxHeaderBytes = 16 << 10;
  size_t mMaxBodyBytes = 16 << 20;
  int mIdleSeconds = 60;            // also for slow requests and answers
  size_t mMaxQueuedBytes = 8 << 20; // unsent to one slow reader; then aborted
  int mMaxConnections = 8192;       // new ones wait in the kernel beyond it
  uint64_t mFirstCallId = 1;        // keeps the calls of several servers apart
};

class HttpServer
{
public:
  HttpServer(Loop& aLoop, HttpServerSettings aSettings);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  absl::Status Listen();
  absl::Status ReloadTls();

  // "ip:port" as bound.
  const std::string& Address() const { return mAddress; }
  size_t OpenCalls() const { return mCalls.size(); }

  // All ignore a call that is closed already.
  void Respond(const HttpResponse& aResponse);
  void Begin(const HttpBegin& aBegin);
  void Chunk(const HttpChunk& aChunk);
  void End(const HttpEnd& aEnd);
  void Abort(const HttpAbort& aAbort);

  sigc::signal<void(const HttpRequest&)> mOnRequest;
  sigc::signal<void(const HttpClosed&)> mOnClosed;

private:
  struct Call
  {
    evhttp_request* mRequest = nullptr; // freed by evhttp after the answer
    evhttp_connection* mConnection = nullptr;
    bool mBegan = false;
  };

  // A connection that is closed once its queued bytes are written.
  struct AbortedConnection
  {
    evhttp_connection* mConnection = nullptr;
    MonoTime mCloseDeadline;
  };

  static void OnEvRequest(evhttp_request* aRequest, void* aServer);
  static void OnConnectionClosed(evhttp_connection* aConnection, void* aServer);
  static bufferevent* MakeBufferEvent(event_base* aBase, void* aServer);

  void Accept(evhttp_request* aRequest);
  Call* Find(HttpCallId aId);
  void Finish(HttpCallId aId);
  void StopWatchingForClose(evhttp_connection* aConnection) const;
  void LimitConnections();
  void CloseAborted();

  Loop& mLoop;
  HttpServerSettings mSettings;
  SslContextPtr mTls;
  EvHttpPtr mHttp;
  evconnlistener* mListener = nullptr; // owned by mHttp
  std::string mAddress;
  uint64_t mNextCall = 1;
  std::map<HttpCallId, Call> mCalls;
  // evhttp reads the next request of a connection after the answer to the last.
  std::map<evhttp_connection*, HttpCallId> mCallByConnection;
  std::vector<AbortedConnection> mAborted;
  Timer mConnectionTimer;
  Timer mAbortTimer;
};

} // namespace caraway
