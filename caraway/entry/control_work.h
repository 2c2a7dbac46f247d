#pragma once
// A caller's operation on files or batches, in one or more control calls.

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

enum class ControlStep : uint8_t
{
  eNone,
  eCreateFile, // PutFilePart until all bytes are stored
  eListFiles,
  eDescribeFile,
  eReadContent, // ReadFile until the end
  eDeleteFile,
  eCreateUpload,     // an empty file without an end
  eFindUploadOffset, // DescribeFile: where the part goes
  eAppendUpload,     // PutFilePart of one part
  eCheckUpload,      // DescribeFile before the completion
  eCompleteUpload,   // the empty last part
  eCancelUpload,     // DeleteFile
  eReadFirstLine,    // ReadFile: the model of a new batch
  eCreateJob,
  eDescribeJob,
  eListJobs,
  eCancelJob,
};

struct ControlWork
{
  ControlStep mStep = ControlStep::eNone;
  FileId mFile;
  JobId mJob;
  std::string mName;                 // file name
  std::string mPurpose;              // "batch"
  std::string mBytes;                // file or part content
  uint64_t mOffset = 0;              // bytes stored, or read position
  uint64_t mStart = 0;               // uploads: offset of this part
  uint64_t mDeclaredBytes = 0;       // uploads: bytes announced at creation
  std::string mAfter;                // lists
  uint32_t mLimit = 100;             // lists
  std::vector<std::string> mPartIds; // upload completion
  IdempotencyKey mKey;               // batch creation
  std::string mEndpoint;
  Duration mWindow;
  std::string mMetadata; // JSON object
  ModelId mModel;
};

} // namespace caraway
