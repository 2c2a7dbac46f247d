#pragma once
// Durations and monotonic time. State machines never read a clock; the time is
// passed to them.

#include <compare>
#include <cstdint>
#include <limits>

namespace caraway {

// A length of time in microseconds.
struct Duration
{
  int64_t mMicros = 0; // may be negative

  auto operator<=>(const Duration&) const = default;
  Duration operator+(Duration aOther) const
  {
    return { mMicros + aOther.mMicros };
  }
  Duration operator-(Duration aOther) const
  {
    return { mMicros - aOther.mMicros };
  }
  Duration operator*(int64_t aFactor) const { return { mMicros * aFactor }; }
  Duration operator/(int64_t aDivisor) const { return { mMicros / aDivisor }; }

  double Seconds() const { return static_cast<double>(mMicros) / 1e6; }
  int64_t Millis() const { return mMicros / 1000; }
};

// A reading of one process's monotonic clock. Readings of different processes
// are not comparable; a reading in a message is only echoed to its sender.
struct MonoTime
{
  int64_t mMicros = 0; // since an arbitrary origin

  auto operator<=>(const MonoTime&) const = default;
  MonoTime operator+(Duration aDuration) const
  {
    return { mMicros + aDuration.mMicros };
  }
  MonoTime operator-(Duration aDuration) const
  {
    return { mMicros - aDuration.mMicros };
  }
  Duration operator-(MonoTime aOther) const
  {
    return { mMicros - aOther.mMicros };
  }
};

constexpr MonoTime kNever{ std::numeric_limits<int64_t>::max() / 4 };

constexpr Duration
Micros(int64_t aCount)
{
  return { aCount };
}

constexpr Duration
Millis(int64_t aCount)
{
  return { aCount * 1000 };
}

constexpr Duration
Seconds(int64_t aCount)
{
  return { aCount * 1000000 };
}

} // namespace caraway
