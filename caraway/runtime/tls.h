#pragma once
// TLS contexts of OpenSSL: server authentication towards callers, mutual
// authentication between the system's processes.

#include <string>

#include "absl/status/statusor.h"
#include "caraway/runtime/libevent_handles.h"

namespace caraway {

// Paths of PEM files. All empty means plain TCP.
struct TlsFiles
{
  std::string mCertificate; // certificate chain of this process
  std::string mPrivateKey;
  std::string mAuthority; // CA that the peer's certificate must chain to
};

enum class TlsMode : uint8_t
{
  eServer,       // clients need no certificate
  eMutualServer, // clients must present a certificate of mAuthority
  eMutualClient,
};

// Loads and validates the files. The error names the file and the remedy.
absl::StatusOr<SslContextPtr>
MakeTlsContext(const TlsFiles& aFiles, TlsMode aMode);

inline bool
TlsEnabled(const TlsFiles& aFiles)
{
  return !aFiles.mCertificate.empty();
}

} // namespace caraway
