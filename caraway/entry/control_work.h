#pragma once
// State of a caller's operation on files, uploads or batches, which takes one
// or more control calls.

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

// The step that an operation is at, and the control call that it sends.
enum class ControlStep : uint8_t
{
  eNone,
  eCreateFile, // PutFilePart, repeated until all bytes are stored
  eListFiles,
  eDescribeFile,
  eReadContent, // ReadFile, repeated until the end of the file
  eDeleteFile,
  eCreateUpload,     // PutFilePart: an empty, incomplete file
  eFindUploadOffset, // DescribeFile: offset of the new part
  eAppendUpload,     // PutFilePart, repeated until the part is stored
  eCheckUpload,      // DescribeFile: verifies the parts
  eCompleteUpload,   // PutFilePart: an empty last part
  eCancelUpload,     // DeleteFile
  eReadFirstLine,    // ReadFile: reads the model of a new batch
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
  std::string mName;           // name of the file
  std::string mPurpose;        // "batch"
  std::string mBytes;          // content of the file or part to store
  uint64_t mOffset = 0;        // next offset to write or read
  uint64_t mStart = 0;         // uploads: offset of this part
  uint64_t mDeclaredBytes = 0; // uploads: total size announced at creation
  std::string mAfter;          // lists: id after which to start
  uint32_t mLimit = 100;       // lists: maximum number of objects
  std::vector<std::string> mPartIds; // upload completion: all, in order
  IdempotencyKey mKey;               // batch creation, as all members below
  std::string mEndpoint;
  Duration mWindow;
  std::string mMetadata; // JSON object
  ModelId mModel;
};

} // namespace caraway
