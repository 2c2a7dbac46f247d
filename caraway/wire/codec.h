#pragma once
// Internal: encodes and decodes any type that has cereal functions. Include
// this file only in codec .cpp files.

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "caraway/base/error.h"
#include "caraway/wire/bounded_archive.h"

namespace caraway {

template<class T>
std::string
EncodeWith(const T& aValue)
{
  std::string out;
  MemoryOutputArchive archive(out);
  archive(aValue);
  return out;
}

// Decodes exactly one value. Trailing bytes are an error.
template<class T>
absl::StatusOr<T>
DecodeWith(std::string_view aBytes)
{
  try {
    BoundedInputArchive archive(aBytes);
    T value;
    archive(value);
    if (archive.BytesLeft() != 0) {
      return MakeError(ErrorKind::eCorruptData,
                       "there are trailing bytes after the value",
                       "check that both sides run the same version");
    }
    return value;
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::eCorruptData,
                     error.what(),
                     "check that both sides run the same version");
  }
}

} // namespace caraway
