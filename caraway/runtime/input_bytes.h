#pragma once
// Reads the bytes that were just added to an evbuffer, without removing them.

#include <algorithm>
#include <string_view>
#include <vector>

#include "caraway/runtime/libevent_handles.h"

namespace caraway {

// Calls aRead with the last aAdded bytes of the buffer, in pieces as they lie
// in memory.
template<class Read>
void
ForEachAddedPiece(evbuffer* aBuffer, size_t aAdded, Read aRead)
{
  const size_t length = evbuffer_get_length(aBuffer);
  if (aAdded == 0 || length < aAdded) {
    return;
  }
  evbuffer_ptr start{};
  evbuffer_ptr_set(aBuffer, &start, length - aAdded, EVBUFFER_PTR_SET);
  const auto added = static_cast<ev_ssize_t>(aAdded);
  std::vector<evbuffer_iovec> pieces(
    static_cast<size_t>(evbuffer_peek(aBuffer, added, &start, nullptr, 0)));
  evbuffer_peek(
    aBuffer, added, &start, pieces.data(), static_cast<int>(pieces.size()));
  for (const evbuffer_iovec& piece : pieces) {
    const std::string_view bytes(static_cast<const char*>(piece.iov_base),
                                 piece.iov_len);
    aRead(bytes.substr(0, aAdded));
    aAdded -= std::min(aAdded, bytes.size());
  }
}

} // namespace caraway
