// Responses to requests that are not valid HTTP, or for which no memory is
// left.

#include "caraway/runtime/http_rejection.h"

#include "absl/strings/str_cat.h"
#include "caraway/runtime/logging.h"

namespace caraway {

namespace {

constexpr const char* kBusyRetryAfter = "1"; // seconds

std::string
BusyBody()
{
  return R"({"error":{"message":"the requests in progress take all memory )"
         R"(for requests; nothing was done","type":"server_error",)"
         R"("code":"overloaded","outcome":"not_run",)"
         R"("remedy":"send the request again after Retry-After"}})";
}

const char*
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case HTTP_BADREQUEST:
      return "Bad Request";
    case HTTP_SERVUNAVAIL:
      return "Service Unavailable";
    default:
      return "Not Implemented";
  }
}

} // namespace

std::string
RejectionBody(const char* aMessage, const char* aCode, const char* aRemedy)
{
  return absl::StrCat(R"({"error":{"message":")",
                      aMessage,
                      R"(","type":"invalid_request_error","code":")",
                      aCode,
                      R"(","outcome":"not_run","remedy":")",
                      aRemedy,
                      R"("}})");
}

std::string
RejectionResponse(int aStatus, const char* aError)
{
  const bool busy = aStatus == HTTP_SERVUNAVAIL;
  const std::string body =
    busy ? BusyBody() : RejectionBody(aError, "invalid_argument", kWellFormed);
  return absl::StrCat("HTTP/1.1 ",
                      aStatus,
                      " ",
                      ReasonPhrase(aStatus),
                      busy ? absl::StrCat("\r\nRetry-After: ", kBusyRetryAfter)
                           : "",
                      "\r\nContent-Type: application/json\r\nContent-Length: ",
                      body.size(),
                      "\r\nConnection: close\r\n\r\n",
                      body);
}

void
RejectBusy(evhttp_request* aRequest)
{
  const std::string body = BusyBody();
  evkeyvalq* output = evhttp_request_get_output_headers(aRequest);
  evhttp_add_header(output, "Content-Type", "application/json");
  evhttp_add_header(output, "Retry-After", kBusyRetryAfter);
  evbuffer_add(
    evhttp_request_get_output_buffer(aRequest), body.data(), body.size());
  evhttp_send_reply(aRequest, HTTP_SERVUNAVAIL, nullptr, nullptr);
}

void
LogBusy(size_t aHeld)
{
  WriteLog(
    LogLevel::eWarning,
    "refuse",
    { { "choice", std::to_string(HTTP_SERVUNAVAIL) },
      { "reason", "the requests in progress take all memory for requests" },
      { "held_bytes", std::to_string(aHeld) } });
}

void
RejectMalformed(evhttp_request* aRequest, int aStatus)
{
  const std::string body =
    aStatus == HTTP_ENTITYTOOLARGE
      ? RejectionBody("request headers or body are too large",
                      "too_large",
                      "send less, or upload the file in parts by /v1/uploads")
      : RejectionBody(
          "the request is not valid HTTP", "invalid_argument", kWellFormed);
  evkeyvalq* output = evhttp_request_get_output_headers(aRequest);
  evhttp_add_header(output, "Content-Type", "application/json");
  evhttp_add_header(output, "Connection", "close");
  evbuffer_add(
    evhttp_request_get_output_buffer(aRequest), body.data(), body.size());
  evhttp_send_reply(aRequest, aStatus, nullptr, nullptr);
}

} // namespace caraway
