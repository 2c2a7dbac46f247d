// Answers of online calls: relayed to the entry as they arrive, and kept for a
// limited time for retransmission.

#include <algorithm>

#include "absl/strings/match.h"
#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

constexpr Duration kKeepAnswers = Seconds(30);    // after the end of the call
constexpr size_t kMaxKeptBytes = 8 * 1024 * 1024; // total of all calls
constexpr size_t kPartOverhead = 256; // bytes accounted per part besides body

uint32_t
CountEvents(std::string_view aBytes)
{
  uint32_t events = 0;
  for (size_t at = aBytes.find("data:"); at != std::string_view::npos;
       at = aBytes.find("data:", at + 5)) {
    ++events;
  }
  return events;
}

Headers
AnswerHeaders(const Headers& aHeaders)
{
  Headers kept;
  for (const auto& header : aHeaders) {
    const bool hop = absl::EqualsIgnoreCase(header.first, "connection") ||
                     absl::EqualsIgnoreCase(header.first, "keep-alive") ||
                     absl::EqualsIgnoreCase(header.first, "content-length") ||
                     absl::EqualsIgnoreCase(header.first, "transfer-encoding");
    if (!hop) {
      kept.push_back(header);
    }
  }
  return kept;
}

void
SendPart(Node& aNode,
         NodeCall& aCall,
         std::string_view aBytes,
         bool aLast,
         NodeActions& aOut)
{
  AnswerPart part;
  part.mRequest = aCall.mDispatch.mRequest;
  part.mAttempt = aCall.mDispatch.mAttempt;
  part.mNodeEpoch = aCall.mNodeEpoch;
  part.mPart = aCall.mNextPart++;
  if (part.mPart == 0) {
    part.mStatus = static_cast<uint16_t>(aCall.mStatus);
    part.mHeaders = AnswerHeaders(aCall.mHeaders);
    part.mEndsByClose = aCall.mEndsByClose;
    aCall.mHeaders.clear();
  }
  part.mBytes = std::string(aBytes);
  part.mLast = aLast;
  if (aLast) {
    part.mRunning = RunningCalls(aNode);
    part.mQueued = QueuedCalls(aNode);
    part.mLimit = CallLimit(aNode.mScheduler);
  }
  const size_t kept = aBytes.size() + kPartOverhead;
  aCall.mKeptBytes += kept;
  aNode.mKeptBytes += kept;
  aCall.mParts.push_back(part);
  aOut.emplace_back(SendMessage{ aCall.mEntryAddress, std::move(part) });
}

void
RemoveKeptAnswer(Node& aNode, const AttemptKey& aKey)
{
  auto found = aNode.mCalls.find(aKey);
  if (found != aNode.mCalls.end() && found->second.mEnded.mMicros != 0) {
    aNode.mKeptBytes -= std::min(aNode.mKeptBytes, found->second.mKeptBytes);
    aNode.mCalls.erase(found);
  }
}

} // namespace

void
RelayBytes(Node& aNode,
           MonoTime aNow,
           NodeCall& aCall,
           std::string_view aBytes,
           NodeActions& aOut)
{
  if (aBytes.empty()) { // end of the answer
    SendPart(aNode, aCall, {}, true, aOut);
    EvictKeptAnswers(aNode);
    return;
  }
  aCall.mLastByte = aNow;
  if (aCall.mDispatch.mStream) {
    aCall.mEvents += CountEvents(aBytes);
  }
  LogLimit(aNode,
           RecordToken(aNode.mScheduler, aNow, aCall.mWork),
           "latency goal missed",
           aOut);
  for (size_t at = 0; at < aBytes.size(); at += kMaxPartBytes) {
    SendPart(aNode, aCall, aBytes.substr(at, kMaxPartBytes), false, aOut);
  }
  EvictKeptAnswers(aNode);
}

void
ResendParts(Node&, const NodeCall& aCall, uint32_t aFrom, NodeActions& aOut)
{
  for (const AnswerPart& part : aCall.mParts) {
    if (part.mPart >= aFrom) {
      aOut.emplace_back(SendMessage{ aCall.mEntryAddress, part });
    }
  }
}

void
ExpireKeptAnswers(Node& aNode, MonoTime aNow)
{
  while (!aNode.mEndedOrder.empty()) {
    auto found = aNode.mCalls.find(aNode.mEndedOrder.front());
    if (found != aNode.mCalls.end() &&
        aNow - found->second.mEnded < kKeepAnswers) {
      return;
    }
    RemoveKeptAnswer(aNode, aNode.mEndedOrder.front());
    aNode.mEndedOrder.pop_front();
  }
}

void
EvictKeptAnswers(Node& aNode)
{
  while (aNode.mKeptBytes > kMaxKeptBytes && !aNode.mEndedOrder.empty()) {
    RemoveKeptAnswer(aNode, aNode.mEndedOrder.front());
    aNode.mEndedOrder.pop_front();
  }
  if (aNode.mKeptBytes <= kMaxKeptBytes) {
    return;
  }
  // The answers of running calls alone exceed the limit. Drop their oldest
  // parts, which can then no longer be retransmitted.
  for (auto& [key, call] : aNode.mCalls) {
    while (aNode.mKeptBytes > kMaxKeptBytes && !call.mParts.empty()) {
      const size_t freed = call.mParts.front().mBytes.size() + kPartOverhead;
      call.mKeptBytes -= std::min(call.mKeptBytes, freed);
      aNode.mKeptBytes -= std::min(aNode.mKeptBytes, freed);
      call.mParts.pop_front();
    }
  }
}

} // namespace caraway
