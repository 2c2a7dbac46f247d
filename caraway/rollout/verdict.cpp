// Sequential tests over the answers of a version on trial.

#include "caraway/rollout/verdict.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

#include "absl/strings/str_cat.h"

namespace caraway {

namespace {

// Chances of an error in one test: a sound version is called bad, a bad one
// good. A fleet asks some ten questions in a roll-out.
constexpr double kFalseAlarm = 0.0005;
constexpr double kMissed = 0.03;
// What a version may do worse than those beside it, which have few answers of
// their own at first: one and a half times their rate, at least one in fifty.
constexpr double kWorseFactor = 1.5;
constexpr double kLeastRate = 0.02;
// A bad version has this much more.
constexpr double kBadFailures = 0.20;
constexpr double kBadSlow = 0.20;
// Slow is an answer in a bucket this far above the one that nine of ten answers
// beside it stay under: twice the time.
constexpr size_t kSlowBuckets = 2;
constexpr double kUsualQuantile = 0.9;
constexpr uint64_t kLeastBeside = 20; // answers, for a usual time
// A route with fewer answers beside the trial does not hold up a verdict.
constexpr double kLeastRouteShare = 0.05;

struct Trials
{
  uint64_t mCount = 0;
  uint64_t mBad = 0;
};

// The log of the ratio of the likelihoods of "bad" and "sound".
double
LogRatio(const Trials& aTrials, double aSound, double aBad)
{
  const auto bad = static_cast<double>(aTrials.mBad);
  const auto good = static_cast<double>(aTrials.mCount - aTrials.mBad);
  return bad * std::log(aBad / aSound) +
         good * std::log((1 - aBad) / (1 - aSound));
}

double
RateOf(const Trials& aBeside)
{
  return static_cast<double>(aBeside.mBad) /
         static_cast<double>(std::max<uint64_t>(1, aBeside.mCount));
}

// Leaves out the target with the most bad answers, if it has any and others
// have answers: its own fault may not be the version's.
Trials
WithoutWorst(const std::vector<Trials>& aTargets)
{
  Trials sum;
  const Trials* worst = nullptr;
  size_t counted = 0;
  for (const Trials& target : aTargets) {
    sum.mCount += target.mCount;
    sum.mBad += target.mBad;
    counted += target.mCount > 0 ? 1 : 0;
    if (worst == nullptr || target.mBad > worst->mBad) {
      worst = &target;
    }
  }
  if (counted > 1 && worst->mBad > 0) {
    sum.mCount -= worst->mCount;
    sum.mBad -= worst->mBad;
  }
  return sum;
}

RolloutVerdict
Ask(const Trials& aBeside, const std::vector<Trials>& aTargets, double aWorse)
{
  constexpr double kMostSound = 0.7;
  const double sound =
    std::clamp(kWorseFactor * RateOf(aBeside), kLeastRate, kMostSound);
  const double bad = sound + aWorse;
  const double ratio = LogRatio(WithoutWorst(aTargets), sound, bad);
  if (ratio >= std::log((1 - kMissed) / kFalseAlarm)) {
    return RolloutVerdict::eBad;
  }
  return ratio <= std::log(kMissed / (1 - kFalseAlarm))
           ? RolloutVerdict::eGood
           : RolloutVerdict::eUndecided;
}

struct Question
{
  std::string mName; // of the route, for the log
  AnswerCounts mBeside;
  std::vector<AnswerCounts> mTargets;
  bool mMustDecide = true; // before the version counts as good
};

RolloutVerdict
AskFailures(const Question& aQuestion)
{
  std::vector<Trials> targets;
  for (const AnswerCounts& counts : aQuestion.mTargets) {
    targets.push_back({ counts.mAnswers, counts.mFailures });
  }
  const AnswerCounts& beside = aQuestion.mBeside;
  return Ask({ beside.mAnswers, beside.mFailures }, targets, kBadFailures);
}

// The first bucket of slow answers; kTimeBuckets while too few are timed.
size_t
FirstSlowBucket(const AnswerCounts& aBeside)
{
  const uint64_t timed = TimedFrom(aBeside, 0);
  if (timed < kLeastBeside) {
    return kTimeBuckets;
  }
  const auto above =
    static_cast<uint64_t>((1 - kUsualQuantile) * static_cast<double>(timed));
  size_t bucket = 0;
  while (TimedFrom(aBeside, bucket + 1) > above) {
    ++bucket;
  }
  return bucket + 1 + kSlowBuckets;
}

// nullopt while nobody can tell which answers are slow.
std::optional<RolloutVerdict>
AskSlow(const Question& aQuestion)
{
  const size_t slow = FirstSlowBucket(aQuestion.mBeside);
  if (slow >= kTimeBuckets) {
    return std::nullopt;
  }
  const auto trialsOf = [&](const AnswerCounts& aCounts) {
    return Trials{ TimedFrom(aCounts, 0), TimedFrom(aCounts, slow) };
  };
  std::vector<Trials> targets;
  for (const AnswerCounts& counts : aQuestion.mTargets) {
    targets.push_back(trialsOf(counts));
  }
  return Ask(trialsOf(aQuestion.mBeside), targets, kBadSlow);
}

std::vector<Question>
QuestionsOf(const RolloutEvidence& aEvidence)
{
  Question all;
  all.mName = "all routes";
  std::map<TargetId, AnswerCounts> byTarget;
  for (const auto& [route, counts] : aEvidence.mBeside) {
    AddCounts(all.mBeside, counts);
  }
  std::vector<Question> questions;
  for (const auto& [route, targets] : aEvidence.mTrial) {
    Question one;
    one.mName = "route " + route.mValue;
    if (auto beside = aEvidence.mBeside.find(route);
        beside != aEvidence.mBeside.end()) {
      one.mBeside = beside->second;
    }
    // Items are leased one by one at targets on trial, too few for a verdict.
    one.mMustDecide =
      route != kBatchItems &&
      static_cast<double>(one.mBeside.mAnswers) >=
        kLeastRouteShare * static_cast<double>(all.mBeside.mAnswers);
    for (const auto& [target, counts] : targets) {
      one.mTargets.push_back(counts);
      AddCounts(byTarget[target], counts);
    }
    questions.push_back(std::move(one));
  }
  for (const auto& [target, counts] : byTarget) {
    all.mTargets.push_back(counts);
  }
  questions.push_back(std::move(all));
  return questions;
}

} // namespace

RolloutJudgement
JudgeRollout(const RolloutEvidence& aEvidence)
{
  RolloutJudgement judgement;
  const std::vector<Question> questions = QuestionsOf(aEvidence);
  for (const AnswerCounts& counts : questions.back().mTargets) {
    judgement.mAnswers += counts.mAnswers;
    judgement.mFailures += counts.mFailures;
  }
  bool good = judgement.mAnswers > 0;
  for (const Question& question : questions) {
    const RolloutVerdict failures = AskFailures(question);
    const std::optional<RolloutVerdict> slow = AskSlow(question);
    if (failures == RolloutVerdict::eBad || slow == RolloutVerdict::eBad) {
      judgement.mVerdict = RolloutVerdict::eBad;
      judgement.mReason =
        absl::StrCat(failures == RolloutVerdict::eBad
                       ? "more failures than beside it on "
                       : "more slow answers than beside it on ",
                     question.mName);
      return judgement;
    }
    const bool undecided = failures == RolloutVerdict::eUndecided ||
                           slow == RolloutVerdict::eUndecided;
    if (undecided && question.mMustDecide) {
      good = false;
      judgement.mReason = "too few answers on " + question.mName;
    }
  }
  if (good) {
    judgement.mVerdict = RolloutVerdict::eGood;
    judgement.mReason = "no worse than the versions beside it";
  } else if (judgement.mAnswers == 0) {
    judgement.mReason = "no answers of the version yet";
  }
  return judgement;
}

} // namespace caraway
