#pragma once
// Parsing of "ip:port". Names are not resolved: the system's processes talk by
// IP.

#include <cstdint>
#include <string>
#include <string_view>

#include <sys/socket.h>

#include "absl/status/statusor.h"

namespace caraway {

struct SocketAddress
{
  sockaddr_storage mStorage{};
  socklen_t mLength = 0;
};

// Accepts "127.0.0.1:80" and "[::1]:80".
absl::StatusOr<SocketAddress>
ParseSocketAddress(const std::string& aText);

std::string
FormatSocketAddress(const sockaddr* aAddress);

// The address a socket is bound to, for listeners that asked for port 0.
std::string
BoundAddress(int aSocket);

// Sends small pieces at once. A listener hands it on to accepted sockets.
// Without it, a piece waits for the acknowledgement of the piece before.
void
SetNoDelay(int aSocket);

} // namespace caraway
