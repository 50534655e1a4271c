#include "connection/http/tcp_stream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <spdlog/spdlog.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboograde::connection::http {

namespace {

constexpr size_t kReadChunkBytes = size_t(32) * 1024;
// Input read at one event; more stays in the kernel, so that other connections and timers get their
// turn.
constexpr size_t kMaxReadBytes = tcp_stream::kHighWaterMarkBytes;
constexpr int kListenBacklog = 1024;
// Pause after an accept failed for lack of descriptors or memory.
constexpr common::milliseconds kAcceptPause{ 50 };
// The kernel closes a connection whose output stays unacknowledged this long, since the peer's host
// is down or unreachable.
constexpr int kUserTimeoutMs = 3000;
// With these keep-alive settings, an unreachable peer is detected on an idle connection within
// about four seconds.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void SetOption(int aFd, int aLevel, int aName, int aValue)
{
  setsockopt(aFd, aLevel, aName, &aValue, sizeof(aValue));
}

void SetConnectionOptions(int aFd)
{
  SetOption(aFd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aFd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(aFd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aFd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(aFd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(aFd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

} // namespace

std::optional<sockaddr_in> ParseEndpoint(const common::endpoint& aEndpoint)
{
  const std::string& text = aEndpoint.Str();
  size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  uint16_t port = 0;
  auto [stop, code] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  bool portOk = code == std::errc() && stop == text.data() + text.size();
  if (!portOk || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  address.sin_port = htons(port);
  return address;
}

tcp_stream::tcp_stream(event_loop& aLoop, stream_owner& aOwner, int aFd, bool aConnected)
  : mLoop(aLoop)
  , mOwner(&aOwner)
  , mFd(aFd)
  , mConnected(aConnected)
{
}

tcp_stream::~tcp_stream()
{
  Close();
}

tcp_stream_ptr tcp_stream::Connect(event_loop& aLoop, stream_owner& aOwner,
                                   const common::endpoint& aTarget)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  tcp_stream_ptr stream(new tcp_stream(aLoop, aOwner, fd, false));
  auto address = ParseEndpoint(aTarget);
  bool started = false;
  if (fd >= 0 && address.has_value()) {
    SetConnectionOptions(fd);
    int code = connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address));
    started = code == 0 || errno == EINPROGRESS;
  }
  if (started) {
    stream->mWatchedEvents = EPOLLOUT;
    stream->mToken = aLoop.Watch(fd, stream->mWatchedEvents, stream.get());
    stream->mIsWatched = true;
  } else {
    // Deferred because the owner receives the stream only when Connect() returns.
    aLoop.Defer([stream] { stream->End(stream_end::kError); });
  }
  return stream;
}

tcp_stream_ptr tcp_stream::Adopt(event_loop& aLoop, stream_owner& aOwner, int aFd)
{
  SetConnectionOptions(aFd);
  return { new tcp_stream(aLoop, aOwner, aFd, true) };
}

void tcp_stream::Start()
{
  mWatchedEvents = EPOLLIN;
  mToken = mLoop.Watch(mFd, mWatchedEvents, this);
  mIsWatched = true;
}

void tcp_stream::UpdateWatch()
{
  if (mFd < 0 || !mIsWatched) {
    return;
  }
  bool writing = !mConnected || PendingBytes() > 0;
  bool reading = mConnected && !mReadPaused && !mEnded;
  uint32_t events = (writing ? uint32_t(EPOLLOUT) : 0U) | (reading ? uint32_t(EPOLLIN) : 0U);
  if (events != mWatchedEvents) {
    mWatchedEvents = events;
    mLoop.ModifyWatch(mFd, events, mToken);
  }
}

void tcp_stream::OnReady(uint32_t aEvents)
{
  tcp_stream_ptr self(this);
  if (!mConnected) {
    CheckConnectResult();
    if (!mConnected) {
      return;
    }
  }
  if ((aEvents & EPOLLOUT) != 0) {
    Flush();
  }
  if ((aEvents & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    Read();
  }
  UpdateWatch();
}

void tcp_stream::CheckConnectResult()
{
  int code = 0;
  socklen_t size = sizeof(code);
  if (getsockopt(mFd, SOL_SOCKET, SO_ERROR, &code, &size) != 0 || code != 0) {
    End(stream_end::kError);
    return;
  }
  mConnected = true;
  mOwner->OnConnected();
}

void tcp_stream::Read()
{
  std::array<char, kReadChunkBytes> chunk;
  size_t total = 0;
  while (!mReadPaused && mFd >= 0 && !mEnded && total < kMaxReadBytes) {
    ssize_t count = recv(mFd, chunk.data(), chunk.size(), 0);
    if (count > 0) {
      total += size_t(count);
      mInput.append(chunk.data(), size_t(count));
      mOwner->OnInput();
      if (size_t(count) < chunk.size()) {
        return;
      }
      continue;
    }
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0 && errno == EAGAIN) {
      return;
    }
    End(count == 0 && !mFailed ? stream_end::kEof : stream_end::kError);
  }
}

void tcp_stream::PauseReading()
{
  mReadPaused = true;
  UpdateWatch();
}

void tcp_stream::ResumeReading()
{
  mReadPaused = false;
  UpdateWatch();
}

void tcp_stream::Write(std::string_view aBytes)
{
  if (mFd < 0) {
    return;
  }
  mOutput.append(aBytes);
  if (mConnected) {
    Flush();
  }
}

void tcp_stream::Flush()
{
  while (mFd >= 0 && PendingBytes() > 0) {
    ssize_t count = send(mFd, mOutput.data() + mOutputOffset, PendingBytes(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      // Output continues when the socket is writable, and Read() reports the end of the connection.
      // An error that send() returns is cleared, so that recv() returns 0 as after a FIN. A reset
      // that follows a FIN is EPIPE here: what was received is complete.
      mFailed = mFailed || (errno != EAGAIN && errno != EPIPE);
      mAboveHighWater = mAboveHighWater || PendingBytes() > kHighWaterMarkBytes;
      UpdateWatch();
      return;
    }
    mSentBytes += uint64_t(count);
    mOutputOffset += size_t(count);
  }
  mOutput.clear();
  mOutputOffset = 0;
  if (mOutput.capacity() > kHighWaterMarkBytes) {
    mOutput.shrink_to_fit();
  }
  if (mShutdownPending && mFd >= 0) {
    shutdown(mFd, SHUT_WR);
    mShutdownPending = false;
  }
  if (mAboveHighWater && mFd >= 0) {
    mAboveHighWater = false;
    mOwner->OnWritable();
  }
}

uint64_t tcp_stream::DeliveredBytes()
{
  if (mFd >= 0 && mDeliveredBytes < mSentBytes) {
    int queued = 0;
    bool known = ioctl(mFd, SIOCOUTQ, &queued) == 0;
    mDeliveredBytes = mSentBytes - (known ? std::min(mSentBytes, uint64_t(queued)) : 0);
  }
  return mDeliveredBytes;
}

void tcp_stream::FinishWriting()
{
  mShutdownPending = true;
  if (mConnected) {
    Flush();
  }
}

void tcp_stream::OnException()
{
  tcp_stream_ptr self(this);
  stream_owner* owner = mOwner;
  Reset();
  if (owner != nullptr) {
    owner->OnEnd(stream_end::kError);
  }
}

void tcp_stream::End(stream_end aEnd)
{
  if (mEnded || mOwner == nullptr) {
    return;
  }
  mEnded = true;
  mOwner->OnEnd(aEnd);
}

void tcp_stream::Close()
{
  mOwner = nullptr;
  mEnded = true;
  if (mFd < 0) {
    return;
  }
  if (mIsWatched) {
    mLoop.Unwatch(mFd, mToken);
  }
  close(mFd);
  mFd = -1;
}

void tcp_stream::Reset()
{
  if (mFd >= 0) {
    linger abort{ 1, 0 };
    setsockopt(mFd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  }
  Close();
}

tcp_listener::tcp_listener(event_loop& aLoop, accept_callback aCallback)
  : mLoop(aLoop)
  , mCallback(std::move(aCallback))
  , mResumeTimer(aLoop, [this] { Resume(); })
{
}

tcp_listener::~tcp_listener()
{
  Close();
}

common::result<void> tcp_listener::Listen(const common::endpoint& aEndpoint)
{
  auto address = ParseEndpoint(aEndpoint);
  if (!address.has_value()) {
    return common::error{ common::error_code::kInvalidInput,
                          "\"" + aEndpoint.Str() +
                            "\" is not IP:PORT; correct the listen address" };
  }
  mFd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  SetOption(mFd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(mFd, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) != 0 ||
      listen(mFd, kListenBacklog) != 0) {
    std::string reason = std::strerror(errno);
    close(mFd);
    mFd = -1;
    return common::error{ common::error_code::kUnavailable,
                          "cannot listen at " + aEndpoint.Str() + ": " + reason };
  }
  mToken = mLoop.Watch(mFd, EPOLLIN, this);
  return boost::outcome_v2::success();
}

uint16_t tcp_listener::Port() const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(mFd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void tcp_listener::Close()
{
  if (mFd < 0) {
    return;
  }
  mResumeTimer.Cancel();
  mLoop.Unwatch(mFd, mToken);
  close(mFd);
  mFd = -1;
}

void tcp_listener::CloseAfterAccepting()
{
  if (mFd >= 0) {
    OnReady(EPOLLIN);
    Close();
  }
}

void tcp_listener::Resume()
{
  mLoop.ModifyWatch(mFd, EPOLLIN, mToken);
}

void tcp_listener::OnReady(uint32_t)
{
  while (mFd >= 0) {
    int fd = accept4(mFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      bool nothingToAccept = errno == EAGAIN || errno == EINTR || errno == ECONNABORTED;
      if (!nothingToAccept) {
        spdlog::warn("accept failed: {}", std::strerror(errno));
        // The connection stays in the queue, so the descriptor would be ready at once again.
        mLoop.ModifyWatch(mFd, 0, mToken);
        mResumeTimer.Arm(mLoop.Now() + kAcceptPause);
      }
      return;
    }
    mCallback(fd);
  }
}

} // namespace bamboograde::connection::http
