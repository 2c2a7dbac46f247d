#pragma once
// HTTP client for calls to targets, based on evhttp. Idle connections are kept
// and reused for calls that allow it, see routing/connection_pool.h.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "caraway/base/message_reader.h"
#include "caraway/base/target_call.h"
#include "caraway/routing/connection_pool.h"
#include "caraway/runtime/libevent_handles.h"
#include "caraway/runtime/loop.h"

namespace caraway {

struct TargetClientSettings
{
  int mConnectSeconds = 2;
};

class TargetClient
{
public:
  TargetClient(Loop& aLoop, TargetClientSettings aSettings);
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;
  ~TargetClient();

  // A call is closed by exactly one of mOnEnded, mOnFailed and Cancel.
  void Start(const StartTargetCall& aCall);
  void Cancel(const CancelTargetCall& aCancel);
  // Ends with exactly one mOnChecked.
  void Check(const CheckTarget& aCheck);

  // Emitted as soon as the first bytes of the request are written to the
  // socket, so always before mOnBegan.
  sigc::signal<void(const TargetCallSent&)> mOnSent;
  sigc::signal<void(const TargetCallBegan&)> mOnBegan;
  sigc::signal<void(const TargetCallBytes&)> mOnBytes;
  sigc::signal<void(const TargetCallEnded&)> mOnEnded;
  sigc::signal<void(const TargetCallFailed&)> mOnFailed;
  sigc::signal<void(const TargetChecked&)> mOnChecked;

private:
  struct Call
  {
    TargetClient* mClient = nullptr;
    TargetCallId mId;
    std::string mAuthority; // "ip:port", for reuse
    RequestId mRequest;
    uint32_t mIdleLimit = 0;
    EvHttpConnectionPtr mConnection;
    bool mReusedConnection = false;
    bool mBegan = false;
    bool mClosed = false;    // no further events
    bool mUploadCut = false; // the connection ended before the target had it
    uint64_t mBytesSent = 0; // drained from the output buffer
    uint64_t mBytesBeforeHead = 0; // received before the headers were complete
    MessageReader mReader;         // of the answer's bytes
    // Holds the input until the head of the final response is complete; empty
    // if that has come in one piece.
    EvBufferPtr mHeld;
    bool mHeadPassed = false; // evhttp has the head
    bool mPassing = false;    // PassWholeHead changes the input
    bool mKeep = false;       // the target keeps the connection open
    Duration mReuseTime;      // with mKeep
    std::string mReceived;    // bytes of the body not yet emitted
    bool mFlushQueued = false;
  };

  // A connection that is opened only to see whether it is accepted.
  struct Probe
  {
    TargetClient* mClient = nullptr;
    uint64_t mCheck = 0;
    BufferEventPtr mBuffer;
  };

  struct Idle
  {
    TargetClient* mClient = nullptr;
    ConnectionId mId;
    EvHttpConnectionPtr mConnection;
  };

  static int OnHeaders(evhttp_request* aRequest, void* aCall);
  static void OnChunk(evhttp_request* aRequest, void* aCall);
  static void OnDone(evhttp_request* aRequest, void* aCall);
  static void OnInput(evbuffer* aBuffer,
                      const evbuffer_cb_info* aInfo,
                      void* aCall);
  static void PassWholeHead(Call& aCall, evbuffer* aInput);
  static void OnOutput(evbuffer* aBuffer,
                       const evbuffer_cb_info* aInfo,
                       void* aCall);

  static void OnClosing(evhttp_connection* aConnection, void* aCall);
  static void OnIdleClosed(evhttp_connection* aConnection, void* aIdle);

  static void OnProbeEvent(bufferevent* aBuffer, short aEvents, void* aProbe);

  EvHttpConnectionPtr TakeConnection(Call& aCall,
                                     const std::string& aHost,
                                     uint16_t aPort,
                                     bool aFresh);
  void Fail(Call& aCall, Outcome aOutcome, std::string aReason);
  // Collects bytes of the body that evhttp has read.
  static void TakeBody(evhttp_request* aRequest, Call& aCall);
  // Emits the bytes collected so far.
  void Flush(Call& aCall);
  // Ends the call without an event, and keeps its connection if it is reusable.
  void CloseCall(TargetCallId aId, bool aReusable);
  void FinishProbe(uint64_t aCheck, TargetReach aReach);
  // Takes an idle connection on which nothing has arrived; null if none is
  // left.
  EvHttpConnectionPtr TakeIdleConnection(const Call& aCall);
  // Keeps the connection of a call that has ended.
  void KeepConnection(Call& aCall);
  // Closes idle connections that the pool has dropped.
  void CloseIdle(const std::vector<ConnectionId>& aDropped);
  // Closes the idle connections whose time is over.
  void DropIdle();

  Loop& mLoop;
  TargetClientSettings mSettings;
  std::map<TargetCallId, std::unique_ptr<Call>> mCalls;
  std::map<uint64_t, std::unique_ptr<Probe>> mProbes; // by check
  // Every connection in the pool is in mIdle; the others there are about to be
  // closed.
  ConnectionPool mPool;
  std::map<ConnectionId, Idle> mIdle;
  uint64_t mNextConnection = 1;
  Timer mIdleTimer;
};

} // namespace caraway
