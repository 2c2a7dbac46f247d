// Conversion between "ip:port" text and socket addresses, with libevent's
// parser.

#include "caraway/runtime/socket_address.h"

#include <array>

#include <arpa/inet.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "absl/strings/str_cat.h"
#include "caraway/base/error.h"

namespace caraway {

absl::StatusOr<SocketAddress>
ParseSocketAddress(const std::string& aText)
{
  SocketAddress address;
  int length = sizeof(address.mStorage);
  // libevent rejects port 0, with which a listener lets the system choose a
  // port.
  const bool anyPort = aText.ends_with(":0");
  const std::string text =
    anyPort ? absl::StrCat(aText.substr(0, aText.size() - 1), "1") : aText;
  const int result = evutil_parse_sockaddr_port(
    text.c_str(), reinterpret_cast<sockaddr*>(&address.mStorage), &length);
  // libevent parses the port with atoi, which reads "80/path" as 80.
  const size_t colon = aText.rfind(':');
  const bool digits =
    colon != std::string::npos && colon + 1 < aText.size() &&
    aText.find_first_not_of("0123456789", colon + 1) == std::string::npos;
  if (result != 0 || !digits) {
    return MakeError(ErrorKind::eInvalidArgument,
                     absl::StrCat("'", aText, "' is not an address"),
                     "write it as IP:PORT, for example 127.0.0.1:7100");
  }
  address.mLength = static_cast<socklen_t>(length);
  if (anyPort && address.mStorage.ss_family == AF_INET) {
    reinterpret_cast<sockaddr_in*>(&address.mStorage)->sin_port = 0;
  } else if (anyPort) {
    reinterpret_cast<sockaddr_in6*>(&address.mStorage)->sin6_port = 0;
  }
  return address;
}

std::string
FormatSocketAddress(const sockaddr* aAddress)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (aAddress->sa_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(aAddress);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    return absl::StrCat(text.data(), ":", ntohs(v4->sin_port));
  }
  const auto* v6 = reinterpret_cast<const sockaddr_in6*>(aAddress);
  inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
  return absl::StrCat("[", text.data(), "]:", ntohs(v6->sin6_port));
}

absl::StatusOr<std::string>
NormalSocketAddress(const std::string& aText)
{
  const absl::StatusOr<SocketAddress> address = ParseSocketAddress(aText);
  if (!address.ok()) {
    return address.status();
  }
  return FormatSocketAddress(
    reinterpret_cast<const sockaddr*>(&address->mStorage));
}

std::string
BoundAddress(int aSocket)
{
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (getsockname(aSocket, reinterpret_cast<sockaddr*>(&storage), &length) !=
      0) {
    return {};
  }
  return FormatSocketAddress(reinterpret_cast<const sockaddr*>(&storage));
}

void
SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace caraway
