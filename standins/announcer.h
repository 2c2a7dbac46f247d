#pragma once
// Announces a stand-in to its node once a second, as a target does.

#include <string>

#include "caraway/runtime/http_fetch.h"
#include "caraway/runtime/loop.h"

namespace caraway {

class Announcer
{
public:
  // aNode is the node's HTTP address, aBody the JSON of the announcement.
  Announcer(Loop& aLoop, const std::string& aNode, const std::string& aBody);

  void Start();

private:
  void Announce();

  Loop& mLoop;
  std::string mUrl;
  std::string mBody;
  Timer mTimer;
};

} // namespace caraway
