// Serves the engine model over HTTP.

#include "standins/engine_server.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr uint32_t kBytesPerToken = 4;
constexpr uint32_t kDefaultTokens = 16;
constexpr size_t kPrefixBytes = 256;

std::string
PromptOf(const Json& aBody)
{
  if (aBody.contains("prompt")) {
    return aBody["prompt"].is_string() ? aBody["prompt"].get<std::string>()
                                       : aBody["prompt"].dump();
  }
  return aBody.contains("messages") ? aBody["messages"].dump() : "";
}

uint32_t
TokensIn(const std::string& aText)
{
  return std::max<uint32_t>(
    1, static_cast<uint32_t>(aText.size()) / kBytesPerToken);
}

Json
ChoiceOf(bool aChat, bool aStream, const std::string& aText, bool aEnd)
{
  Json choice{ { "index", 0 },
               { "finish_reason", aEnd ? Json("stop") : Json() } };
  if (!aChat) {
    choice["text"] = aText;
  } else if (aStream) {
    choice["delta"] = aText.empty()
                        ? Json::object()
                        : Json{ { "role", "assistant" }, { "content", aText } };
  } else {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  }
  return choice;
}

Json
Envelope(bool aChat, bool aStream, const std::string& aModel, Json aChoice)
{
  std::string object = "text_completion";
  if (aChat) {
    object = aStream ? "chat.completion.chunk" : "chat.completion";
  }
  return { { "id", "cmpl-standin" },
           { "object", object },
           { "created", 0 },
           { "model", aModel },
           { "choices", Json::array({ std::move(aChoice) }) } };
}

} // namespace

EngineServer::EngineServer(Loop& aLoop,
                           const HttpServerSettings& aHttp,
                           const EngineSettings& aEngine,
                           const std::string& aModel,
                           bool aCold,
                           bool aEndsByClose)
  : mLoop(aLoop)
  , mHttp(aLoop, aHttp)
  , mSettings(aEngine)
  , mModel(aModel)
  , mEndsByClose(aEndsByClose)
  , mEngine(MakeEngine(aEngine, aLoop.Now(), aCold))
  , mTimer(aLoop, [this] { Advance(); })
{
  mEngine.mModels.push_back(aModel);
}

absl::Status
EngineServer::Start()
{
  mHttp.mOnRequest.connect(
    [this](const HttpRequest& aRequest) { OnRequest(aRequest); });
  mHttp.mOnClosed.connect(
    [this](const HttpClosed& aClosed) { OnClosed(aClosed.mCall); });
  return mHttp.Listen();
}

void
EngineServer::Refuse(HttpCallId aCall, int aStatus, const std::string& aMessage)
{
  const Json body{ { "error", { { "message", aMessage } } } };
  mHttp.Respond({ aCall,
                  aStatus,
                  { { "Content-Type", "application/json" } },
                  body.dump() });
}

void
EngineServer::OnRequest(const HttpRequest& aRequest)
{
  if (aRequest.mPath == "/v1/completions" ||
      aRequest.mPath == "/v1/chat/completions") {
    Complete(aRequest);
  } else if (aRequest.mPath == "/cancel") {
    Cancel(aRequest);
  } else if (aRequest.mPath == "/admin/load") {
    Order(aRequest, true);
  } else if (aRequest.mPath == "/admin/unload") {
    Order(aRequest, false);
  } else if (aRequest.mPath == "/load") {
    Load(aRequest);
  } else if (aRequest.mPath == "/admin/chill") {
    MakeEngineCold(mEngine, mLoop.Now());
    mHttp.Respond({ aRequest.mCall, 200, {}, "{}" });
  } else {
    Refuse(aRequest.mCall, 404, "unknown path");
  }
}

void
EngineServer::Complete(const HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.mBody, nullptr, false);
  if (!body.is_object() || PromptOf(body).empty()) {
    Refuse(aRequest.mCall, 400, "the body needs a prompt or messages");
    return;
  }
  const uint64_t id = mNextCall++;
  Call call;
  call.mHttp = aRequest.mCall;
  call.mRequest = HeaderValue(aRequest.mHeaders, "X-Request-Id");
  call.mPrompt = PromptOf(body);
  call.mChat = absl::EndsWith(aRequest.mPath, "chat/completions");
  call.mStream = body.value("stream", false);
  call.mText = body.value("resume_from", std::string());
  call.mPrompts = TokensIn(call.mPrompt);
  EngineCall engineCall;
  engineCall.mId = id;
  engineCall.mPrompt = call.mPrompts;
  engineCall.mOutput = body.value("max_tokens", kDefaultTokens);
  const std::string prefix = call.mPrompt.substr(0, kPrefixBytes);
  engineCall.mPrefix = XXH3_64bits(prefix.data(), prefix.size());
  engineCall.mPrefixTokens = std::min(call.mPrompts, TokensIn(prefix));
  Advance();
  if (!AdmitCall(mEngine, mLoop.Now(), engineCall)) {
    // The engine is down. A real one would refuse the connection instead.
    Refuse(aRequest.mCall, 503, "starting");
    return;
  }
  if (call.mStream) {
    mHttp.Begin({ call.mHttp,
                  200,
                  { { "Content-Type", "text/event-stream" } },
                  mEndsByClose });
  }
  mCalls[id] = std::move(call);
  Advance();
}

