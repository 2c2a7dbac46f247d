// How the body of an HTTP/1 message is framed.

#include "caraway/base/message_framing.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "caraway/base/absl_view.h"

namespace caraway {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotImplemented = 501;

bool
IsTokenChar(char aChar)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(aChar)) ||
         kMarks.find(aChar) != std::string_view::npos;
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenChar);
}

std::string_view
Trim(std::string_view aText)
{
  const size_t begin = aText.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(" \t") - begin + 1);
}

// Removes the first line and returns it without its line feed.
std::string_view
TakeLine(std::string_view& aLines)
{
  const size_t feed = std::min(aLines.find('\n'), aLines.size());
  const std::string_view line = aLines.substr(0, feed);
  aLines.remove_prefix(std::min(feed + 1, aLines.size()));
  return line;
}

bool
IsSameName(std::string_view aOne, std::string_view aOther)
{
  return absl::EqualsIgnoreCase(AbslView(aOne), AbslView(aOther));
}

// The fields that decide on the framing, of all lines of the head.
struct FramingFields
{
  std::vector<std::string_view> mLengths; // elements of all lists
  std::vector<std::string_view> mCodings; // likewise
  std::vector<std::string_view> mHosts;
  bool mHasLength = false;
  bool mHasCoding = false;
};

void
AppendElements(std::string_view aList, std::vector<std::string_view>& aElements)
{
  while (true) {
    const size_t comma = aList.find(',');
    aElements.push_back(Trim(aList.substr(0, comma)));
    if (comma == std::string_view::npos) {
      return;
    }
    aList.remove_prefix(comma + 1);
  }
}

// Returns why a line is invalid, nullptr if none is.
const char*
CollectFields(std::string_view aLines, FramingFields& aFields)
{
  while (!aLines.empty()) {
    const std::string_view line = TakeLine(aLines);
    if (const char* error = FieldLineError(line)) {
      return error;
    }
    const size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = Trim(line.substr(colon + 1));
    const bool length = IsSameName(name, "content-length");
    const bool coding = IsSameName(name, "transfer-encoding");
    if ((length || coding) && line.find('\t') != std::string_view::npos) {
      return "a field of the framing holds a tab";
    }
    if (length) {
      aFields.mHasLength = true;
      AppendElements(value, aFields.mLengths);
    } else if (coding) {
      aFields.mHasCoding = true;
      AppendElements(value, aFields.mCodings);
    } else if (IsSameName(name, "host")) {
      aFields.mHosts.push_back(value);
    }
  }
  return nullptr;
}

std::optional<uint64_t>
ReadDecimal(std::string_view aText)
{
  // The length is used as a signed number too.
  constexpr uint64_t kLargest = std::numeric_limits<int64_t>::max();
  uint64_t value = 0;
  for (const char digit : aText) {
    if (digit < '0' || digit > '9' || value > (kLargest - 9) / 10) {
      return std::nullopt;
    }
    value = value * 10 + static_cast<uint64_t>(digit - '0');
  }
  return aText.empty() ? std::nullopt : std::optional<uint64_t>(value);
}

Framing
Invalid(const char* aError, int aStatus = kBadRequest)
{
  Framing framing;
  framing.mError = aError;
  framing.mErrorStatus = aStatus;
  return framing;
}

// RFC 9112, 6.3: repeats of the same length count as one.
Framing
FrameByLength(const FramingFields& aFields)
{
  Framing framing;
  framing.mBody = BodyFraming::eLength;
  for (size_t at = 0; at < aFields.mLengths.size(); ++at) {
    const std::optional<uint64_t> length = ReadDecimal(aFields.mLengths[at]);
    if (!length) {
      return Invalid("the content length is not a number of bytes");
    }
    if (at > 0 && *length != framing.mLength) {
      return Invalid("the message states two content lengths");
    }
    framing.mLength = *length;
  }
  return framing;
}

// RFC 9112, 6.1: only chunks are understood here, applied once.
Framing
FrameByCoding(const FramingFields& aFields, bool aHttp10)
{
  if (aHttp10) {
    return Invalid("an HTTP/1.0 message has a transfer coding");
  }
  if (aFields.mHasLength) {
    return Invalid("the message has a transfer coding and a content length");
  }
  for (const std::string_view coding : aFields.mCodings) {
    if (!IsSameName(coding, "chunked")) {
      return Invalid("the transfer coding is not supported", kNotImplemented);
    }
  }
  if (aFields.mCodings.size() != 1) {
    return Invalid("the message is chunked twice");
  }
  Framing framing;
  framing.mBody = BodyFraming::eChunks;
  return framing;
}

// True for "HTTP/1.x".
bool
IsHttp1(std::string_view aVersion)
{
  constexpr std::string_view kStart = "HTTP/1.";
  return aVersion.size() == kStart.size() + 1 && aVersion.starts_with(kStart) &&
         absl::ascii_isdigit(static_cast<unsigned char>(aVersion.back()));
}

