// Guards against a bad software version that is taken for a sound one, and
// against a sound one that is taken back: by chance, or since single targets
// of it are grey, slow or have just started.
#define BOOST_TEST_MODULE rollout_verdict
#include <boost/test/unit_test.hpp>

#include <cmath>

#include "caraway/base/random.h"
#include "caraway/rollout/verdict.h"

using namespace caraway;

namespace {

const RouteId kChat("chat");
const RouteId kAdvice("advice");
constexpr size_t kTrialTargets = 4;
constexpr int kRuns = 2000;

// How the version under test behaves, as shares of its answers.
struct Behaviour
{
  double mFailures = 0;
  double mSlow = 0;         // take five times as long
  double mGreyFailures = 0; // of the first target only
  bool mOnAdviceOnly = false;
};

struct Played
{
  RolloutVerdict mVerdict = RolloutVerdict::eUndecided;
  int mAnswers = 0; // of the version, until the verdict
  int mBad = 0;     // of these
};

bool
Draw(Random& aRandom, double aShare)
{
  constexpr uint64_t kSteps = 100000;
  return static_cast<double>(DrawBelow(aRandom, kSteps)) <
         aShare * static_cast<double>(kSteps);
}

Duration
DrawTime(Random& aRandom, bool aSlow)
{
  constexpr int64_t kLeastMillis = 150;
  const auto millis =
    kLeastMillis + static_cast<int64_t>(DrawBelow(aRandom, 150));
  return Millis(aSlow ? 5 * millis : millis);
}

void
AddAnswer(AnswerCounts& aCounts, bool aFailed, Duration aTime)
{
  ++aCounts.mAnswers;
  if (aFailed) {
    ++aCounts.mFailures;
  } else {
    ++aCounts.mTimes[TimeBucket(aTime)];
  }
}

// Plays a roll-out: of ten requests, about one goes to the version. Asks for a
// verdict after each of its answers, the worst case for a test that looks
// often.
Played
Play(uint64_t aSeed,
     const Behaviour& aVersion,
     double aUsualFailures,
     int aMost = 400)
{
  Random random(aSeed);
  RolloutEvidence evidence;
  Played played;
  for (; played.mAnswers < aMost &&
         played.mVerdict == RolloutVerdict::eUndecided;) {
    const RouteId& route = Draw(random, 0.6) ? kChat : kAdvice;
    if (!Draw(random, 0.08)) {
      AddAnswer(evidence.mBeside[route],
                Draw(random, aUsualFailures),
                DrawTime(random, Draw(random, 0.01)));
      continue;
    }
    const uint64_t target = DrawBelow(random, kTrialTargets);
    const bool concerned = !aVersion.mOnAdviceOnly || route == kAdvice;
    const double failures = (concerned ? aVersion.mFailures : 0) +
                            (target == 0 ? aVersion.mGreyFailures : 0) +
                            aUsualFailures;
    const bool failed = Draw(random, failures);
    const bool slow = concerned && Draw(random, aVersion.mSlow);
    AddAnswer(evidence.mTrial[route][TargetId("t" + std::to_string(target))],
              failed,
              DrawTime(random, slow));
    ++played.mAnswers;
    played.mBad += failed || slow ? 1 : 0;
    played.mVerdict = JudgeRollout(evidence).mVerdict;
  }
  return played;
}

struct Rates
{
  double mBad = 0;
  double mGood = 0;
  double mAnswers = 0; // until a verdict, on average
  int mMostBad = 0;    // bad answers before the verdict, at most
};

Rates
PlayMany(const Behaviour& aVersion, double aUsualFailures)
{
  Rates rates;
  for (int run = 0; run < kRuns; ++run) {
    const Played played =
      Play(static_cast<uint64_t>(run) + 1, aVersion, aUsualFailures);
    rates.mBad += played.mVerdict == RolloutVerdict::eBad ? 1.0 / kRuns : 0;
    rates.mGood += played.mVerdict == RolloutVerdict::eGood ? 1.0 / kRuns : 0;
    rates.mAnswers += static_cast<double>(played.mAnswers) / kRuns;
    rates.mMostBad = std::max(rates.mMostBad, played.mBad);
  }
  BOOST_TEST_MESSAGE("bad " << rates.mBad << " good " << rates.mGood
                            << " answers " << rates.mAnswers << " most bad "
                            << rates.mMostBad);
  return rates;
}

} // namespace

