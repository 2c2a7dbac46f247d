// HTTP client for calls to targets, based on evhttp.

#include "caraway/runtime/target_client.h"

#include <algorithm>
#include <utility>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <event2/keyvalq_struct.h>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "caraway/runtime/input_bytes.h"
#include "caraway/runtime/socket_address.h"

namespace caraway {

namespace {

// Limit on the header section of an answer, and on its trailers and interim
// (1xx) answers.
constexpr size_t kMaxHeadBytes = 64 * 1024;
// Limit on bytes that the parser cannot consume yet, such as an unterminated
// status line or chunk size line.
constexpr size_t kMaxUnparsedBytes = 256 * 1024;

struct UriFree
{
  void operator()(evhttp_uri* aUri) const { evhttp_uri_free(aUri); }
};

evhttp_cmd_type
MethodOf(const std::string& aMethod)
{
  if (aMethod == "GET") {
    return EVHTTP_REQ_GET;
  }
  if (aMethod == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (aMethod == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  if (aMethod == "HEAD") {
    return EVHTTP_REQ_HEAD;
  }
  if (aMethod == "OPTIONS") {
    return EVHTTP_REQ_OPTIONS;
  }
  if (aMethod == "PATCH") {
    return EVHTTP_REQ_PATCH;
  }
  return EVHTTP_REQ_POST;
}

// Headers of a single connection (hop-by-hop, Host, length) are not forwarded;
// each connection gets its own.
bool
IsConnectionHeader(const std::string& aName)
{
  return absl::EqualsIgnoreCase(aName, "connection") ||
         absl::EqualsIgnoreCase(aName, "host") ||
         absl::EqualsIgnoreCase(aName, "content-length") ||
         absl::EqualsIgnoreCase(aName, "transfer-encoding") ||
         absl::EqualsIgnoreCase(aName, "expect");
}

void
RemoveAll(evkeyvalq* aHeaders, const char* aName)
{
  while (evhttp_remove_header(aHeaders, aName) == 0) {
  }
}

// Makes evhttp frame the body as the reader has. By itself it takes an answer
// without a length for an empty one if its connection is kept.
void
SetFraming(evkeyvalq* aHeaders, const Framing& aFraming)
{
  for (const char* name :
       { "Connection", "Content-Length", "Transfer-Encoding" }) {
    RemoveAll(aHeaders, name);
  }
  if (aFraming.mBody == BodyFraming::eChunks) {
    evhttp_add_header(aHeaders, "Transfer-Encoding", "chunked");
  } else if (aFraming.mBody == BodyFraming::eUntilClose) {
    evhttp_add_header(aHeaders, "Connection", "close");
  } else {
    evhttp_add_header(
      aHeaders, "Content-Length", absl::StrCat(aFraming.mLength).c_str());
  }
}

} // namespace

TargetClient::TargetClient(Loop& aLoop, TargetClientSettings aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mIdleTimer(aLoop, [this] { DropIdle(); })
{
}

TargetClient::~TargetClient()
{
  // No callbacks from connections that are closed from here on.
  for (auto& [id, idle] : mIdle) {
    evhttp_connection_set_closecb(idle.mConnection.get(), nullptr, nullptr);
  }
  for (auto& [id, call] : mCalls) {
    if (call->mConnection) {
      evhttp_connection_set_closecb(call->mConnection.get(), nullptr, nullptr);
    }
  }
}

EvHttpConnectionPtr
TargetClient::TakeConnection(Call& aCall,
                             const std::string& aHost,
                             uint16_t aPort,
                             bool aFresh)
{
  if (!aFresh) {
    if (EvHttpConnectionPtr idle = TakeIdleConnection(aCall)) {
      aCall.mReusedConnection = true;
      return idle;
    }
  }
  return EvHttpConnectionPtr(evhttp_connection_base_bufferevent_new(
    mLoop.Base(), nullptr, nullptr, aHost.c_str(), aPort));
}

void
TargetClient::Start(const StartTargetCall& aStart)
{
  auto owned = std::make_unique<Call>();
  Call& call = *owned;
  call.mClient = this;
  call.mId = aStart.mCall;
  call.mReader.mKind = MessageKind::eResponse;
  call.mReader.mToHead = aStart.mMethod == "HEAD";
  mCalls[aStart.mCall] = std::move(owned);
  const std::unique_ptr<evhttp_uri, UriFree> uri(
    evhttp_uri_parse(aStart.mUrl.c_str()));
  const char* host = uri ? evhttp_uri_get_host(uri.get()) : nullptr;
  const int port = uri ? evhttp_uri_get_port(uri.get()) : -1;
  if (host == nullptr || port <= 0) {
    Fail(call, Outcome::eNotRun, "the target's URL lacks a host or a port");
    return;
  }
  call.mAuthority = absl::StrCat(host, ":", port);
  call.mRequest = aStart.mContext.mRequest;
  call.mIdleLimit = aStart.mIdleLimit;
  call.mConnection = TakeConnection(
    call, host, static_cast<uint16_t>(port), aStart.mFreshConnection);
  evhttp_connection_set_closecb(
    call.mConnection.get(), &TargetClient::OnClosing, &call);
  evhttp_connection_set_timeout(
    call.mConnection.get(),
    std::max<int>(1, static_cast<int>(aStart.mTimeout.Seconds())));
  evhttp_connection_set_max_headers_size(
    call.mConnection.get(), static_cast<ev_ssize_t>(kMaxHeadBytes));
  // No retries by evhttp: the role decides whether to send again.
  evhttp_connection_set_retries(call.mConnection.get(), 0);
  bufferevent* buffer =
    evhttp_connection_get_bufferevent(call.mConnection.get());
  evbuffer_add_cb(
    bufferevent_get_output(buffer), &TargetClient::OnOutput, &call);
  evbuffer_add_cb(bufferevent_get_input(buffer), &TargetClient::OnInput, &call);

  evhttp_request* request = evhttp_request_new(&TargetClient::OnDone, &call);
  evhttp_request_set_header_cb(request, &TargetClient::OnHeaders);
  evhttp_request_set_chunked_cb(request, &TargetClient::OnChunk);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : aStart.mHeaders) {
    if (!IsConnectionHeader(name)) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
  }
  evhttp_add_header(headers,
                    "Host",
                    aStart.mContext.mHost.empty()
                      ? call.mAuthority.c_str()
                      : aStart.mContext.mHost.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(request),
               aStart.mBody.data(),
               aStart.mBody.size());
  if (!aStart.mBody.empty()) {
    evhttp_add_header(
      headers, "Content-Length", absl::StrCat(aStart.mBody.size()).c_str());
  }
  if (evhttp_make_request(call.mConnection.get(),
                          request,
                          MethodOf(aStart.mMethod),
                          aStart.mPath.c_str()) != 0 &&
      !call.mClosed) {
    Fail(call, Outcome::eNotRun, "the connection could not be opened");
    return;
  }
  SetNoDelay(bufferevent_getfd(buffer));
}

void
TargetClient::OnOutput(evbuffer*, const evbuffer_cb_info* aInfo, void* aCall)
{
  auto* call = static_cast<Call*>(aCall);
  const bool first = call->mBytesSent == 0 && aInfo->n_deleted > 0;
  call->mBytesSent += aInfo->n_deleted;
  if (first && !call->mClosed) {
    call->mClient->mOnSent.emit({ call->mId, call->mReusedConnection });
  }
}

// Called while the socket is still open. evhttp knows only what the socket has
// taken; a target that ends its answer without having received the request has
// broken off, also if it closes in an orderly way.
void
TargetClient::OnClosing(evhttp_connection* aConnection, void* aCall)
{
  int unsent = 0;
  const evutil_socket_t socket =
    bufferevent_getfd(evhttp_connection_get_bufferevent(aConnection));
  static_cast<Call*>(aCall)->mUploadCut =
    ioctl(socket, SIOCOUTQ, &unsent) == 0 && unsent > 0;
}

void
TargetClient::OnInput(evbuffer* aBuffer,
                      const evbuffer_cb_info* aInfo,
                      void* aCall)
{
  auto* call = static_cast<Call*>(aCall);
  if (call->mClosed || call->mPassing || aInfo->n_added == 0) {
    return;
  }
  if (!call->mBegan) {
    call->mBytesBeforeHead += aInfo->n_added;
  }
  if (evbuffer_get_length(aBuffer) > kMaxUnparsedBytes ||
      call->mBytesBeforeHead > kMaxUnparsedBytes) {
    call->mClient->Fail(
      *call,
      Outcome::eUnknown,
      "the target sent too many bytes without a complete answer");
    return;
  }
  ForEachAddedPiece(aBuffer, aInfo->n_added, [&](std::string_view aPiece) {
    ReadBytes(call->mReader, aPiece);
  });
  if (call->mReader.mState == ReadState::eInvalid) {
    call->mClient->Fail(*call, Outcome::eUnknown, call->mReader.mError);
  } else if (!call->mHeadPassed) {
    PassWholeHead(*call, aBuffer);
  }
}

// evhttp gets the final response only, with its whole head: it cannot skip
// interim responses.
void
TargetClient::PassWholeHead(Call& aCall, evbuffer* aInput)
{
  const ReadState state = aCall.mReader.mState;
  aCall.mHeadPassed =
    state != ReadState::eStartLine && state != ReadState::eFields;
  if (aCall.mHeadPassed && !aCall.mHeld && aCall.mReader.mInterimBytes == 0) {
    return; // the usual case: the head has come in one piece
  }
  if (!aCall.mHeld) {
    aCall.mHeld.reset(evbuffer_new());
  }
  evbuffer* held = aCall.mHeld.get();
  aCall.mPassing = true; // changes of the input call OnInput again
  evbuffer_add_buffer(held, aInput);
  if (aCall.mHeadPassed) {
    evbuffer_drain(held, aCall.mReader.mInterimBytes);
    evbuffer_prepend_buffer(aInput, held);
  }
  aCall.mPassing = false;
}

int
TargetClient::OnHeaders(evhttp_request* aRequest, void* aCall)
{
  auto* call = static_cast<Call*>(aCall);
  if (call->mClosed || call->mBegan) {
    return 0;
  }
  call->mBegan = true;
  TargetCallBegan began;
  began.mCall = call->mId;
  began.mStatus = evhttp_request_get_response_code(aRequest);
  const Framing& framing = call->mReader.mFraming;
  began.mEndsByClose = framing.mBody == BodyFraming::eUntilClose;
  evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    began.mHeaders.emplace_back(header->key, header->value);
  }
  const std::vector<std::string> options = ConnectionOptions(began.mHeaders);
  const auto isOption = [&](const std::string& aName) {
    return std::find(options.begin(),
                     options.end(),
                     absl::AsciiStrToLower(aName)) != options.end();
  };
  call->mKeep = !isOption("close") && !began.mEndsByClose && !framing.mHttp10;
  call->mReuseTime = ReuseTime(StatedIdleTime(began.mHeaders));
  std::erase_if(began.mHeaders, [&](const auto& aHeader) {
    return IsConnectionHeader(aHeader.first) || isOption(aHeader.first);
  });
  SetFraming(headers, framing);
  call->mClient->mOnBegan.emit(began);
  return 0;
}

void
TargetClient::TakeBody(evhttp_request* aRequest, Call& aCall)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  const size_t before = aCall.mReceived.size();
  aCall.mReceived.resize(before + evbuffer_get_length(input));
  evbuffer_remove(
    input, aCall.mReceived.data() + before, aCall.mReceived.size() - before);
}

// Called for each chunk. The chunks of one read are emitted together, since an
// event costs many times the bytes of a small chunk.
void
TargetClient::OnChunk(evhttp_request* aRequest, void* aCall)
{
  constexpr size_t kLineEnd = 2; // of the chunk that was read
  auto* call = static_cast<Call*>(aCall);
  if (call->mClosed) {
    return;
  }
  TakeBody(aRequest, *call);
  TargetClient* client = call->mClient;
  const evbuffer* unread = bufferevent_get_input(
    evhttp_connection_get_bufferevent(call->mConnection.get()));
  if (evbuffer_get_length(unread) <= kLineEnd) {
    client->Flush(*call);
  } else if (!call->mFlushQueued) {
    call->mFlushQueued = true;
    client->mLoop.Defer([client, id = call->mId] {
      auto known = client->mCalls.find(id);
      if (known != client->mCalls.end()) {
        known->second->mFlushQueued = false;
        client->Flush(*known->second);
      }
    });
  }
}

void
TargetClient::Flush(Call& aCall)
{
  if (!aCall.mReceived.empty()) {
    mOnBytes.emit({ aCall.mId, std::exchange(aCall.mReceived, {}) });
  }
}

void
TargetClient::OnDone(evhttp_request* aRequest, void* aCall)
{
  auto* call = static_cast<Call*>(aCall);
  TargetClient* client = call->mClient;
  if (call->mClosed) {
    return;
  }
  if (aRequest == nullptr || evhttp_request_get_response_code(aRequest) == 0 ||
      !call->mBegan) {
    const bool sent = call->mBytesSent > 0;
    const char* broken =
      call->mReusedConnection && call->mBytesBeforeHead == 0
        ? "the reused connection closed before the answer"
        : "the connection closed before the answer was complete";
    client->Fail(*call,
                 sent ? Outcome::eUnknown : Outcome::eNotRun,
                 sent ? broken
                      : "the connection failed before the request was sent");
    return;
  }
  TakeBody(aRequest, *call); // bytes not yet passed to the chunk callback
  client->Flush(*call);
  if (call->mClosed) {
    return;
  }
  const TargetCallId id = call->mId;
  const ReadState end = call->mReader.mState;
  const bool byClose = end == ReadState::eUntilClose;
  if (byClose ? call->mUploadCut : end != ReadState::eComplete) {
    client->Fail(*call,
                 Outcome::eUnknown,
                 byClose ? "the target closed before it had the whole request"
                         : "the connection closed before the answer was "
                           "complete");
    return;
  }
  const bool keep = call->mKeep && !call->mReader.mTooMuch;
  client->CloseCall(id, keep);
  client->mOnEnded.emit({ id, byClose });
}

void
TargetClient::Fail(Call& aCall, Outcome aOutcome, std::string aReason)
{
  const TargetCallId id = aCall.mId;
  std::string received = std::move(aCall.mReceived);
  // What has broken this connection may have broken the others as well.
  CloseIdle(DropTarget(mPool, aCall.mAuthority));
  CloseCall(id, false);
  // Deferred, so that the role gets no event while its actions are still being
  // carried out.
  mLoop.Defer([this,
               id,
               aOutcome,
               received = std::move(received),
               reason = std::move(aReason)] {
    if (!received.empty()) {
      mOnBytes.emit({ id, received });
    }
    mOnFailed.emit({ id, aOutcome, reason });
  });
}

void
TargetClient::Cancel(const CancelTargetCall& aCancel)
{
  const auto known = mCalls.find(aCancel.mCall);
  if (known == mCalls.end()) {
    return;
  }
  const Call& call = *known->second;
  if (call.mReusedConnection && !call.mBegan) {
    // Connections may go silent without a reset while new ones work.
    CloseIdle(DropTarget(mPool, call.mAuthority));
  }
  CloseCall(aCancel.mCall, false);
}

void
TargetClient::CloseCall(TargetCallId aId, bool aReusable)
{
  auto known = mCalls.find(aId);
  std::shared_ptr<Call> call = std::move(known->second);
  mCalls.erase(known);
  call->mClosed = true;
  if (!call->mConnection) {
    return;
  }
  evhttp_connection_set_closecb(call->mConnection.get(), nullptr, nullptr);
  bufferevent* buffer =
    evhttp_connection_get_bufferevent(call->mConnection.get());
  evbuffer_remove_cb(
    bufferevent_get_output(buffer), &TargetClient::OnOutput, call.get());
  evbuffer_remove_cb(
    bufferevent_get_input(buffer), &TargetClient::OnInput, call.get());
  // Deferred, since one of the connection's callbacks may be running: frees the
  // connection or keeps it for reuse.
  mLoop.Defer([this, call, aReusable] {
    if (aReusable) {
      KeepConnection(*call);
    }
  });
}

} // namespace caraway
