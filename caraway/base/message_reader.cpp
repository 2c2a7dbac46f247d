// Follows the messages of an HTTP/1 connection.

#include "caraway/base/message_reader.h"

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

// evhttp stops earlier by the limits of its connection.
constexpr size_t kMaxHeadBytes = 256 * 1024;

constexpr int kBadRequest = 400;

// Assigning an empty string would keep the memory.
void
Release(std::string& aText)
{
  std::string().swap(aText);
}

void
SetInvalid(MessageReader& aReader, std::string aError, int aStatus)
{
  aReader.mState = ReadState::eInvalid;
  aReader.mError = std::move(aError);
  aReader.mErrorStatus = aStatus;
  Release(aReader.mHead);
  Release(aReader.mLine);
}

// evhttp reads the bytes after such a request as the next one.
bool
HasIgnoredBody(const MessageReader& aReader, const Framing& aFraming)
{
  const std::string_view line = aReader.mHead;
  return aReader.mKind == MessageKind::eRequest &&
         (aFraming.mBody == BodyFraming::eChunks || aFraming.mLength > 0) &&
         !line.starts_with("POST ") && !line.starts_with("PUT ") &&
         !line.starts_with("PATCH ");
}

void
EndMessage(MessageReader& aReader)
{
  aReader.mState = aReader.mKind == MessageKind::eRequest
                     ? ReadState::eStartLine
                     : ReadState::eComplete;
  aReader.mHeadBytes = 0;
  aReader.mMessageBytes = 0;
}

void
EndHead(MessageReader& aReader)
{
  const Framing framing = aReader.mKind == MessageKind::eRequest
                            ? FrameRequest(aReader.mHead)
                            : FrameResponse(aReader.mHead, aReader.mToHead);
  if (!framing.mError.empty()) {
    SetInvalid(aReader, framing.mError, framing.mErrorStatus);
    return;
  }
  if (HasIgnoredBody(aReader, framing)) {
    SetInvalid(
      aReader, "requests with this method have no body here", kBadRequest);
    return;
  }
  Release(aReader.mHead);
  if (framing.mInterim) {
    // The size goes on to count, so that interim responses have a limit too.
    aReader.mInterimBytes = aReader.mHeadBytes;
    aReader.mState = ReadState::eStartLine;
    return;
  }
  aReader.mHeadBytes = 0;
  aReader.mFraming = framing;
  aReader.mLeft = framing.mLength;
  switch (framing.mBody) {
    case BodyFraming::eChunks:
      aReader.mState = ReadState::eChunkSize;
      return;
    case BodyFraming::eUntilClose:
      aReader.mState = ReadState::eUntilClose;
      return;
    default:
      break;
  }
  aReader.mState = ReadState::eLengthBody;
  if (aReader.mLeft == 0) {
    EndMessage(aReader);
  }
}

// Lines of chunks end with CR and LF; in heads, a LF alone ends a line as well
// (RFC 9112, 2.2).
bool
EndsWithCr(std::string& aLine)
{
  if (!aLine.ends_with('\r')) {
    return false;
  }
  aLine.pop_back();
  return true;
}

void
ReadFieldLine(MessageReader& aReader, const std::string& aLine)
{
  if (aLine.empty()) {
    if (aReader.mState == ReadState::eTrailers) {
      EndMessage(aReader);
    } else {
      EndHead(aReader);
    }
  } else if (aReader.mState == ReadState::eFields) {
    aReader.mHead.append(aLine).push_back('\n');
  } else if (const char* error = FieldLineError(aLine)) {
    SetInvalid(aReader, error, kBadRequest);
  }
}

void
ReadLine(MessageReader& aReader)
{
  std::string line = std::exchange(aReader.mLine, {});
  const bool carriage = EndsWithCr(line);
  switch (aReader.mState) {
    case ReadState::eStartLine:
      aReader.mHead.append(line).push_back('\n');
      aReader.mState = ReadState::eFields;
      return;
    case ReadState::eChunkSize:
      if (!carriage || !ReadChunkSize(line, aReader.mLeft)) {
        SetInvalid(aReader, "the size of a chunk is invalid", kBadRequest);
        return;
      }
      aReader.mHeadBytes = 0;
      aReader.mState =
        aReader.mLeft == 0 ? ReadState::eTrailers : ReadState::eChunkData;
      return;
    case ReadState::eChunkEnd:
      if (!carriage || !line.empty()) {
        SetInvalid(aReader, "a chunk is longer than its size", kBadRequest);
        return;
      }
      aReader.mHeadBytes = 0;
      aReader.mState = ReadState::eChunkSize;
      return;
    default:
      ReadFieldLine(aReader, line);
  }
}

// Reads up to the end of the current line; returns the number of bytes read.
size_t
ReadLinePiece(MessageReader& aReader, std::string_view aBytes)
{
  const size_t feed = aBytes.find('\n');
  const size_t size = feed == std::string_view::npos ? aBytes.size() : feed + 1;
  aReader.mHeadBytes += size;
  aReader.mMessageBytes += size;
  if (aReader.mHeadBytes > kMaxHeadBytes) {
    SetInvalid(aReader, "the head of the message is too large", kBadRequest);
    return size;
  }
  aReader.mLine.append(aBytes.substr(0, feed));
  if (feed != std::string_view::npos) {
    ReadLine(aReader);
  }
  return size;
}

size_t
ReadBodyPiece(MessageReader& aReader, std::string_view aBytes)
{
  const size_t size =
    static_cast<size_t>(std::min<uint64_t>(aBytes.size(), aReader.mLeft));
  aReader.mLeft -= size;
  aReader.mMessageBytes += size;
  if (aReader.mLeft == 0) {
    if (aReader.mState == ReadState::eChunkData) {
      aReader.mState = ReadState::eChunkEnd;
    } else {
      EndMessage(aReader);
    }
  }
  return size;
}

} // namespace

bool
ReadBytes(MessageReader& aReader, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    size_t size = 0;
    switch (aReader.mState) {
      case ReadState::eInvalid:
        aReader.mMessageBytes += aBytes.size();
        return false;
      case ReadState::eUntilClose:
        return true;
      case ReadState::eComplete:
        aReader.mTooMuch = true;
        return true;
      case ReadState::eLengthBody:
      case ReadState::eChunkData:
        size = ReadBodyPiece(aReader, aBytes);
        break;
      default:
        size = ReadLinePiece(aReader, aBytes);
    }
    aBytes.remove_prefix(size);
  }
  return aReader.mState != ReadState::eInvalid;
}

} // namespace caraway