bool
HasForbiddenBytes(std::string_view aLine)
{
  return aLine.find('\r') != std::string_view::npos ||
         aLine.find('\0') != std::string_view::npos;
}

bool
IsHost(std::string_view aValue)
{
  return aValue.find_first_of(" \t,/?#@\\") == std::string_view::npos;
}

} // namespace

const char*
FieldLineError(std::string_view aLine)
{
  if (HasForbiddenBytes(aLine)) {
    return "a header line holds a CR or NUL byte";
  }
  if (aLine.starts_with(' ') || aLine.starts_with('\t')) {
    return "a header line is folded";
  }
  const size_t colon = aLine.find(':');
  if (colon == std::string_view::npos || !IsToken(aLine.substr(0, colon))) {
    return "a header line has no valid name";
  }
  return nullptr;
}

std::vector<std::string>
ConnectionOptions(const Headers& aHeaders)
{
  std::vector<std::string> options;
  for (const auto& [name, value] : aHeaders) {
    if (!IsSameName(name, "connection")) {
      continue;
    }
    std::vector<std::string_view> elements;
    AppendElements(value, elements);
    for (const std::string_view element : elements) {
      options.push_back(absl::AsciiStrToLower(AbslView(element)));
    }
  }
  return options;
}

Framing
FrameRequest(std::string_view aHead)
{
  const std::string_view line = TakeLine(aHead);
  const size_t first = line.find(' ');
  const size_t last = line.rfind(' ');
  if (HasForbiddenBytes(line) || first == std::string_view::npos ||
      last == first || !IsToken(line.substr(0, first)) || last - first < 2 ||
      line.substr(first + 1, last - first - 1).find_first_of(" \t") !=
        std::string_view::npos ||
      !IsHttp1(line.substr(last + 1))) {
    return Invalid("the request line is invalid");
  }
  const bool http10 = line.back() == '0';
  FramingFields fields;
  if (const char* error = CollectFields(aHead, fields)) {
    return Invalid(error);
  }
  if (fields.mHosts.size() > 1 || (fields.mHosts.empty() && !http10)) {
    return Invalid("the request does not have one Host header");
  }
  if (!fields.mHosts.empty() && !IsHost(fields.mHosts.front())) {
    return Invalid("the Host header is invalid");
  }
  if (fields.mHasCoding) {
    return FrameByCoding(fields, http10);
  }
  return fields.mHasLength ? FrameByLength(fields) : Framing{};
}

Framing
FrameResponse(std::string_view aHead, bool aToHead)
{
  constexpr size_t kVersionSize = 8; // "HTTP/1.1"
  constexpr size_t kCodeEnd = kVersionSize + 4;
  constexpr int kContinue = 100;
  constexpr int kSwitchingProtocols = 101; // never asked for
  constexpr int kSuccess = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const std::string_view line = TakeLine(aHead);
  const std::optional<uint64_t> code =
    line.size() < kCodeEnd ? std::nullopt
                           : ReadDecimal(line.substr(kVersionSize + 1, 3));
  if (HasForbiddenBytes(line) || !code || *code < kContinue ||
      !IsHttp1(line.substr(0, kVersionSize)) || line[kVersionSize] != ' ' ||
      (line.size() > kCodeEnd && line[kCodeEnd] != ' ')) {
    return Invalid("the status line is invalid");
  }
  FramingFields fields;
  if (const char* error = CollectFields(aHead, fields)) {
    return Invalid(error);
  }
  Framing framing;
  if (*code < kSuccess) {
    framing.mInterim = true;
    return *code == kSwitchingProtocols
             ? Invalid("the answer changes the protocol")
             : framing;
  }
  if (fields.mHasCoding) {
    framing = FrameByCoding(fields, line[kVersionSize - 1] == '0');
  } else if (fields.mHasLength) {
    framing = FrameByLength(fields);
  } else {
    framing.mBody = BodyFraming::eUntilClose;
  }
  if (framing.mError.empty() &&
      (aToHead || *code == kNoContent || *code == kNotModified)) {
    framing = {};
  }
  framing.mHttp10 = line[kVersionSize - 1] == '0';
  return framing;
}

bool
ReadChunkSize(std::string_view aLine, uint64_t& aSize)
{
  constexpr size_t kMaxDigits = 15; // fits in a signed number
  const size_t digits =
    std::min(aLine.size(), aLine.find_first_not_of("0123456789abcdefABCDEF"));
  if (digits == 0 || digits > kMaxDigits || HasForbiddenBytes(aLine)) {
    return false;
  }
  aSize = 0;
  for (const char digit : aLine.substr(0, digits)) {
    const int value = absl::ascii_isdigit(static_cast<unsigned char>(digit))
                        ? digit - '0'
                        : absl::ascii_tolower(digit) - 'a' + 10;
    aSize = aSize * 16 + static_cast<uint64_t>(value);
  }
  const std::string_view extension = Trim(aLine.substr(digits));
  return digits == aLine.size() || extension.starts_with(';');
}

} // namespace caraway
