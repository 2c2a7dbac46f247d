// Decides which connections to targets stay open for later calls.

#include "caraway/routing/connection_pool.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace caraway {

namespace {

constexpr Duration kUnstatedReuseTime = Seconds(4);
constexpr Duration kMaxReuseTime = Seconds(30);
// Of the connections that a target accepts, all entries together keep this part
// idle.
constexpr uint32_t kIdleDivisor = 4;

template<class Condition>
std::vector<ConnectionId>
DropIf(ConnectionPool& aPool, Condition aCondition)
{
  std::vector<ConnectionId> dropped;
  std::erase_if(aPool.mIdle, [&](const IdleConnection& aOne) {
    if (aCondition(aOne)) {
      dropped.push_back(aOne.mId);
      return true;
    }
    return false;
  });
  return dropped;
}

} // namespace

std::optional<Duration>
StatedIdleTime(const Headers& aHeaders)
{
  for (const auto& [name, value] : aHeaders) {
    if (!absl::EqualsIgnoreCase(name, "Keep-Alive")) {
      continue;
    }
    for (absl::string_view part : absl::StrSplit(value, ',')) {
      part = absl::StripAsciiWhitespace(part);
      const std::pair<absl::string_view, absl::string_view> split =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
      const bool named = absl::EqualsIgnoreCase(
        absl::StripAsciiWhitespace(split.first), "timeout");
      uint32_t seconds = 0;
      if (absl::SimpleAtoi(named ? split.second : part, &seconds)) {
        return Seconds(seconds);
      }
    }
  }
  return std::nullopt;
}

Duration
ReuseTime(std::optional<Duration> aStated)
{
  if (!aStated) {
    return kUnstatedReuseTime;
  }
  return std::min(kMaxReuseTime, std::max(*aStated / 2, *aStated - Seconds(1)));
}

uint32_t
IdleLimit(uint32_t aMaxConnections, uint32_t aSlots, uint32_t aEntries)
{
  return std::min(
    aSlots, aMaxConnections / kIdleDivisor / std::max<uint32_t>(1, aEntries));
}

std::optional<ConnectionId>
TakeIdle(ConnectionPool& aPool,
         MonoTime aNow,
         const std::string& aAddress,
         const RequestId& aRequest)
{
  const auto found = std::find_if(
    aPool.mIdle.rbegin(), aPool.mIdle.rend(), [&](const IdleConnection& aOne) {
      return aOne.mAddress == aAddress && aNow < aOne.mUseUntil &&
             (aRequest.Empty() || aOne.mLastRequest != aRequest);
    });
  if (found == aPool.mIdle.rend()) {
    return std::nullopt;
  }
  const ConnectionId id = found->mId;
  aPool.mIdle.erase(std::next(found).base());
  return id;
}

std::vector<ConnectionId>
KeepIdle(ConnectionPool& aPool, IdleConnection aConnection, uint32_t aLimit)
{
  if (aLimit == 0) {
    return { aConnection.mId };
  }
  std::vector<ConnectionId> closed;
  const auto toTarget = [&](const IdleConnection& aOne) {
    return aOne.mAddress == aConnection.mAddress;
  };
  auto idle = static_cast<size_t>(
    std::count_if(aPool.mIdle.begin(), aPool.mIdle.end(), toTarget));
  for (; idle >= aLimit; --idle) {
    const auto oldest =
      std::find_if(aPool.mIdle.begin(), aPool.mIdle.end(), toTarget);
    closed.push_back(oldest->mId);
    aPool.mIdle.erase(oldest);
  }
  if (aPool.mIdle.size() >= kMaxIdleConnections) {
    closed.push_back(aPool.mIdle.front().mId);
    aPool.mIdle.pop_front();
  }
  aPool.mIdle.push_back(std::move(aConnection));
  return closed;
}

std::vector<ConnectionId>
DropExpired(ConnectionPool& aPool, MonoTime aNow)
{
  return DropIf(
    aPool, [&](const IdleConnection& aOne) { return aNow >= aOne.mUseUntil; });
}

std::vector<ConnectionId>
DropTarget(ConnectionPool& aPool, const std::string& aAddress)
{
  return DropIf(aPool, [&](const IdleConnection& aOne) {
    return aOne.mAddress == aAddress;
  });
}

void
DropConnection(ConnectionPool& aPool, ConnectionId aId)
{
  DropIf(aPool, [&](const IdleConnection& aOne) { return aOne.mId == aId; });
}

MonoTime
NextExpiry(const ConnectionPool& aPool)
{
  MonoTime next = kNever;
  for (const IdleConnection& one : aPool.mIdle) {
    next = std::min(next, one.mUseUntil);
  }
  return next;
}

} // namespace caraway
