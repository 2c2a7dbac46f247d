#pragma once
// Decides how the body of an HTTP/1 message is framed, from its start line and
// all its header fields, by RFC 9112 (sections 2.2, 5, 6 and 7.1) and RFC 9110
// (5.5, 7.2 and 8.6). A message that two readers could frame differently is
// invalid.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "caraway/base/http.h"

namespace caraway {

enum class MessageKind : uint8_t
{
  eRequest,
  eResponse,
};

enum class BodyFraming : uint8_t
{
  eNone,
  eLength,
  eChunks,
  eUntilClose, // responses only
};

struct Framing
{
  BodyFraming mBody = BodyFraming::eNone;
  uint64_t mLength = 0;  // of the body in bytes, with eLength
  std::string mError;    // why the message is invalid; empty: it is valid
  int mErrorStatus = 0;  // for an invalid request: 400 or 501
  bool mInterim = false; // the final response follows
  bool mHttp10 = false;  // responses: the sender's version is HTTP/1.0
};

// aHead: the start line and the field lines, each with a line feed and without
// its CR, without the empty line that ends the head.
Framing
FrameRequest(std::string_view aHead);

// aToHead: the request was a HEAD, to whose responses no body belongs.
Framing
FrameResponse(std::string_view aHead, bool aToHead);

// The size in a chunk's first line, without its line end. False if the line is
// invalid.
bool
ReadChunkSize(std::string_view aLine, uint64_t& aSize);

// The lower-case elements of all Connection headers: options such as "close",
// and the names of headers that concern the connection only.
std::vector<std::string>
ConnectionOptions(const Headers& aHeaders);

// Why a field line is invalid, nullptr if it is not.
const char*
FieldLineError(std::string_view aLine);

} // namespace caraway
