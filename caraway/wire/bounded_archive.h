#pragma once
// Internal: cereal archives over memory with bounds checks. Reading never goes
// past the end of the input, and a container length larger than the remaining
// bytes is rejected before anything is allocated. Include this file only in
// codec .cpp files.

#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>

#include <cereal/cereal.hpp>

namespace caraway {

// Thrown by BoundedInputArchive, caught by the decode functions.
struct ArchiveError : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

class MemoryOutputArchive
  : public cereal::OutputArchive<MemoryOutputArchive,
                                 cereal::AllowEmptyClassElision>
{
public:
  explicit MemoryOutputArchive(std::string& aOut)
    : OutputArchive(this)
    , mOut(aOut)
  {
  }

  void saveBinary(const void* aData, size_t aSize)
  {
    mOut.append(static_cast<const char*>(aData), aSize);
  }

private:
  std::string& mOut;
};

class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive,
                                cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::string_view aInput)
    : InputArchive(this)
    , mInput(aInput)
  {
  }

  // Format version of the value being read, for types with several. 0: unset.
  uint32_t mFormat = 0;

  void loadBinary(void* aData, size_t aSize)
  {
    if (aSize > mInput.size()) {
      throw ArchiveError("input is truncated");
    }
    if (aSize == 0) {
      return; // the storage of an empty container may be null
    }
    std::memcpy(aData, mInput.data(), aSize);
    mInput.remove_prefix(aSize);
  }

  // Each element takes at least one byte, so a length greater than the number
  // of remaining bytes is invalid.
  void CheckLength(uint64_t aLength) const
  {
    if (aLength > mInput.size()) {
      throw ArchiveError("container length exceeds the input");
    }
  }

  size_t BytesLeft() const { return mInput.size(); }

private:
  std::string_view mInput;
};

// Numbers are copied in host byte order, which is little-endian on all
// supported machines.
template<class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_SAVE_FUNCTION_NAME(MemoryOutputArchive& aArchive, const T& aValue)
{
  aArchive.saveBinary(&aValue, sizeof(aValue));
}

template<class T>
std::enable_if_t<std::is_arithmetic_v<T> && !std::is_same_v<T, bool>>
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, T& aValue)
{
  aArchive.loadBinary(&aValue, sizeof(aValue));
}

// Copying a byte other than 0 or 1 into a bool is undefined behaviour.
inline void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, bool& aValue)
{
  uint8_t byte = 0;
  aArchive.loadBinary(&byte, 1);
  if (byte > 1) {
    throw ArchiveError("invalid boolean");
  }
  aValue = byte == 1;
}

template<class T>
void
CEREAL_SERIALIZE_FUNCTION_NAME(MemoryOutputArchive& aArchive,
                               cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<class T>
void
CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& aArchive,
                               cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<class T>
void
CEREAL_SAVE_FUNCTION_NAME(MemoryOutputArchive& aArchive,
                          const cereal::SizeTag<T>& aTag)
{
  aArchive(static_cast<uint64_t>(aTag.size));
}

template<class T>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive,
                          cereal::SizeTag<T>& aTag)
{
  uint64_t length = 0;
  aArchive(length);
  aArchive.CheckLength(length);
  aTag.size = length;
}

template<class T>
void
CEREAL_SAVE_FUNCTION_NAME(MemoryOutputArchive& aArchive,
                          const cereal::BinaryData<T>& aData)
{
  aArchive.saveBinary(aData.data, static_cast<size_t>(aData.size));
}

template<class T>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive,
                          cereal::BinaryData<T>& aData)
{
  aArchive.loadBinary(aData.data, static_cast<size_t>(aData.size));
}

} // namespace caraway

CEREAL_REGISTER_ARCHIVE(caraway::MemoryOutputArchive)
CEREAL_REGISTER_ARCHIVE(caraway::BoundedInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(caraway::BoundedInputArchive,
                            caraway::MemoryOutputArchive)
