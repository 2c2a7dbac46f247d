// Answers calls after a service time and records executions.

#include "fuzz/fleet/stub_target.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace caraway::fleet {

std::string
MarkerIn(const std::string& aBody)
{
  const size_t start = aBody.find("m-");
  if (start == std::string::npos) {
    return {};
  }
  const size_t end = aBody.find_first_not_of("0123456789", start + 2);
  return aBody.substr(
    start, end == std::string::npos ? std::string::npos : end - start);
}

std::string
AnswerBody(const std::string& aMarker)
{
  return absl::StrCat(R"({"object":"answer","text":"echo )", aMarker, R"("})");
}

std::string
StreamPiece(const std::string& aMarker, int aPiece)
{
  if (aPiece + 1 == kStreamPieces) {
    return "data: [DONE]\n\n";
  }
  return absl::StrCat(R"(data: {"choices":[{"index":0,"text":")",
                      aMarker,
                      " ",
                      aPiece,
                      "\"}]}\n\n");
}

std::string
WholeStream(const std::string& aMarker)
{
  std::string whole;
  for (int piece = 0; piece < kStreamPieces; ++piece) {
    whole += StreamPiece(aMarker, piece);
  }
  return whole;
}

bool
StartCall(StubTarget& aTarget,
          MonoTime aNow,
          const StartTargetCall& aCall,
          std::vector<NodeEvent>& aOut)
{
  if (!aTarget.mAlive) {
    aOut.emplace_back(
      TargetCallFailed{ aCall.mCall, Outcome::eNotRun, "connection refused" });
    return false;
  }
  if (!absl::StartsWith(aCall.mPath, "/v1/") &&
      !absl::StartsWith(aCall.mPath, "/stock/")) {
    // Load queries and orders are answered at once and aren't executions.
    aOut.emplace_back(TargetCallBegan{ aCall.mCall, 200, {} });
    aOut.emplace_back(
      TargetCallBytes{ aCall.mCall,
                       absl::StrCat(R"({"running":)",
                                    aTarget.mCalls.size(),
                                    R"(,"waiting":0,"cold":)",
                                    aTarget.mCold ? "true}" : "false}") });
    aOut.emplace_back(TargetCallEnded{ aCall.mCall });
    return false;
  }
  TargetCall call;
  call.mMarker = MarkerIn(aCall.mBody);
  call.mPath = aCall.mPath;
  call.mStream = absl::StrContains(aCall.mBody, R"("stream":true)");
  call.mPiecesLeft = call.mStream ? kStreamPieces : 1;
  call.mNext = aNow + aTarget.mServiceTime;
  aTarget.mCalls[aCall.mCall] = call;
  if (aTarget.mCold) {
    aTarget.mMostWhileCold = std::max(
      aTarget.mMostWhileCold, static_cast<uint32_t>(aTarget.mCalls.size()));
  }
  return true;
}

void
AdvanceTarget(StubTarget& aTarget, MonoTime aNow, std::vector<NodeEvent>& aOut)
{
  if (aTarget.mCold && aNow >= aTarget.mWarmAt) {
    aTarget.mCold = false;
  }
  if (aTarget.mSilent) {
    return;
  }
  for (auto it = aTarget.mCalls.begin(); it != aTarget.mCalls.end();) {
    TargetCall& call = it->second;
    if (call.mNext > aNow) {
      ++it;
      continue;
    }
    if (!call.mBegan) {
      call.mBegan = true;
      aOut.emplace_back(TargetCallBegan{
        it->first,
        200,
        { { "Content-Type",
            call.mStream ? "text/event-stream" : "application/json" } } });
    }
    const int piece = kStreamPieces - call.mPiecesLeft;
    aOut.emplace_back(TargetCallBytes{ it->first,
                                       call.mStream
                                         ? StreamPiece(call.mMarker, piece)
                                         : AnswerBody(call.mMarker) });
    call.mNext = aNow + Millis(10);
    if (--call.mPiecesLeft > 0) {
      ++it;
      continue;
    }
    aOut.emplace_back(TargetCallEnded{ it->first });
    it = aTarget.mCalls.erase(it);
  }
}

MonoTime
NextTargetEvent(const StubTarget& aTarget)
{
  MonoTime next = aTarget.mAlive ? aTarget.mNextAnnounce : kNever;
  if (!aTarget.mSilent) {
    for (const auto& [id, call] : aTarget.mCalls) {
      next = std::min(next, call.mNext);
    }
  }
  return next;
}

void
KillTarget(StubTarget& aTarget, std::vector<NodeEvent>& aOut)
{
  aTarget.mAlive = false;
  for (const auto& [id, call] : aTarget.mCalls) {
    aOut.emplace_back(
      TargetCallFailed{ id, Outcome::eUnknown, "connection reset" });
  }
  aTarget.mCalls.clear();
}

std::string
AnnounceBody(const StubTarget& aTarget)
{
  return absl::StrCat(
    R"({"target":")",
    aTarget.mName,
    R"(","kind":")",
    aTarget.mEngine ? "engine" : "service",
    R"(","url":"http://127.0.0.1:9","models":[)",
    aTarget.mEngine ? R"("model-a")" : "",
    R"(],"services":[)",
    aTarget.mEngine ? "" : R"("stock")",
    R"(],"start_id":")",
    aTarget.mStartId,
    R"(","capabilities":{"resume":false,"cancel":false,"fencing":false}})");
}

} // namespace caraway::fleet
