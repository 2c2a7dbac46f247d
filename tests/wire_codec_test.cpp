// Guards against fields that are lost or changed by encoding, and against
// decoders that trust lengths in the input.
#define BOOST_TEST_MODULE wire_codec
#include <boost/test/unit_test.hpp>

#include "caraway/base/random.h"
#include "caraway/wire/messages.h"

using namespace caraway;

namespace {

Dispatch
SampleDispatch()
{
  Dispatch dispatch;
  dispatch.mRequest = RequestId("r1");
  dispatch.mAttempt = 2;
  dispatch.mNodeEpoch = Epoch(7);
  dispatch.mHeaders = { { "content-type", "application/json" } };
  dispatch.mBody = std::string("{\"a\":\0}", 7);
  dispatch.mDeadline = Seconds(3);
  return dispatch;
}

} // namespace

BOOST_AUTO_TEST_CASE(round_trip_keeps_every_field)
{
  auto decoded = DecodeMessage(EncodeMessage(SampleDispatch()));
  BOOST_REQUIRE(decoded.ok());
  const auto& dispatch = std::get<Dispatch>(*decoded);
  BOOST_TEST(dispatch.mRequest.mValue == "r1");
  BOOST_TEST(dispatch.mAttempt == 2u);
  BOOST_TEST(dispatch.mNodeEpoch.mValue == 7u);
  BOOST_TEST(dispatch.mBody.size() == 7u);
  BOOST_TEST(dispatch.mHeaders[0].second == "application/json");
  BOOST_TEST(dispatch.mDeadline.mMicros == 3000000);
}

BOOST_AUTO_TEST_CASE(nested_variants_round_trip)
{
  ControlCall call;
  call.mCall = 9;
  CreateJob create;
  create.mJob = JobId("batch_1");
  call.mBody = create;
  auto decoded = DecodeMessage(EncodeMessage(call));
  BOOST_REQUIRE(decoded.ok());
  const auto& body = std::get<ControlCall>(*decoded).mBody;
  BOOST_TEST(std::get<CreateJob>(body).mJob.mValue == "batch_1");
}

BOOST_AUTO_TEST_CASE(every_truncation_is_refused)
{
  const std::string bytes = EncodeMessage(SampleDispatch());
  for (size_t length = 0; length < bytes.size(); ++length) {
    BOOST_TEST(!DecodeMessage(bytes.substr(0, length)).ok());
  }
  BOOST_TEST(!DecodeMessage(bytes + "x").ok());
}

BOOST_AUTO_TEST_CASE(huge_length_is_refused_without_allocation)
{
  // Variant index of Register, then a string length far above the input.
  std::string bytes = EncodeMessage(Register{});
  for (size_t at = 4; at < 12; ++at) {
    bytes[at] = '\x7f';
  }
  auto decoded = DecodeMessage(bytes);
  BOOST_TEST(!decoded.ok());
  BOOST_TEST((KindOf(decoded.status()) == ErrorKind::eCorruptData));
}

BOOST_AUTO_TEST_CASE(random_bytes_never_crash)
{
  Random random(42);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes(DrawBelow(random, 200), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random.mEngine());
    }
    if (bytes.size() >= 4) {
      bytes[0] = static_cast<char>(
        DrawBelow(random, std::variant_size_v<MessageVariant> + 1));
      bytes[1] = bytes[2] = bytes[3] = 0;
    }
    auto decoded = DecodeMessage(bytes);
    if (decoded.ok()) {
      BOOST_TEST(DecodeMessage(EncodeMessage(*decoded)).ok());
    }
  }
}
