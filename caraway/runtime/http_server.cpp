// HTTP server based on evhttp.

#include "caraway/runtime/http_server.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include <sys/socket.h>

#include <event2/bufferevent_ssl.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "absl/strings/str_cat.h"
#include "caraway/base/error.h"
#include "caraway/runtime/http_rejection.h"
#include "caraway/runtime/socket_address.h"

namespace caraway {

namespace {

constexpr int kMaxBacklog = 1024;
// While a response is pending, the connection is still read to detect that the
// caller closes it. Up to this many bytes of pipelined requests are buffered.
constexpr size_t kPipelinedBytes = 32 << 10;

const char*
MethodName(evhttp_cmd_type aMethod)
{
  switch (aMethod) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "OTHER";
  }
}

std::string
TakeBody(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

HttpRequest
ReadRequest(evhttp_request* aRequest, HttpCallId aCall)
{
  HttpRequest request;
  request.mCall = aCall;
  request.mMethod = MethodName(evhttp_request_get_command(aRequest));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  if (uri != nullptr) {
    const char* path = evhttp_uri_get_path(uri);
    const char* query = evhttp_uri_get_query(uri);
    request.mPath = path != nullptr && *path != '\0' ? path : "/";
    request.mQuery = query != nullptr ? query : "";
  }
  evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    request.mHeaders.emplace_back(header->key, header->value);
  }
  request.mBody = TakeBody(aRequest);
  return request;
}

// True if bytes may follow the head of the response.
bool
HasBody(const evhttp_request* aRequest)
{
  constexpr int kSuccess = 200;
  return aRequest->type != EVHTTP_REQ_HEAD &&
         aRequest->response_code >= kSuccess &&
         aRequest->response_code != HTTP_NOCONTENT &&
         aRequest->response_code != HTTP_NOTMODIFIED;
}

// Appends a piece of the response's body to the buffer of its connection.
// evhttp_send_reply_chunk would keep each piece in a buffer of at least 512
// bytes.
void
AppendBody(const evhttp_request* aRequest,
           evbuffer* aOutput,
           const std::string& aBytes)
{
  if (!HasBody(aRequest)) {
    return;
  }
  if (aRequest->chunked != 0) {
    const std::string size = absl::StrCat(absl::Hex(aBytes.size()), "\r\n");
    evbuffer_add(aOutput, size.data(), size.size());
  }
  evbuffer_add(aOutput, aBytes.data(), aBytes.size());
  if (aRequest->chunked != 0) {
    evbuffer_add(aOutput, "\r\n", 2);
  }
}

void
AddHeaders(evhttp_request* aRequest, const Headers& aHeaders)
{
  evkeyvalq* output = evhttp_request_get_output_headers(aRequest);
  for (const auto& [name, value] : aHeaders) {
    // Fails if the value holds a line break; the header is then omitted.
    evhttp_add_header(output, name.c_str(), value.c_str());
  }
}

// Makes the end of the connection the end of the response, without a length and
// without chunks. evhttp sends such responses only as HTTP/1.0.
void
EndByClose(evhttp_request* aRequest)
{
  evhttp_remove_header(evhttp_request_get_input_headers(aRequest),
                       "Connection");
  evkeyvalq* output = evhttp_request_get_output_headers(aRequest);
  evhttp_remove_header(output, "Connection");
  evhttp_add_header(output, "Connection", "close");
  aRequest->minor = 0;
}

// Keeps reading while a response is pending, to detect a close. evhttp ends the
// process if its read callback runs in this state, and it may have queued a
// call of it for requests that were sent ahead.
void
WatchForClose(evhttp_connection* aConnection)
{
  bufferevent* buffer = evhttp_connection_get_bufferevent(aConnection);
  bufferevent_data_cb onWritten = nullptr;
  bufferevent_event_cb onEvent = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(buffer, nullptr, &onWritten, &onEvent, &argument);
  bufferevent_setcb(buffer, nullptr, onWritten, onEvent, argument);
  bufferevent_setwatermark(buffer, EV_READ, 0, kPipelinedBytes);
  // The idle timeout limits how long a caller takes to send a request; a
  // response may take longer.
  bufferevent_set_timeouts(buffer, nullptr, nullptr);
  bufferevent_enable(buffer, EV_READ);
}

} // namespace