void
EngineServer::Cancel(const HttpRequest& aRequest)
{
  const Json body = Json::parse(aRequest.mBody, nullptr, false);
  const std::string request =
    body.is_object() ? body.value("request_id", std::string()) : "";
  for (auto it = mCalls.begin(); it != mCalls.end();) {
    if (!request.empty() && it->second.mRequest == request) {
      CancelCall(mEngine, mLoop.Now(), it->first);
      mHttp.Abort({ it->second.mHttp });
      it = mCalls.erase(it);
    } else {
      ++it;
    }
  }
  mHttp.Respond({ aRequest.mCall, 200, {}, "{}" });
}

void
EngineServer::Order(const HttpRequest& aRequest, bool aLoad)
{
  const Json body = Json::parse(aRequest.mBody, nullptr, false);
  if (!body.is_object() || !body.contains("model")) {
    Refuse(aRequest.mCall, 400, "the order needs a model");
    return;
  }
  const bool taken = ApplyModelOrder(mEngine,
                                     aLoad,
                                     body.value("model", std::string()),
                                     body.value("token", 0ULL));
  if (!taken) {
    Refuse(aRequest.mCall, 409, "the fencing token is old");
    return;
  }
  mHttp.Respond({ aRequest.mCall, 200, {}, "{}" });
}

void
EngineServer::Load(const HttpRequest& aRequest)
{
  const EngineLoad load = ReportedLoad(mEngine, mLoop.Now());
  const Json body{ { "running", load.mRunning },
                   { "waiting", load.mWaiting },
                   { "cold", load.mCold } };
  mHttp.Respond({ aRequest.mCall,
                  200,
                  { { "Content-Type", "application/json" } },
                  body.dump() });
}

void
EngineServer::OnClosed(HttpCallId aCall)
{
  for (auto it = mCalls.begin(); it != mCalls.end(); ++it) {
    if (it->second.mHttp == aCall) {
      CancelCall(mEngine, mLoop.Now(), it->first);
      mCalls.erase(it);
      return;
    }
  }
}

void
EngineServer::Advance()
{
  std::vector<EngineOutput> outputs;
  AdvanceEngine(mEngine, mLoop.Now(), outputs);
  for (const EngineOutput& output : outputs) {
    Emit(output);
  }
  mTimer.ArmAt(NextEngineStep(mEngine));
}

void
EngineServer::Emit(const EngineOutput& aOutput)
{
  const auto found = mCalls.find(aOutput.mCall);
  if (found == mCalls.end()) {
    return;
  }
  Call& call = found->second;
  if (aOutput.mKind == EngineOutputKind::eBroken) {
    // A process that ends closes its connections in order.
    if (mEndsByClose && call.mStream) {
      mHttp.End({ call.mHttp });
    } else {
      mHttp.Abort({ call.mHttp });
    }
    mCalls.erase(found);
    return;
  }
  if (aOutput.mKind == EngineOutputKind::eFinished) {
    Finish(aOutput.mCall, call);
    return;
  }
  const std::string text =
    TokenText(mSettings.mSeed, call.mPrompt, aOutput.mToken);
  call.mText += text;
  ++call.mTokens;
  if (call.mStream) {
    const Json event = Envelope(
      call.mChat, true, mModel, ChoiceOf(call.mChat, true, text, false));
    mHttp.Chunk({ call.mHttp, absl::StrCat("data: ", event.dump(), "\n\n") });
  }
}

void
EngineServer::Finish(uint64_t aId, Call& aCall)
{
  if (aCall.mStream) {
    const Json event = Envelope(
      aCall.mChat, true, mModel, ChoiceOf(aCall.mChat, true, "", true));
    mHttp.Chunk(
      { aCall.mHttp,
        absl::StrCat("data: ", event.dump(), "\n\ndata: [DONE]\n\n") });
    mHttp.End({ aCall.mHttp });
  } else {
    Json body = Envelope(aCall.mChat,
                         false,
                         mModel,
                         ChoiceOf(aCall.mChat, false, aCall.mText, true));
    body["usage"] = { { "prompt_tokens", aCall.mPrompts },
                      { "completion_tokens", aCall.mTokens },
                      { "total_tokens", aCall.mPrompts + aCall.mTokens } };
    mHttp.Respond({ aCall.mHttp,
                    200,
                    { { "Content-Type", "application/json" } },
                    body.dump(),
                    mEndsByClose });
  }
  mCalls.erase(aId);
}

} // namespace caraway
