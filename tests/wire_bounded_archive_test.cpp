// Guards against undefined behaviour when an empty container, whose storage may
// be a null pointer, is read with memcpy. libFuzzer found this with the
// ledger's bitmap of completed items (fuzz/corpus/ledger/empty-bitmap).
#define BOOST_TEST_MODULE wire_bounded_archive
#include <boost/test/unit_test.hpp>

#include <cereal/types/vector.hpp>

#include "caraway/wire/bounded_archive.h"

using namespace caraway;

BOOST_AUTO_TEST_CASE(empty_vector_of_numbers_is_read)
{
  std::string bytes;
  MemoryOutputArchive output(bytes);
  output(std::vector<uint64_t>());
  std::vector<uint64_t> read;
  BoundedInputArchive input(bytes);
  input(read);
  BOOST_TEST(read.empty());
  BOOST_TEST(input.BytesLeft() == 0u);
}