BOOST_AUTO_TEST_CASE(sound_version_is_hardly_ever_taken_back)
{
  for (const double usual : { 0.0, 0.01, 0.05 }) {
    const Rates rates = PlayMany({}, usual);
    BOOST_TEST(rates.mBad <= 0.005);
    BOOST_TEST(rates.mGood >= 0.99);
  }
}

BOOST_AUTO_TEST_CASE(failing_version_is_found)
{
  for (const double share : { 0.3, 0.5, 1.0 }) {
    const Rates rates = PlayMany({ share }, 0.01);
    BOOST_TEST(rates.mBad >= 0.98);
    BOOST_TEST(rates.mMostBad < 50);
  }
}

BOOST_AUTO_TEST_CASE(slow_version_is_found)
{
  for (const double share : { 0.4, 1.0 }) {
    const Rates rates = PlayMany({ 0, share }, 0.01);
    BOOST_TEST(rates.mBad >= 0.98);
  }
}

BOOST_AUTO_TEST_CASE(version_that_fails_on_one_route_is_found)
{
  const Rates rates = PlayMany({ 0.5, 0, 0, true }, 0.01);
  BOOST_TEST(rates.mBad >= 0.98);
}

BOOST_AUTO_TEST_CASE(grey_target_is_no_evidence_against_its_version)
{
  const Rates rates = PlayMany({ 0, 0, 0.5 }, 0.01);
  BOOST_TEST(rates.mBad <= 0.01);
  BOOST_TEST(rates.mGood >= 0.98);
}

BOOST_AUTO_TEST_CASE(version_without_answers_is_not_judged)
{
  RolloutEvidence evidence;
  evidence.mBeside[kChat].mAnswers = 1000;
  const RolloutJudgement judgement = JudgeRollout(evidence);
  BOOST_TEST((judgement.mVerdict == RolloutVerdict::eUndecided));
  BOOST_TEST(judgement.mReason == "no answers of the version yet");
}

// The alternative of docs/design/rollouts.md: a two-proportion z-test at each
// look. Shows why it is not used.
BOOST_AUTO_TEST_CASE(repeated_z_test_takes_sound_versions_back)
{
  int bad = 0;
  constexpr double kCritical = 2.33; // one-sided, 1 in 100 at a single look
  constexpr double kUsual = 0.05;
  for (int run = 0; run < kRuns; ++run) {
    Random random(static_cast<uint64_t>(run) + 1);
    double besideCount = 0;
    double besideBad = 0;
    double failed = 0;
    for (int answers = 1; answers <= 200; ++answers) {
      for (int beside = 0; beside < 10; ++beside) {
        ++besideCount;
        besideBad += Draw(random, kUsual) ? 1 : 0;
      }
      failed += Draw(random, kUsual) ? 1 : 0;
      const double pooled = (failed + besideBad) / (answers + besideCount);
      const double deviation =
        std::sqrt(pooled * (1 - pooled) * (1.0 / answers + 1 / besideCount));
      if (answers >= 10 && deviation > 0 &&
          (failed / answers - besideBad / besideCount) / deviation >
            kCritical) {
        ++bad;
        break;
      }
    }
  }
  BOOST_TEST_MESSAGE("z-test: " << static_cast<double>(bad) / kRuns);
  BOOST_TEST(static_cast<double>(bad) / kRuns > 0.02);
}
