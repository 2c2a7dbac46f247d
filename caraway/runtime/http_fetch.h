#pragma once
// A simple HTTP client for tools and stand-ins: one request to a URL, one
// complete answer.

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "caraway/base/http.h"
#include "caraway/runtime/libevent_handles.h"
#include "caraway/runtime/loop.h"

namespace caraway {

struct FetchRequest
{
  std::string mMethod = "GET";
  std::string mUrl; // http://ip:port/path?query, or https:// with mAuthority
  Headers mHeaders;
  std::string mBody;
  Duration mTimeout = Seconds(30);
  std::string mAuthority; // PEM file of the CA to trust, for https
  // If set, receives each chunk of the body as it arrives, and the answer's
  // mBody stays empty.
  std::function<void(const std::string&)> mOnBytes;
};

struct FetchAnswer
{
  int mStatus = 0;
  Headers mHeaders;
  std::string mBody;
};

using FetchCallback = std::function<void(absl::StatusOr<FetchAnswer>)>;

// Starts the request. aDone is called exactly once, from the loop.
void
Fetch(Loop& aLoop, const FetchRequest& aRequest, FetchCallback aDone);

// Runs the loop until the request has completed or failed, for command-line
// tools.
absl::StatusOr<FetchAnswer>
FetchAndWait(Loop& aLoop, const FetchRequest& aRequest);

} // namespace caraway
