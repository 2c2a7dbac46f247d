#pragma once
// Follows the bytes of one direction of an HTTP/1 connection and tells where
// each message ends. It runs beside evhttp, which reads more leniently than
// RFC 9112 allows: the first of several lengths, lines with NUL bytes, chunk
// sizes with a sign. A message counts only if both read it the same way.
//
// Invariant: the result does not depend on how the bytes are cut into pieces.

#include <cstdint>
#include <string>
#include <string_view>

#include "caraway/base/message_framing.h"

namespace caraway {

enum class ReadState : uint8_t
{
  eStartLine,
  eFields,
  eLengthBody,
  eChunkSize,
  eChunkData,
  eChunkEnd, // the line end after a chunk's data
  eTrailers,
  eUntilClose,
  eComplete, // a response has ended; requests go on with eStartLine
  eInvalid,
};

struct MessageReader
{
  MessageKind mKind = MessageKind::eRequest;
  bool mToHead = false; // responses: the request was a HEAD
  ReadState mState = ReadState::eStartLine;
  // As FrameRequest takes it; kept until the head has ended only.
  std::string mHead;
  size_t mHeadBytes = 0;
  Framing mFraming;         // of the newest head that has ended
  size_t mMessageBytes = 0; // of the current message so far
  size_t mInterimBytes = 0; // of interim responses before the final one
  std::string mLine;        // the current line, without its line feed
  uint64_t mLeft = 0;       // bytes of the body or the chunk still to come
  std::string mError;       // with eInvalid
  int mErrorStatus = 0;     // with eInvalid, of requests: 400 or 501
  bool mTooMuch = false;    // bytes have followed a complete response
};

// Reads the next bytes. Returns false once the connection is invalid; the bytes
// after that are ignored.
bool
ReadBytes(MessageReader& aReader, std::string_view aBytes);

} // namespace caraway
