#pragma once
// Responses to requests that are not valid HTTP.

#include <string>

#include "caraway/runtime/libevent_handles.h"

namespace caraway {

constexpr const char* kWellFormed = "send a well-formed HTTP/1.1 request";

std::string
RejectionBody(const char* aMessage, const char* aCode, const char* aRemedy);

// Responds to a request that evhttp rejected: too large, or not valid HTTP.
void
RejectMalformed(evhttp_request* aRequest, int aStatus);

} // namespace caraway
