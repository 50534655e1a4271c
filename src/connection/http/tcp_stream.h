// A non-blocking TCP connection with buffers for both directions.
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
  // The peer has finished sending.
  kEof,
  // Reset, timed out by the kernel, or never connected.
  kError,
};

// Owner of a stream. Every call may destroy the owner; the stream keeps itself alive meanwhile.
class stream_owner
{
public:
  virtual ~stream_owner() = default;
  virtual void OnConnected() {}
  // Input() has grown.
  virtual void OnInput() = 0;
  // Output has fallen below the high-water mark after having been above it.
  virtual void OnWritable() {}
  // Called once; the owner should call Close() or go on writing after kEof.
  virtual void OnEnd(stream_end aEnd) = 0;
};

class tcp_stream
  : public boost::intrusive_ref_counter<tcp_stream, boost::thread_unsafe_counter>
  , private io_handler
{
public:
  // Bytes of output at which a sender should pause, and of input at which reading pauses.
  static constexpr size_t kHighWater = size_t(256) * 1024;

  // Begins to connect; the outcome arrives as OnConnected or OnEnd.
  static boost::intrusive_ptr<tcp_stream> Connect(event_loop& aLoop, stream_owner& aOwner,
                                                  const common::endpoint& aTarget);
  // Takes over an accepted descriptor. Call Start() once the owner is ready for input.
  static boost::intrusive_ptr<tcp_stream> Adopt(event_loop& aLoop, stream_owner& aOwner, int aFd);
  ~tcp_stream() override;

  void Start();
  std::string& Input() { return mInput; }
  // Queues output and writes as much as the kernel takes.
  void Write(std::string_view aBytes);
  size_t Pending() const { return mOutput.size() - mWritten; }
  bool Connected() const { return mConnected; }
  // Bytes that the kernel has taken since the connection began.
  uint64_t SentBytes() const { return mSentBytes; }
  // While paused, input stays in the kernel, which makes the peer wait.
  void PauseReading();
  void ResumeReading();
  // Sends what is queued, then an end of stream. Input is still delivered.
  void FinishWriting();
  // Closes at once; unsent output is dropped. No call to the owner follows.
  void Close();
  // As Close, but the peer sees a reset, so that a partial message can not look complete.
  void Reset();
  bool Closed() const { return mFd < 0; }

private:
  tcp_stream(event_loop& aLoop, stream_owner& aOwner, int aFd, bool aConnected);
  void OnReady(uint32_t aEvents) override;
  void OnConnectDone();
  void Read();
  void Flush();
  void End(stream_end aEnd);
  // Watches for what is waited for now.
  void UpdateWatch();

  event_loop& mLoop;
  stream_owner* mOwner;
  int mFd;
  uint64_t mToken = 0;
  bool mWatched = false;
  uint32_t mWatchedFor = 0;
  bool mConnected;
  uint64_t mSentBytes = 0;
  bool mReadPaused = false;
  bool mEnded = false;
  bool mFinishing = false;
  bool mAboveHighWater = false;
  std::string mInput;
  std::string mOutput;
  size_t mWritten = 0;
};

using tcp_stream_ptr = boost::intrusive_ptr<tcp_stream>;

// Parses "IP:PORT". Empty when the text is anything else.
std::optional<sockaddr_in> ParseEndpoint(const common::endpoint& aEndpoint);

// Accepts connections at one address.
class tcp_listener : private io_handler
{
public:
  using accept_callback = std::function<void(int aFd)>;

  tcp_listener(event_loop& aLoop, accept_callback aCallback);
  ~tcp_listener() override;
  common::result<void> Listen(const common::endpoint& aEndpoint);
  // The port that was bound, also when port zero was asked for.
  uint16_t Port() const;
  void Close();

private:
  void OnReady(uint32_t aEvents) override;

  event_loop& mLoop;
  accept_callback mCallback;
  int mFd = -1;
  uint64_t mToken = 0;
};

} // namespace bamboograde::connection::http
