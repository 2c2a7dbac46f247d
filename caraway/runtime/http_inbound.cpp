// The bytes that connections to the HTTP server receive, judged before evhttp
// reads them.

#include <algorithm>
#include <utility>

#include <sys/socket.h>

#include <event2/keyvalq_struct.h>

#include "caraway/runtime/http_rejection.h"
#include "caraway/runtime/http_server.h"
#include "caraway/runtime/input_bytes.h"

namespace caraway {

void
HttpServer::OnInput(evbuffer* aInput,
                    const evbuffer_cb_info* aInfo,
                    void* aInbound)
{
  auto* inbound = static_cast<Inbound*>(aInbound);
  if (aInfo->n_added == 0) {
    return;
  }
  if (!inbound->mWatched) {
    inbound->mServer->WatchInbound(*inbound);
  }
  if (inbound->mTrimming) {
    return;
  }
  inbound->mMovedAt = inbound->mServer->mLoop.Now();
  const size_t before = inbound->mReader.mMessageBytes;
  ForEachAddedPiece(aInput, aInfo->n_added, [&](std::string_view aPiece) {
    ReadBytes(inbound->mReader, aPiece);
  });
  MessageReader& reader = inbound->mReader;
  if (reader.mState != ReadState::eInvalid &&
      (before == 0 || reader.mMessageBytes < before + aInfo->n_added)) {
    inbound->mBeganAt = inbound->mMovedAt; // another message
  }
  if (reader.mState != ReadState::eInvalid &&
      !inbound->mServer->ReserveInput(*inbound, aInfo->n_added)) {
    reader.mState = ReadState::eInvalid;
    reader.mErrorStatus = HTTP_SERVUNAVAIL;
    LogBusy(inbound->mServer->mInputBytes);
  }
  if (reader.mState == ReadState::eInvalid) {
    inbound->mServer->DropInvalid(*inbound, aInput);
  }
}

// Removes the invalid request and what follows it; evhttp still reads the
// requests before.
void
HttpServer::DropInvalid(Inbound& aInbound, evbuffer* aInput)
{
  const size_t invalid = std::exchange(aInbound.mReader.mMessageBytes, 0);
  const size_t length = evbuffer_get_length(aInput);
  const size_t kept = length - std::min(length, invalid);
  aInbound.mTrimming = true;
  const EvBufferPtr before(evbuffer_new());
  evbuffer_remove_buffer(aInput, before.get(), kept);
  evbuffer_drain(aInput, length - kept);
  evbuffer_prepend_buffer(aInput, before.get());
  aInbound.mTrimming = false;
  aInbound.mDropped += length - kept;
  if (aInbound.mDropped > mSettings.mMaxBodyBytes) {
    (void)shutdown(bufferevent_getfd(aInbound.mBuffer), SHUT_RDWR);
  }
  if (kept == 0) {
    RejectInvalid(aInbound);
  }
}

// Lets the end of the connection remove its entry.
void
HttpServer::WatchInbound(Inbound& aInbound)
{
  evhttp_connection_set_closecb(
    ConnectionOf(aInbound), &HttpServer::OnConnectionClosed, this);
  aInbound.mWatched = true;
}

void
HttpServer::ForgetInbound(bufferevent* aBuffer)
{
  const auto known = mInbound.find(aBuffer);
  if (known == mInbound.end()) {
    return;
  }
  evbuffer_remove_cb(
    bufferevent_get_input(aBuffer), &HttpServer::OnInput, &known->second);
  evbuffer_remove_cb(
    bufferevent_get_output(aBuffer), &HttpServer::OnOutput, &known->second);
  SetReserved(known->second, 0);
  mUnsentBytes -= known->second.mUnsent;
  mInbound.erase(known);
}

void
HttpServer::RejectInvalid(Inbound& aInbound)
{
  evhttp_connection* connection = ConnectionOf(aInbound);
  if (const auto call = mCallByConnection.find(connection);
      call != mCallByConnection.end()) {
    // The response to the request before comes first. evhttp closes the
    // connection after it.
    evkeyvalq* headers =
      evhttp_request_get_input_headers(mCalls.at(call->second).mRequest);
    evhttp_remove_header(headers, "Connection");
    evhttp_add_header(headers, "Connection", "close");
    return;
  }
  const bool closing = mUnverified.contains(connection) ||
                       std::any_of(mAborted.begin(),
                                   mAborted.end(),
                                   [&](const AbortedConnection& aOne) {
                                     return aOne.mConnection == connection;
                                   });
  if (aInbound.mRejected || closing) {
    return;
  }
  aInbound.mRejected = true;
  if (evbuffer_get_length(bufferevent_get_output(aInbound.mBuffer)) > 0) {
    return; // the end of a response is still being sent
  }
  const std::string response = RejectionResponse(
    aInbound.mReader.mErrorStatus, aInbound.mReader.mError.c_str());
  bufferevent_write(aInbound.mBuffer, response.data(), response.size());
  bufferevent_enable(aInbound.mBuffer, EV_WRITE);
}

// evhttp closes and frees the connection when it reads the end that this makes.
// A request that exceeds the limits may still be on its way. Closing now would
// reset the connection and could destroy the response, so the rest is read and
// dropped until the caller closes.
void
HttpServer::OnOutput(evbuffer* aOutput,
                     const evbuffer_cb_info* aInfo,
                     void* aInbound)
{
  auto* inbound = static_cast<Inbound*>(aInbound);
  // The time to read a response begins with it.
  const bool begins = inbound->mUnsent == 0;
  HttpServer& server = *inbound->mServer;
  inbound->mUnsent += aInfo->n_added - aInfo->n_deleted;
  server.mUnsentBytes += aInfo->n_added - aInfo->n_deleted;
  if (begins || aInfo->n_deleted > 0) {
    inbound->mMovedAt = server.mLoop.Now();
  }
  if (server.mUnsentBytes > server.mSettings.mMaxQueuedTotalBytes) {
    server.LimitConnectionsSoon();
  }
  if (inbound->mRejected && evbuffer_get_length(aOutput) == 0) {
    const bool lingers = inbound->mReader.mErrorStatus == HTTP_SERVUNAVAIL;
    (void)shutdown(bufferevent_getfd(inbound->mBuffer),
                   lingers ? SHUT_WR : SHUT_RDWR);
  }
}

} // namespace caraway