HttpServer::HttpServer(Loop& aLoop, HttpServerSettings aSettings)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mNextCall(mSettings.mFirstCallId)
  , mConnectionTimer(aLoop, [this] { LimitConnections(); })
  , mAbortTimer(aLoop, [this] { CloseAborted(); })
{
}

HttpServer::~HttpServer()
{
  // evhttp_free closes all connections and calls OnConnectionClosed for each;
  // with empty maps, that emits no signal.
  while (!mUnverified.empty()) {
    const auto connection = mUnverified.extract(mUnverified.begin());
    ResetSocket(connection.value());
  }
  mCalls.clear();
  mCallByConnection.clear();
  mAborted.clear();
  mHttp.reset(); // while the members that its callbacks use exist
}

absl::Status
HttpServer::ReloadTls()
{
  if (!TlsEnabled(mSettings.mTls)) {
    return absl::OkStatus();
  }
  auto context = MakeTlsContext(mSettings.mTls, TlsMode::eServer);
  if (!context.ok()) {
    return context.status();
  }
  mTls = std::move(*context);
  return absl::OkStatus();
}

absl::Status
HttpServer::Listen()
{
  if (auto status = ReloadTls(); !status.ok()) {
    return status;
  }
  auto address = ParseSocketAddress(mSettings.mListen);
  if (!address.ok()) {
    return address.status();
  }
  mHttp.reset(evhttp_new(mLoop.Base()));
  evhttp_set_gencb(mHttp.get(), &HttpServer::OnEvRequest, this);
  evhttp_set_allowed_methods(
    mHttp.get(),
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
      EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
  evhttp_set_max_headers_size(
    mHttp.get(), static_cast<ev_ssize_t>(mSettings.mMaxHeaderBytes));
  evhttp_set_max_body_size(mHttp.get(),
                           static_cast<ev_ssize_t>(mSettings.mMaxBodyBytes));
  evhttp_set_timeout(mHttp.get(), mSettings.mIdleSeconds);
  evhttp_set_default_content_type(mHttp.get(), nullptr);
  evhttp_set_bevcb(mHttp.get(), &HttpServer::MakeBufferEvent, this);
  evconnlistener* listener = evconnlistener_new_bind(
    mLoop.Base(),
    nullptr,
    nullptr,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
    std::min(kMaxBacklog, mSettings.mMaxConnections),
    reinterpret_cast<const sockaddr*>(&address->mStorage),
    static_cast<int>(address->mLength));
  if (listener == nullptr) {
    return MakeError(
      ErrorKind::eUnavailable,
      absl::StrCat(
        "cannot listen on ", mSettings.mListen, ": ", std::strerror(errno)),
      "choose a free port and an address of this instance");
  }
  SetNoDelay(evconnlistener_get_fd(listener));
  if (mSettings.mReceiveBytes > 0) {
    // Accepted sockets inherit it, also while they wait to be accepted.
    const int bytes = static_cast<int>(mSettings.mReceiveBytes);
    (void)setsockopt(evconnlistener_get_fd(listener),
                     SOL_SOCKET,
                     SO_RCVBUF,
                     &bytes,
                     sizeof(bytes));
  }
  evhttp_bind_listener(mHttp.get(), listener);
  mListener = listener;
  mAddress = BoundAddress(evconnlistener_get_fd(listener));
  LimitConnections();
  return absl::OkStatus();
}

bufferevent*
HttpServer::MakeBufferEvent(event_base* aBase, void* aServer)
{
  auto* server = static_cast<HttpServer*>(aServer);
  bufferevent* buffer = nullptr;
  if (server->mTls == nullptr) {
    buffer = bufferevent_socket_new(aBase, -1, BEV_OPT_CLOSE_ON_FREE);
  } else {
    buffer = bufferevent_openssl_socket_new(aBase,
                                            -1,
                                            SSL_new(server->mTls.get()),
                                            BUFFEREVENT_SSL_ACCEPTING,
                                            BEV_OPT_CLOSE_ON_FREE);
    bufferevent_openssl_set_allow_dirty_shutdown(buffer, 1);
  }
  server->ForgetInbound(buffer);
  Inbound& inbound = server->mInbound[buffer];
  inbound.mServer = server;
  inbound.mBuffer = buffer;
  inbound.mSerial = server->mNextSerial++;
  inbound.mMovedAt = server->mLoop.Now();
  evbuffer_add_cb(
    bufferevent_get_input(buffer), &HttpServer::OnInput, &inbound);
  evbuffer_add_cb(
    bufferevent_get_output(buffer), &HttpServer::OnOutput, &inbound);
  // evhttp sets its callbacks, which lead to its connection, after this.
  server->mLoop.Defer([server, buffer, serial = inbound.mSerial] {
    const auto known = server->mInbound.find(buffer);
    if (known != server->mInbound.end() && known->second.mSerial == serial &&
        !known->second.mWatched) {
      server->WatchInbound(known->second);
    }
  });
  if (!server->HasRoom()) {
    evconnlistener_disable(server->mListener);
    server->LimitConnectionsSoon();
  }
  return buffer;
}

void
HttpServer::OnEvRequest(evhttp_request* aRequest, void* aServer)
{
  static_cast<HttpServer*>(aServer)->Accept(aRequest);
}

void
HttpServer::Accept(evhttp_request* aRequest)
{
  if (const int refused = evhttp_request_get_response_code(aRequest);
      refused >= HTTP_BADREQUEST) {
    RejectMalformed(aRequest, refused);
    return;
  }
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  if (mInputBytes > mSettings.mMaxInputBytes) {
    LogBusy(mInputBytes);
    evhttp_request_set_on_complete_cb(
      aRequest, &HttpServer::OnResponseSent, this);
    StopWatchingForClose(connection);
    RejectBusy(aRequest);
    ReleaseCall(connection);
    return;
  }
  evhttp_request_set_on_complete_cb(
    aRequest, &HttpServer::OnResponseSent, this);
  const HttpCallId id(mNextCall++);
  evhttp_connection_set_closecb(
    connection, &HttpServer::OnConnectionClosed, this);
  WatchForClose(connection);
  mCalls[id] = { aRequest, connection, false };
  mCallByConnection[connection] = id;
  bufferevent* buffer = evhttp_connection_get_bufferevent(connection);
  Inbound& inbound = mInbound.at(buffer);
  if (inbound.mReader.mState == ReadState::eInvalid &&
      evbuffer_get_length(bufferevent_get_input(buffer)) == 0) {
    RejectInvalid(inbound); // after this request
  }
  const HttpRequest request = ReadRequest(aRequest, id);
  mOnRequest.emit(request);
}

void
HttpServer::OnConnectionClosed(evhttp_connection* aConnection, void* aServer)
{
  auto* server = static_cast<HttpServer*>(aServer);
  server->ForgetInbound(evhttp_connection_get_bufferevent(aConnection));
  if (server->mUnverified.erase(aConnection) > 0) {
    ResetSocket(aConnection);
  }
  std::erase_if(server->mAborted, [&](const AbortedConnection& aAborted) {
    if (aAborted.mConnection != aConnection) {
      return false;
    }
    FreeDetached(aAborted.mRequest);
    return true;
  });
  const auto known = server->mCallByConnection.find(aConnection);
  if (known == server->mCallByConnection.end()) {
    return;
  }
  const HttpCallId id = known->second;
  evhttp_request* request = server->mCalls.at(id).mRequest;
  server->Finish(id);
  FreeDetached(request);
  server->mOnClosed.emit({ id });
}

// evhttp detaches a request whose caller closes before its response has ended.
void
HttpServer::FreeDetached(evhttp_request* aRequest)
{
  if (evhttp_request_get_connection(aRequest) == nullptr) {
    evhttp_request_free(aRequest);
  }
}

HttpServer::Call*
HttpServer::Find(HttpCallId aId)
{
  auto call = mCalls.find(aId);
  return call == mCalls.end() ? nullptr : &call->second;
}

void
HttpServer::Finish(HttpCallId aId)
{
  auto call = mCalls.find(aId);
  ReleaseCall(call->second.mConnection);
  mCallByConnection.erase(call->second.mConnection);
  mCalls.erase(call);
}

void
HttpServer::StopWatchingForClose(evhttp_connection* aConnection) const
{
  bufferevent* buffer = evhttp_connection_get_bufferevent(aConnection);
  // evhttp reads on while it sends the response.
  bufferevent_setwatermark(buffer, EV_READ, 0, kPipelinedBytes);
  const timeval timeout{ mSettings.mIdleSeconds, 0 };
  bufferevent_set_timeouts(buffer, &timeout, &timeout);
}

void
HttpServer::Respond(const HttpResponse& aResponse)
{
  Call* call = Find(aResponse.mCall);
  if (call == nullptr) {
    return;
  }
  evhttp_request* request = call->mRequest;
  evhttp_connection* connection = call->mConnection;
  Finish(aResponse.mCall);
  AddHeaders(request, aResponse.mHeaders);
  if (aResponse.mEndsByClose) {
    EndByClose(request);
    StopWatchingForClose(connection);
    EvBufferPtr body(evbuffer_new());
    evbuffer_add(body.get(), aResponse.mBody.data(), aResponse.mBody.size());
    evhttp_send_reply_start(request, aResponse.mStatus, nullptr);
    ResetUnlessComplete(request, connection);
    evhttp_send_reply_chunk(request, body.get());
    evhttp_send_reply_end(request);
    return;
  }
  evbuffer_add(evhttp_request_get_output_buffer(request),
               aResponse.mBody.data(),
               aResponse.mBody.size());
  StopWatchingForClose(connection);
  evhttp_send_reply(request, aResponse.mStatus, nullptr, nullptr);
}

void
HttpServer::Begin(const HttpBegin& aBegin)
{
  Call* call = Find(aBegin.mCall);
  if (call == nullptr || call->mBegan) {
    return;
  }
  call->mBegan = true;
  AddHeaders(call->mRequest, aBegin.mHeaders);
  // HTTP/1.0 has no chunks.
  if (aBegin.mEndsByClose || call->mRequest->minor == 0) {
    EndByClose(call->mRequest);
  }
  evhttp_send_reply_start(call->mRequest, aBegin.mStatus, nullptr);
  ResetUnlessComplete(call->mRequest, call->mConnection);
}

void
HttpServer::Chunk(const HttpChunk& aChunk)
{
  Call* call = Find(aChunk.mCall);
  if (call == nullptr || !call->mBegan || aChunk.mBytes.empty()) {
    return;
  }
  bufferevent* buffer = evhttp_connection_get_bufferevent(call->mConnection);
  if (evbuffer_get_length(bufferevent_get_output(buffer)) >
      mSettings.mMaxQueuedBytes) {
    AbortSlowReader(aChunk.mCall);
    return;
  }
  AppendBody(call->mRequest, bufferevent_get_output(buffer), aChunk.mBytes);
}

void
HttpServer::End(const HttpEnd& aEnd)
{
  Call* call = Find(aEnd.mCall);
  if (call == nullptr || !call->mBegan) {
    return;
  }
  evhttp_request* request = call->mRequest;
  evhttp_connection* connection = call->mConnection;
  Finish(aEnd.mCall);
  StopWatchingForClose(connection);
  evhttp_send_reply_end(request);
}

} // namespace caraway
