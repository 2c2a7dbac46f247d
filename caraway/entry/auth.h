#pragma once
// Authentication of callers by key.

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "caraway/config/api_key.h"
#include "caraway/config/config_view.h"

namespace caraway {

KeyDigest
DigestOfKey(std::string_view aKeyText);

// The key and its live contract behind "Authorization: Bearer ck_...". Every
// well-formed key costs one digest and one constant-time comparison, whether
// its id is known or not.
struct Caller
{
  KeyId mKey;
  const Contract* mContract = nullptr; // valid until the configuration changes
};

absl::StatusOr<Caller>
Authenticate(const ConfigView& aConfig, const std::string& aAuthorization);

// False once the key or its contract was withdrawn or is gone.
bool
IsKeyValid(const ConfigView& aConfig, const KeyId& aKey);

} // namespace caraway
