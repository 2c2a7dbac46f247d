#pragma once
// JSON representations of files, uploads, batches and models, as common client
// libraries expect them.

#include <string>
#include <string_view>
#include <vector>

#include "caraway/config/contract.h"
#include "caraway/wire/call_messages.h"

namespace caraway {

std::string
FileJson(const FileInfo& aFile);

std::string
FileListJson(const FileListReply& aReply);

std::string
DeletedJson(const FileId& aFile);

// aBytes: size announced at creation. aStatus: "pending", "completed" or
// "cancelled". The object has a "file" only if completed.
std::string
UploadJson(const std::string& aUpload,
           const FileInfo& aInfo,
           uint64_t aBytes,
           std::string_view aStatus);

std::string
UploadPartJson(const std::string& aPart, const std::string& aUpload);

std::string
JobJson(const JobInfo& aJob);

std::string
JobListJson(const JobListReply& aReply);

std::string
ModelListJson(const std::vector<ModelId>& aModels);

std::string
ModelJson(const ModelId& aModel);

} // namespace caraway
