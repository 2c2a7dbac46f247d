#pragma once
// Ids of uploads, their parts and other objects. Entries share no state, so the
// ids of uploads and parts contain what the next call needs to know.

#include <optional>
#include <string>

#include "caraway/base/ids.h"
#include "caraway/base/random.h"

namespace caraway {

// "upload_<hex>_<bytes>": an upload to the file "file-<hex>" of the announced
// size.
struct UploadId
{
  FileId mFile;
  uint64_t mBytes = 0;
};

std::string
UploadIdText(const UploadId& aId);
std::optional<UploadId>
ParseUploadId(const std::string& aText);

// "part_<hex>_<start>_<end>": the byte range of the file that the part fills.
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

// Returns aDigits random lower-case hex digits.
std::string
RandomHex(Random& aRandom, size_t aDigits);

FileId
NewFileId(Random& aRandom);
JobId
NewJobId(Random& aRandom);
RequestId
NewRequestId(Random& aRandom);

// Returns true if aText has the form of ids made by NewFileId, NewJobId or, for
// output files, the ledger: letters, digits, '-' and '_', at most 128
// characters.
bool
IsObjectId(const std::string& aText);

} // namespace caraway
