#pragma once
// HTTP server for callers, operators and targets, based on evhttp.
//
// mOnRequest delivers each complete request with a call id. The response to a
// call is sent whole or in chunks. If the caller closes the connection first,
// mOnClosed is emitted once.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "absl/status/status.h"
#include "caraway/base/http.h"
#include "caraway/base/message_reader.h"
#include "caraway/connections/holding.h"
#include "caraway/runtime/libevent_handles.h"
#include "caraway/runtime/loop.h"
#include "caraway/runtime/tls.h"

namespace caraway {

struct HttpServerSettings
{
  std::string mListen; // "ip:port"; port 0 picks one
  TlsFiles mTls;       // server certificate; empty: plain HTTP
  size_t mMaxHeaderBytes = 16 << 10;
  size_t mMaxBodyBytes = 16 << 20;
  int mIdleSeconds = 60; // timeout, also for slow requests and responses
  // From the first byte of a request; then its connection is closed.
  int mHeadSeconds = 30;     // to the end of its head
  int mRequestSeconds = 600; // to its end
  size_t mMaxQueuedBytes = 8
                           << 20; // unsent bytes of one response; then aborted
  // Unsent bytes of all responses; beyond it, those with the most are aborted.
  size_t mMaxQueuedTotalBytes = 32 << 20;
  // Bytes of all requests that are held: what has arrived, the rest of a body
  // whose length is stated, and calls without a complete response. Beyond three
  // quarters of it, connections are closed as caraway/connections/holding.h
  // says; beyond all of it, requests are refused with 503 and Retry-After.
  size_t mMaxInputBytes = 512 << 20;
  // What the kernel keeps of a connection until it is read; 0: its default.
  // The kernel takes about this much and may keep twice as much.
  size_t mReceiveBytes = 0;
  // What requests of more than kLargeInputBytes may take of it.
  size_t mMaxLargeInputBytes = 256 << 20;
  // Beyond it, idle ones are closed; if there are none, new ones wait in the
  // backlog.
  int mMaxConnections = 8192;
  // The same holds while the process uses as many descriptors.
  int mMaxDescriptors = 1 << 20;
  uint64_t mFirstCallId = 1; // makes the ids of several servers distinct
};

// Requests above this size have a limit of their own, below that of all.
constexpr size_t kLargeInputBytes = 64 << 10;

class HttpServer
{
public:
  HttpServer(Loop& aLoop, HttpServerSettings aSettings);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  absl::Status Listen();
  // Loads the certificates again, for new connections.
  absl::Status ReloadTls();

  // "ip:port" as bound.
  const std::string& Address() const { return mAddress; }
  size_t OpenCalls() const { return mCalls.size(); }
  // Bytes of all responses that no socket has taken yet.
  size_t UnsentBytes() const { return mUnsentBytes; }
  // Connections closed to keep the limits, since the start.
  uint64_t ClosedConnections() const { return mClosedConnections; }
  // Bytes reserved for requests that are held.
  size_t InputBytes() const { return mInputBytes; }

  // Respond sends a complete response. Begin, Chunk and End stream one; Abort
  // closes the connection without ending it. All ignore calls already closed.
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
    evhttp_request* mRequest = nullptr; // freed by evhttp after the response
    evhttp_connection* mConnection = nullptr;
    bool mBegan = false; // headers are sent, chunks follow
  };

  // A connection to close when its queued bytes are written, or at
  // mCloseDeadline.
  struct AbortedConnection
  {
    evhttp_request* mRequest = nullptr;
    evhttp_connection* mConnection = nullptr;
    MonoTime mCloseDeadline;
  };

  // The bytes that a connection receives, judged before evhttp reads them. Once
  // they are invalid, evhttp gets nothing more of the connection.
  struct Inbound
  {
    HttpServer* mServer = nullptr;
    bufferevent* mBuffer = nullptr;
    MessageReader mReader;
    uint64_t mSerial = 0;   // in the order of acceptance
    bool mWatched = false;  // the end of the connection removes this entry
    bool mTrimming = false; // its input is changed by DropInvalid
    // Nothing more is read: the connection ends when its output is sent.
    bool mRejected = false;
    size_t mDropped = 0;  // bytes after the rejection
    size_t mArrived = 0;  // bytes since the connection held no request
    size_t mReserved = 0; // part of mInputBytes
    size_t mUnsent = 0;   // part of mUnsentBytes
    MonoTime mMovedAt;    // the newest byte received or sent
    MonoTime mBeganAt;    // the first byte of the request that is received
  };

