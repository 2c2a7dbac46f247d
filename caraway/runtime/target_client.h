#pragma once
// HTTP calls to targets, by evhttp's client. Idle
// connections are reused for a few seconds, for calls that allow it.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "caraway/base/target_call.h"
#include "caraway/runtime/libevent_handles.h"
#include "caraway/runtime/loop.h"

namespace caraway {

struct TargetClientSettings
{
  Duration mIdleReuse = Seconds(4); // an idle connection is closed after this
  size_t mMaxIdle = 64;             // connections kept
  int mConnectSeconds = 2;
};

class TargetClient
{
public:
  TargetClient(Loop& aLoop, TargetClientSettings aSettings);
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;
  ~TargetClient();

  // Exactly one of ended, failed or a cancel closes the call.
  void Start(const StartTargetCall& aCall);
  void Cancel(const CancelTargetCall& aCancel);

  // Emitted before the first byte of the answer, at once with the write.
  sigc::signal<void(const TargetCallSent&)> mOnSent;
  sigc::signal<void(const TargetCallBegan&)> mOnBegan;
  sigc::signal<void(const TargetCallBytes&)> mOnBytes;
  sigc::signal<void(const TargetCallEnded&)> mOnEnded;
  sigc::signal<void(const TargetCallFailed&)> mOnFailed;

private:
  struct Call
  {
    TargetClient* mClient = nullptr;
    TargetCallId mId;
    std::string mAuthority; // "ip:port", for reuse
    EvHttpConnectionPtr mConnection;
    bool mReusedConnection = false;
    bool mBegan = false;
    bool mClosed = false;          // no further events
    uint64_t mBytesSent = 0;       // drained from the output buffer
    uint64_t mBytesBeforeHead = 0; // of the answer, until its head was whole
  };

  struct Idle
  {
    std::string mAuthority;
    EvHttpConnectionPtr mConnection;
    MonoTime mSince;
  };

  static int OnHeaders(evhttp_request* aRequest, void* aCall);
  static void OnChunk(evhttp_request* aRequest, void* aCall);
  static void OnDone(evhttp_request* aRequest, void* aCall);
  static void OnInput(evbuffer* aBuffer,
                      const evbuffer_cb_info* aInfo,
                      void* aCall);
  static void OnOutput(evbuffer* aBuffer,
                       const evbuffer_cb_info* aInfo,
                       void* aCall);

  EvHttpConnectionPtr TakeConnection(Call& aCall,
                                     const std::string& aHost,
                                     uint16_t aPort,
                                     bool aFresh);
  void Fail(Call& aCall, Outcome aOutcome, std::string aReason);
  void CloseCall(TargetCallId aId, bool aReusable);
  void DropIdle();

  Loop& mLoop;
  TargetClientSettings mSettings;
  std::map<TargetCallId, std::unique_ptr<Call>> mCalls;
  std::vector<Idle> mIdle;
  Timer mIdleTimer;
};

} // namespace caraway
