// Authenticates callers by API key.

#include "caraway/entry/auth.h"

#include <algorithm>
#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include "absl/strings/match.h"
#include "caraway/base/absl_view.h"
#include "caraway/base/error.h"

namespace caraway {

namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr size_t kIdLength = 19;  // "ck_" and 16 hex digits
constexpr size_t kKeyLength = 84; // the id, "_" and 64 hex digits

bool
IsHex(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
  });
}

bool
IsKeyText(std::string_view aText)
{
  return aText.size() == kKeyLength && aText.substr(0, 3) == "ck_" &&
         aText[kIdLength] == '_' && IsHex(aText.substr(3, kIdLength - 3)) &&
         IsHex(aText.substr(kIdLength + 1));
}

absl::Status
Unauthenticated(std::string_view aWhat)
{
  return MakeError(ErrorKind::eUnauthenticated,
                   aWhat,
                   "send a valid key as 'Authorization: Bearer ck_...'");
}

} // namespace

KeyDigest
DigestOfKey(std::string_view aKeyText)
{
  KeyDigest digest{};
  unsigned int length = 0;
  EVP_Digest(aKeyText.data(),
             aKeyText.size(),
             digest.data(),
             &length,
             EVP_sha256(),
             nullptr);
  return digest;
}

absl::StatusOr<Caller>
Authenticate(const ConfigView& aConfig, const std::string& aAuthorization)
{
  std::string_view text = aAuthorization;
  if (!absl::StartsWithIgnoreCase(AbslView(text), AbslView(kScheme))) {
    return Unauthenticated("the request has no bearer key");
  }
  text.remove_prefix(kScheme.size());
  if (!IsKeyText(text)) {
    return Unauthenticated("the key is malformed");
  }
  static const ApiKey kNoKey;
  const KeyId id{ std::string(text.substr(0, kIdLength)) };
  auto found = aConfig.mKeys.find(id);
  const bool known = found != aConfig.mKeys.end();
  const ApiKey& key = known ? found->second : kNoKey;
  const KeyDigest digest = DigestOfKey(text);
  const bool equal =
    CRYPTO_memcmp(digest.data(), key.mDigest.data(), digest.size()) == 0;
  if (!known || !equal) {
    return Unauthenticated("the key is unknown");
  }
  auto contract = aConfig.mContracts.find(key.mWorkspace);
  if (key.mWithdrawn || contract == aConfig.mContracts.end() ||
      contract->second.mWithdrawn) {
    return Unauthenticated("the key was withdrawn");
  }
  return Caller{ id, &contract->second };
}

} // namespace caraway
