// Creates TLS contexts from certificate and key files.

#include "caraway/runtime/tls.h"

#include "absl/strings/str_cat.h"
#include "caraway/base/error.h"

namespace caraway {

namespace {

absl::Status
FileError(const std::string& aPath, const char* aWhat)
{
  return MakeError(ErrorKind::eInvalidArgument,
                   absl::StrCat("cannot load ", aWhat, " from '", aPath, "'"),
                   "check that the file exists, is PEM and matches its key");
}

} // namespace

absl::StatusOr<SslContextPtr>
MakeTlsContext(const TlsFiles& aFiles, TlsMode aMode)
{
  const bool server = aMode != TlsMode::eMutualClient;
  SslContextPtr context(
    SSL_CTX_new(server ? TLS_server_method() : TLS_client_method()));
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file(context.get(),
                                         aFiles.mCertificate.c_str()) != 1) {
    return FileError(aFiles.mCertificate, "a certificate");
  }
  if (SSL_CTX_use_PrivateKey_file(
        context.get(), aFiles.mPrivateKey.c_str(), SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(context.get()) != 1) {
    return FileError(aFiles.mPrivateKey, "a private key");
  }
  if (aMode != TlsMode::eServer) {
    if (SSL_CTX_load_verify_locations(
          context.get(), aFiles.mAuthority.c_str(), nullptr) != 1) {
      return FileError(aFiles.mAuthority, "a certificate authority");
    }
    SSL_CTX_set_verify(context.get(),
                       SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT,
                       nullptr);
  }
  return context;
}

} // namespace caraway
