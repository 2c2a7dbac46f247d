#pragma once
// Checks caller requests on files, uploads and batches.

#include "absl/status/status.h"
#include "caraway/config/contract.h"
#include "caraway/entry/api_paths.h"

namespace caraway {

// Fills aWork from the request. New ids are drawn from aRandom.
absl::Status
ReadControlRequest(const ApiMatch& aMatch,
                   const HttpRequest& aHttp,
                   const Contract& aContract,
                   Random& aRandom,
                   ControlWork& aWork);

} // namespace caraway
