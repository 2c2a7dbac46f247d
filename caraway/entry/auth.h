#pragma once
// Authenticates callers by API key.

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "caraway/config/api_key.h"
#include "caraway/config/config_view.h"

namespace caraway {

KeyDigest
DigestOfKey(std::string_view aKeyText);

// An authenticated caller: its key and the contract of the key's workspace.
struct Caller
{
  KeyId mKey;
  const Contract* mContract = nullptr; // valid until the configuration changes
};

// Authenticates the caller by the value of the Authorization header,
// "Bearer ck_...". Every well-formed key costs one digest and one constant-time
// comparison whether its id is known or not, so that the response time doesn't
// reveal which ids exist.
absl::StatusOr<Caller>
Authenticate(const ConfigView& aConfig, const std::string& aAuthorization);

} // namespace caraway
