// Key derivation by HMAC-SHA-256, digests and constant-time comparison.

#include "caraway/control/key_secret.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "caraway/base/absl_view.h"

namespace caraway {

namespace {

KeyDigest
Sha256(std::string_view aText)
{
  KeyDigest digest{};
  unsigned int length = 0;
  EVP_Digest(
    aText.data(), aText.size(), digest.data(), &length, EVP_sha256(), nullptr);
  return digest;
}

std::string
Hmac(std::string_view aSeed, std::string_view aPurpose, uint64_t aNumber)
{
  const std::string input = absl::StrCat(AbslView(aPurpose), ":", aNumber);
  KeyDigest digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aSeed.data(),
       static_cast<int>(aSeed.size()),
       reinterpret_cast<const unsigned char*>(input.data()),
       input.size(),
       digest.data(),
       &length);
  return { reinterpret_cast<const char*>(digest.data()), digest.size() };
}

} // namespace

NewKey
DeriveKey(std::string_view aKeySeed,
          uint64_t aNumber,
          const WorkspaceId& aWorkspace)
{
  const std::string id = Hmac(aKeySeed, "key-id", aNumber).substr(0, 8);
  const std::string secret = Hmac(aKeySeed, "key-secret", aNumber);
  NewKey key;
  key.mKey.mId = KeyId("ck_" + HexText(id));
  key.mText = key.mKey.mId.mValue + "_" + HexText(secret);
  key.mKey.mDigest = Sha256(key.mText);
  key.mKey.mWorkspace = aWorkspace;
  return key;
}

bool
TokenMatches(std::string_view aToken, std::string_view aHexDigest)
{
  const KeyDigest digest = Sha256(aToken);
  const std::string given =
    HexText({ reinterpret_cast<const char*>(digest.data()), digest.size() });
  const std::string wanted = absl::AsciiStrToLower(AbslView(aHexDigest));
  return given.size() == wanted.size() &&
         CRYPTO_memcmp(given.data(), wanted.data(), given.size()) == 0;
}

std::string
HexText(std::string_view aBytes)
{
  return absl::BytesToHexString(AbslView(aBytes));
}

} // namespace caraway
