#pragma once
// Calls of the operators' interface: finds the leader among the replicas and
// sends the same operation again until it is answered.

#include <string>
#include <vector>

#include "caraway/runtime/http_fetch.h"

namespace caraway {

struct ControlClient
{
  std::vector<std::string> mUrls; // operator HTTP listeners, http://IP:PORT
  std::string mToken;             // operators' token
  std::string mAuthority;         // PEM file, for https
  Duration mLeaderTimeout = Seconds(10); // how long to look for a leader
};

struct ControlCallResult
{
  int mStatus = 0;   // HTTP status, 0 if no replica answered as leader
  std::string mBody; // JSON
};

// aOperation is empty for reads. aExpected is empty or a revision.
ControlCallResult
CallControl(Loop& aLoop,
            const ControlClient& aClient,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            const std::string& aOperation,
            const std::string& aExpected);

// Waits on the loop without blocking it.
void
WaitOnLoop(Loop& aLoop, Duration aDuration);

// A random operation id.
std::string
NewOperationId();

} // namespace caraway
