#pragma once
// HTTP as the role state machines see it: whole requests in, pieces of answers
// out. The runtime maps these onto evhttp.

#include <string>
#include <utility>
#include <vector>

#include "caraway/base/strong.h"

namespace caraway {

using HttpCallId =
  NumberId<struct HttpCallTag>; // one request on one connection
using Headers = std::vector<std::pair<std::string, std::string>>;

// Event: a caller's or operator's whole request.
struct HttpRequest
{
  HttpCallId mCall;
  std::string mMethod; // upper case
  std::string mPath;   // decoded by nobody; without the query
  std::string mQuery;  // without '?'
  Headers mHeaders;    // names as sent
  std::string mBody;
};

// Event: the caller closed its connection before the answer ended.
struct HttpClosed
{
  HttpCallId mCall;
};

// Action: a whole answer.
struct HttpResponse
{
  HttpCallId mCall;
  int mStatus = 200;
  Headers mHeaders;
  std::string mBody;
};

// Actions: an answer in pieces. Begin, then any number of chunks, then End. An
// answer that cannot be finished ends with HttpAbort, which closes the
// connection so that the caller does not take it as whole.
struct HttpBegin
{
  HttpCallId mCall;
  int mStatus = 200;
  Headers mHeaders;
};

struct HttpChunk
{
  HttpCallId mCall;
  std::string mBytes;
};

struct HttpEnd
{
  HttpCallId mCall;
};

struct HttpAbort
{
  HttpCallId mCall;
};

// First value of a header, compared without case; empty if absent.
std::string
HeaderValue(const Headers& aHeaders, const std::string& aName);

} // namespace caraway
