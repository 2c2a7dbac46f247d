#pragma once
// Conversion between "ip:port" text and socket addresses. Host names are not
// resolved: the system's processes address each other by IP.

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

// The same address in the one form that FormatSocketAddress gives it, so that
// two texts of one address are equal.
absl::StatusOr<std::string>
NormalSocketAddress(const std::string& aText);

// The address the socket is bound to, such as the port chosen for port 0. Empty
// on error.
std::string
BoundAddress(int aSocket);

// Sets TCP_NODELAY. Without it, a small write waits until the previous one is
// acknowledged. Accepted sockets inherit it from their listener.
void
SetNoDelay(int aSocket);

} // namespace caraway
