#pragma once
// Validates caller requests on files, uploads and batches.

#include "absl/status/status.h"
#include "caraway/config/contract.h"
#include "caraway/entry/api_paths.h"

namespace caraway {

// Fills aWork from the request. Ids of new objects are generated with aRandom.
absl::Status
ReadControlRequest(const ApiMatch& aMatch,
                   const HttpRequest& aHttp,
                   const Contract& aContract,
                   Random& aRandom,
                   ControlWork& aWork);

} // namespace caraway
