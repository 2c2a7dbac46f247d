#pragma once
// Responses to requests that are not valid HTTP, or for which no memory is
// left.

#include <string>

#include "caraway/runtime/libevent_handles.h"

namespace caraway {

constexpr const char* kWellFormed = "send a well-formed HTTP/1.1 request";

std::string
RejectionBody(const char* aMessage, const char* aCode, const char* aRemedy);

// The whole response, with status 400, 501 or 503, to a request that evhttp
// does not get. aError is for the first two.
std::string
RejectionResponse(int aStatus, const char* aError);

// Responds to a request that exceeds the limits of all held requests.
void
RejectBusy(evhttp_request* aRequest);

// aHeld: bytes of all held requests.
void
LogBusy(size_t aHeld);

// Responds to a request that evhttp rejected: too large, or not valid HTTP.
void
RejectMalformed(evhttp_request* aRequest, int aStatus);

} // namespace caraway
