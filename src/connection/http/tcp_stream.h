// Non-blocking TCP connections with an input and an output buffer, and a listener.
#pragma once

#include "common/error.h"
#include "common/ids.h"
#include "connection/http/event_loop.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <netinet/in.h>
#include <optional>
#include <string>

namespace bamboograde::connection::http {

// Why a connection ended.
enum class stream_end
{
  // The peer closed its sending side.
  kEof,
  // The connection was reset, timed out in the kernel, or could not be established.
  kError,
};

// Owner of a stream, notified of its events. The owner may be destroyed within any of these calls;
// the stream holds a reference to itself until the call returns.
class stream_owner
{
public:
  virtual ~stream_owner() = default;
  virtual void OnConnected() {}
  // Bytes were appended to Input().
  virtual void OnInput() = 0;
  // The output buffer was above the high-water mark and has been written out.
  virtual void OnWritable() {}
  // Called at most once. After kEof the owner may go on writing; otherwise it should call Close().
  virtual void OnEnd(stream_end aEnd) = 0;
};

class tcp_stream
  : public boost::intrusive_ref_counter<tcp_stream, boost::thread_unsafe_counter>
  , private io_handler
{
public:
  // High-water mark of buffers in bytes: above it, a sender should pause writing and a receiver
  // should pause reading.
  static constexpr size_t kHighWaterMarkBytes = size_t(256) * 1024;

  // Starts connecting. The owner is notified by OnConnected() or OnEnd().
  static boost::intrusive_ptr<tcp_stream> Connect(event_loop& aLoop, stream_owner& aOwner,
                                                  const common::endpoint& aTarget);
  // Takes ownership of an accepted descriptor. Input is delivered after Start().
  static boost::intrusive_ptr<tcp_stream> Adopt(event_loop& aLoop, stream_owner& aOwner, int aFd);
  ~tcp_stream() override;

  void Start();
  std::string& Input() { return mInput; }
  // Appends to the output buffer and sends as much of it as the kernel accepts.
  void Write(std::string_view aBytes);
  size_t PendingBytes() const { return mOutput.size() - mOutputOffset; }
  bool Connected() const { return mConnected; }
  // Bytes handed to the kernel since the connection was established.
  uint64_t SentBytes() const { return mSentBytes; }
  // Of the bytes handed to the kernel, those that the peer's host has acknowledged; all of them
  // where the kernel does not tell.
  uint64_t DeliveredBytes();
  bool HasUndeliveredOutput() { return PendingBytes() > 0 || DeliveredBytes() < mSentBytes; }
  // While reading is paused, input stays in the kernel's receive buffer, so that TCP flow control
  // slows the peer down.
  void PauseReading();
  void ResumeReading();
  // Shuts down the sending side after the buffered output. Input is still delivered.
  void FinishWriting();
  // Closes the connection immediately and drops unsent output. The owner is not notified.
  void Close();
  // Like Close(), but sends RST, so that the peer can not take a partial message for a complete
  // one.
  void Reset();
  bool Closed() const { return mFd < 0; }

private:
  tcp_stream(event_loop& aLoop, stream_owner& aOwner, int aFd, bool aConnected);
  void OnReady(uint32_t aEvents) override;
  void OnException() override;
  void CheckConnectResult();
  void Read();
  void Flush();
  void End(stream_end aEnd);
  // Requests the events that the current state needs from the event loop.
  void UpdateWatch();

  event_loop& mLoop;
  stream_owner* mOwner;
  int mFd;
  uint64_t mToken = 0;
  bool mIsWatched = false;
  uint32_t mWatchedEvents = 0;
  bool mConnected;
  uint64_t mSentBytes = 0;
  uint64_t mDeliveredBytes = 0;
  bool mReadPaused = false;
  bool mEnded = false;
  // The connection was reset or timed out, as send() has reported.
  bool mFailed = false;
  bool mShutdownPending = false;
  bool mAboveHighWater = false;
  std::string mInput;
  std::string mOutput;
  size_t mOutputOffset = 0;
};

using tcp_stream_ptr = boost::intrusive_ptr<tcp_stream>;

// Parses "IP:PORT" with an IPv4 address. Returns nothing if the text has another form.
std::optional<sockaddr_in> ParseEndpoint(const common::endpoint& aEndpoint);

// Listens on one address. The accept callback takes ownership of the descriptor.
class tcp_listener : private io_handler
{
public:
  using accept_callback = std::function<void(int aFd)>;

  tcp_listener(event_loop& aLoop, accept_callback aCallback);
  ~tcp_listener() override;
  common::result<void> Listen(const common::endpoint& aEndpoint);
  // The bound port. When the endpoint had port 0, this is the one chosen by the kernel.
  uint16_t Port() const;
  // Connections that were not accepted are reset.
  void Close();
  // Accepts the connections that are established already, and closes.
  void CloseAfterAccepting();

private:
  void OnReady(uint32_t aEvents) override;
  void Resume();

  event_loop& mLoop;
  accept_callback mCallback;
  int mFd = -1;
  uint64_t mToken = 0;
  // Runs while no connection can be accepted for lack of descriptors or memory.
  loop_timer mResumeTimer;
};

} // namespace bamboograde::connection::http
