#pragma once
// A route to a plain service.

#include <string>

#include "caraway/base/ids.h"

namespace caraway {

struct Route
{
  RouteId mId;
  std::string mMethod;      // "GET", "POST", ...; "*" for any
  std::string mPathPrefix;  // "/stock/"; the longest matching prefix wins
  ServiceId mService;       // targets that announce this service
  bool mIdempotent = false; // true: may be retried after an unknown outcome
  bool mOpen = false;       // true: no key needed
};

} // namespace caraway
