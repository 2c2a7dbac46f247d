// Ids of uploads, their parts and other objects.

#include "caraway/entry/upload_id.h"

#include <algorithm>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace caraway {

namespace {

constexpr absl::string_view kFilePrefix = "file-";
constexpr size_t kObjectDigits = 24;
constexpr size_t kRequestDigits = 32;
constexpr size_t kMaxIdLength = 128;

std::string
HexOf(const FileId& aFile)
{
  return aFile.mValue.substr(kFilePrefix.size());
}

FileId
FileOf(const std::string& aHex)
{
  return FileId(absl::StrCat(kFilePrefix, aHex));
}

// Splits an id at its underscores. Returns nothing unless there are aCount
// fields of which the first is aKind and the second has the form of a hex id.
std::vector<std::string>
Fields(const std::string& aText, const char* aKind, size_t aCount)
{
  std::vector<std::string> fields = absl::StrSplit(aText, '_');
  if (fields.size() != aCount || fields[0] != aKind ||
      fields[1].size() != kObjectDigits || !IsObjectId(fields[1])) {
    return {};
  }
  return fields;
}

} // namespace

std::string
UploadIdText(const UploadId& aId)
{
  return absl::StrCat("upload_", HexOf(aId.mFile), "_", aId.mBytes);
}

std::optional<UploadId>
ParseUploadId(const std::string& aText)
{
  const std::vector<std::string> fields = Fields(aText, "upload", 3);
  UploadId id;
  if (fields.empty() || !absl::SimpleAtoi(fields[2], &id.mBytes)) {
    return std::nullopt;
  }
  id.mFile = FileOf(fields[1]);
  return id;
}

std::string
UploadPartIdText(const UploadPartId& aId)
{
  return absl::StrCat(
    "part_", HexOf(aId.mFile), "_", aId.mStart, "_", aId.mEnd);
}

std::optional<UploadPartId>
ParseUploadPartId(const std::string& aText)
{
  const std::vector<std::string> fields = Fields(aText, "part", 4);
  UploadPartId id;
  if (fields.empty() || !absl::SimpleAtoi(fields[2], &id.mStart) ||
      !absl::SimpleAtoi(fields[3], &id.mEnd)) {
    return std::nullopt;
  }
  id.mFile = FileOf(fields[1]);
  return id;
}

std::string
RandomHex(Random& aRandom, size_t aDigits)
{
  std::string text;
  while (text.size() < aDigits) {
    absl::StrAppend(
      &text,
      absl::Hex(static_cast<uint64_t>(aRandom.mEngine()), absl::kZeroPad16));
  }
  text.resize(aDigits);
  return text;
}

FileId
NewFileId(Random& aRandom)
{
  return FileOf(RandomHex(aRandom, kObjectDigits));
}

JobId
NewJobId(Random& aRandom)
{
  return JobId("batch_" + RandomHex(aRandom, kObjectDigits));
}

RequestId
NewRequestId(Random& aRandom)
{
  return RequestId("req_" + RandomHex(aRandom, kRequestDigits));
}

bool
IsObjectId(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxIdLength &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
           return absl::ascii_isalnum(aChar) || aChar == '-' || aChar == '_';
         });
}

} // namespace caraway
