#pragma once
// TLS by OpenSSL through libevent: server side towards callers, mutual between
// the system's processes.

#include <string>

#include "absl/status/statusor.h"
#include "caraway/runtime/libevent_handles.h"

namespace caraway {

// Paths of PEM files. All empty means plain TCP.
struct TlsFiles
{
  std::string mCertificate; // own certificate chain
  std::string mPrivateKey;
  std::string mAuthority; // CA that the other side's certificate must chain to
};

enum class TlsMode : uint8_t
{
  eServer,       // callers need no certificate
  eMutualServer, // the other side must present a certificate of the authority
  eMutualClient,
};

// Loads and checks the files. The error names the file and the remedy.
absl::StatusOr<SslContextPtr>
MakeTlsContext(const TlsFiles& aFiles, TlsMode aMode);

inline bool
TlsEnabled(const TlsFiles& aFiles)
{
  return !aFiles.mCertificate.empty();
}

} // namespace caraway
