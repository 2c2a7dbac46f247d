// HTTP client for tools, based on evhttp.

#include "caraway/runtime/http_fetch.h"

#include <optional>

#include <event2/bufferevent_ssl.h>
#include <event2/keyvalq_struct.h>

#include "absl/strings/str_cat.h"
#include "caraway/base/error.h"

namespace caraway {

namespace {

struct UriFree
{
  void operator()(evhttp_uri* aUri) const { evhttp_uri_free(aUri); }
};

// State of a request in flight. Finish frees it from the loop.
struct PendingFetch
{
  Loop& mLoop;
  SslContextPtr mTls;
  EvHttpConnectionPtr mConnection;
  std::function<void(const std::string&)> mOnBytes;
  FetchCallback mDone;
  bool mFinished = false;
};

void
Finish(PendingFetch* aPending, absl::StatusOr<FetchAnswer> aAnswer)
{
  if (aPending->mFinished) {
    return;
  }
  aPending->mFinished = true;
  aPending->mLoop.Defer([aPending, answer = std::move(aAnswer)] {
    const std::unique_ptr<PendingFetch> owned(aPending);
    owned->mDone(answer);
  });
}

std::string
DrainInput(evhttp_request* aRequest)
{
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  return bytes;
}

void
OnBytes(evhttp_request* aRequest, void* aPending)
{
  auto* pending = static_cast<PendingFetch*>(aPending);
  pending->mOnBytes(DrainInput(aRequest));
}

void
OnDone(evhttp_request* aRequest, void* aPending)
{
  auto* pending = static_cast<PendingFetch*>(aPending);
  if (aRequest == nullptr || evhttp_request_get_response_code(aRequest) == 0) {
    Finish(pending,
           MakeError(ErrorKind::eUnavailable,
                     "the server sent no complete answer",
                     "check the address and that the process is running"));
    return;
  }
  FetchAnswer answer;
  answer.mStatus = evhttp_request_get_response_code(aRequest);
  evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    answer.mHeaders.emplace_back(header->key, header->value);
  }
  answer.mBody = DrainInput(aRequest);
  if (pending->mOnBytes && !answer.mBody.empty()) {
    pending->mOnBytes(answer.mBody);
    answer.mBody.clear();
  }
  Finish(pending, std::move(answer));
}

evhttp_cmd_type
MethodOf(const std::string& aMethod)
{
  if (aMethod == "GET") {
    return EVHTTP_REQ_GET;
  }
  if (aMethod == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  return aMethod == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_POST;
}

absl::StatusOr<bufferevent*>
MakeTlsBuffer(PendingFetch& aPending, const std::string& aAuthority)
{
  aPending.mTls.reset(SSL_CTX_new(TLS_client_method()));
  if (SSL_CTX_load_verify_locations(
        aPending.mTls.get(), aAuthority.c_str(), nullptr) != 1) {
    return MakeError(
      ErrorKind::eInvalidArgument,
      absl::StrCat(
        "cannot load a certificate authority from '", aAuthority, "'"),
      "name the PEM file of the CA that signed the server's certificate");
  }
  SSL_CTX_set_verify(aPending.mTls.get(), SSL_VERIFY_PEER, nullptr);
  return bufferevent_openssl_socket_new(aPending.mLoop.Base(),
                                        -1,
                                        SSL_new(aPending.mTls.get()),
                                        BUFFEREVENT_SSL_CONNECTING,
                                        BEV_OPT_CLOSE_ON_FREE);
}

} // namespace

void
Fetch(Loop& aLoop, const FetchRequest& aRequest, FetchCallback aDone)
{
  auto* pending = new PendingFetch{
    aLoop, {}, {}, aRequest.mOnBytes, std::move(aDone), false
  };
  const std::unique_ptr<evhttp_uri, UriFree> uri(
    evhttp_uri_parse(aRequest.mUrl.c_str()));
  const char* host = uri ? evhttp_uri_get_host(uri.get()) : nullptr;
  if (host == nullptr || evhttp_uri_get_port(uri.get()) <= 0) {
    Finish(
      pending,
      MakeError(ErrorKind::eInvalidArgument,
                absl::StrCat("'", aRequest.mUrl, "' is not a supported URL"),
                "write it as http://IP:PORT/path"));
    return;
  }
  bufferevent* buffer = nullptr;
  if (aRequest.mUrl.starts_with("https://")) {
    auto tls = MakeTlsBuffer(*pending, aRequest.mAuthority);
    if (!tls.ok()) {
      Finish(pending, tls.status());
      return;
    }
    buffer = *tls;
  }
  pending->mConnection.reset(evhttp_connection_base_bufferevent_new(
    aLoop.Base(),
    nullptr,
    buffer,
    host,
    static_cast<uint16_t>(evhttp_uri_get_port(uri.get()))));
  evhttp_connection_set_timeout(
    pending->mConnection.get(),
    std::max<int>(1, static_cast<int>(aRequest.mTimeout.Seconds())));
  evhttp_request* request = evhttp_request_new(&OnDone, pending);
  if (aRequest.mOnBytes) {
    evhttp_request_set_chunked_cb(request, &OnBytes);
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  if (HeaderValue(aRequest.mHeaders, "Host").empty()) {
    evhttp_add_header(headers, "Host", host);
  }
  evhttp_add_header(headers, "Connection", "close");
  for (const auto& [name, value] : aRequest.mHeaders) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request),
               aRequest.mBody.data(),
               aRequest.mBody.size());
  const char* path = evhttp_uri_get_path(uri.get());
  const char* query = evhttp_uri_get_query(uri.get());
  const std::string target =
    absl::StrCat(path != nullptr && *path != '\0' ? path : "/",
                 query != nullptr ? "?" : "",
                 query != nullptr ? query : "");
  if (evhttp_make_request(pending->mConnection.get(),
                          request,
                          MethodOf(aRequest.mMethod),
                          target.c_str()) != 0) {
    Finish(pending,
           MakeError(ErrorKind::eUnavailable,
                     "the connection could not be opened",
                     "check the address"));
  }
}

absl::StatusOr<FetchAnswer>
FetchAndWait(Loop& aLoop, const FetchRequest& aRequest)
{
  std::optional<absl::StatusOr<FetchAnswer>> result;
  Fetch(aLoop, aRequest, [&](absl::StatusOr<FetchAnswer> aAnswer) {
    result = std::move(aAnswer);
    aLoop.Exit();
  });
  aLoop.Run();
  if (!result) {
    return MakeError(ErrorKind::eTimeout, "interrupted", "run it again");
  }
  return *result;
}

} // namespace caraway