  static void OnInput(evbuffer* aInput,
                      const evbuffer_cb_info* aInfo,
                      void* aInbound);
  static void OnOutput(evbuffer* aOutput,
                       const evbuffer_cb_info* aInfo,
                       void* aInbound);
  static void OnEvRequest(evhttp_request* aRequest, void* aServer);
  static void OnConnectionClosed(evhttp_connection* aConnection, void* aServer);
  static void OnResponseSent(evhttp_request* aRequest, void* aServer);
  static bufferevent* MakeBufferEvent(event_base* aBase, void* aServer);

  void Accept(evhttp_request* aRequest);
  void WatchInbound(Inbound& aInbound);
  void ForgetInbound(bufferevent* aBuffer);
  void DropInvalid(Inbound& aInbound, evbuffer* aInput);
  void RejectInvalid(Inbound& aInbound);
  // False if the message that is being received exceeds the limits.
  bool ReserveInput(Inbound& aInbound, size_t aAdded);
  void SetReserved(Inbound& aInbound, size_t aBytes);
  // After the end of a call: only bytes of further requests are still held.
  void ReleaseCall(evhttp_connection* aConnection);
  Call* Find(HttpCallId aId);
  void Finish(HttpCallId aId);
  // Frees a request that evhttp has detached from its closed connection.
  static void FreeDetached(evhttp_request* aRequest);
  void StopWatchingForClose(evhttp_connection* aConnection) const;
  // Makes every early end of a response that lasts until its connection closes
  // a reset. Call after evhttp_send_reply_start.
  void ResetUnlessComplete(evhttp_request* aRequest,
                           evhttp_connection* aConnection);
  // Keeps all limits, and accepts connections while there is room.
  void LimitConnections();
  // The same after the current callback has returned.
  void LimitConnectionsSoon();
  bool HasRoom() const;
  bool HasDescriptors() const;
  // What a connection holds now. aUnread: also bytes that are not read yet.
  HeldConnection Holding(const Inbound& aInbound, bool aUnread) const;
  // Closes connections that hold more than their share.
  void CloseExcess();
  // Closes connections whose request or reader has taken too long.
  void CloseOverdue();
  void CloseConnection(bufferevent* aBuffer, const char* aReason);
  static evhttp_connection* ConnectionOf(const Inbound& aInbound);
  // With aReset, any close of the socket resets the connection, also the one
  // that the kernel makes when the process is killed.
  static void SetResetOnClose(evhttp_connection* aConnection, bool aReset);
  static void ResetSocket(evhttp_connection* aConnection);
  // Closes connections of slow readers while all together exceed their limit.
  void LimitQueuedBytes();
  void AbortSlowReader(HttpCallId aId);
  void CloseAborted();

  Loop& mLoop;
  HttpServerSettings mSettings;
  SslContextPtr mTls;
  EvHttpPtr mHttp;
  evconnlistener* mListener = nullptr; // owned by mHttp
  std::string mAddress;
  uint64_t mNextCall = 1;
  std::map<HttpCallId, Call> mCalls;
  // At most one call per connection: evhttp reads the next request only after
  // the response to the previous one.
  std::map<evhttp_connection*, HttpCallId> mCallByConnection;
  // By the connection's buffer; all open connections.
  std::map<bufferevent*, Inbound> mInbound;
  // Sums of Inbound::mReserved: of all, and of those above kLargeInputBytes.
  size_t mInputBytes = 0;
  size_t mLargeInputBytes = 0;
  std::vector<AbortedConnection> mAborted;
  // Connections whose response lasts until they close and is not sent in full
  // yet. Their sockets are set to reset on close.
  std::set<evhttp_connection*> mUnverified;
  size_t mUnsentBytes = 0;
  uint64_t mNextSerial = 1; // of connections
  uint64_t mClosedConnections = 0;
  bool mLimitQueued = false; // LimitConnections will run
  MonoTime mNextOverdue;     // when CloseOverdue runs next
  Timer mConnectionTimer;
  Timer mAbortTimer;
};

} // namespace caraway
