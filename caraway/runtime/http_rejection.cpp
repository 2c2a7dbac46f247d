// Responses to requests that are not valid HTTP.

#include "caraway/runtime/http_rejection.h"

#include "absl/strings/str_cat.h"

namespace caraway {

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
