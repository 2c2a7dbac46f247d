#pragma once
// Ids of uploads and their parts. Entries share no state, so an id carries what
// the next call needs.

#include <optional>
#include <string>

#include "caraway/base/ids.h"
#include "caraway/base/random.h"

namespace caraway {

// "upload_<hex>_<bytes>": the file "file-<hex>" and the announced size.
struct UploadId
{
  FileId mFile;
  uint64_t mBytes = 0;
};

std::string
UploadIdText(const UploadId& aId);
std::optional<UploadId>
ParseUploadId(const std::string& aText);

// "part_<hex>_<start>_<end>": bytes of the file that the part fills.
struct UploadPartId
{
  FileId mFile;
  uint64_t mStart = 0;
  uint64_t mEnd = 0;
};

std::string
UploadPartIdText(const UploadPartId& aId);
std::optional<UploadPartId>
ParseUploadPartId(const std::string& aText);

// Random lower-case hex digits.
std::string
RandomHex(Random& aRandom, size_t aDigits);

FileId
NewFileId(Random& aRandom);
JobId
NewJobId(Random& aRandom);
RequestId
NewRequestId(Random& aRandom);

// True for ids of the form that NewFileId or NewJobId gives, or that the ledger
// gives to outputs: letters, digits, '-' and '_', at most 128.
bool
IsObjectId(const std::string& aText);

} // namespace caraway
