#pragma once
// Client of the operator API: finds the leader among the control replicas and
// retries an operation under the same id until a replica answers as leader.

#include <string>
#include <vector>

#include "caraway/runtime/http_fetch.h"

namespace caraway {

struct ControlClient
{
  std::vector<std::string> mUrls;        // operator listeners, http://IP:PORT
  std::string mToken;                    // operator token
  std::string mAuthority;                // CA file in PEM format, for https
  Duration mLeaderTimeout = Seconds(10); // how long to search for a leader
};

struct ControlCallResult
{
  int mStatus = 0;   // HTTP status; 0 if no replica answered as leader
  std::string mBody; // JSON
};

// aOperation is the operation id, empty for reads. aExpected is the revision
// that the object must still have, empty for any.
ControlCallResult
CallControl(Loop& aLoop,
            const ControlClient& aClient,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            const std::string& aOperation,
            const std::string& aExpected);

// Runs the loop for aDuration.
void
WaitOnLoop(Loop& aLoop, Duration aDuration);

// Generates a random operation id.
std::string
NewOperationId();

} // namespace caraway
