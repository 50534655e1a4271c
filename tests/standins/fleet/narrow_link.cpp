#include "standins/fleet/narrow_link.h"

#include <algorithm>
#include <utility>

namespace bamboograde::tests {

namespace {

// Of one connection, about as much is on its way as the kernel's buffers take.
constexpr size_t kMaxWaitingBytes = size_t(256) * 1024;

} // namespace

class narrow_link::connection_end : public connection::http::stream_owner
{
public:
  explicit connection_end(direction& aDirection)
    : mDirection(aDirection)
  {
  }
  ~connection_end() override { mStream->Close(); }
  connection_end(const connection_end&) = delete;
  connection_end& operator=(const connection_end&) = delete;
  void Open(connection::http::tcp_stream_ptr aStream, connection_end* aOther)
  {
    mStream = std::move(aStream);
    mOther = aOther;
  }
  void OnDelivered(const std::string& aBytes)
  {
    if (aBytes.empty()) {
      mOther->mStream->FinishWriting();
      return;
    }
    mOther->mStream->Write(aBytes);
    mWaitingBytes -= aBytes.size();
    if (mWaitingBytes < kMaxWaitingBytes) {
      mStream->ResumeReading();
    }
  }

  // stream_owner
  void OnInput() override
  {
    mWaitingBytes += mStream->Input().size();
    mDirection.Send(this, std::exchange(mStream->Input(), {}));
    if (mWaitingBytes >= kMaxWaitingBytes) {
      mStream->PauseReading();
    }
  }
  void OnEnd(connection::http::stream_end) override
  {
    mStream->Close();
    mDirection.Send(this, "");
  }

private:
  direction& mDirection;
  connection::http::tcp_stream_ptr mStream;
  connection_end* mOther = nullptr;
  size_t mWaitingBytes = 0;
};

narrow_link::direction::direction(connection::http::event_loop& aLoop, size_t aRate)
  : mLoop(aLoop)
  , mRate(aRate)
  , mTimer(aLoop, [this] { Deliver(); })
{
}

void narrow_link::direction::Send(connection_end* aSender, std::string aBytes)
{
  std::chrono::duration<double> time(double(aBytes.size()) / double(mRate));
  mFreeAt =
    std::max(mFreeAt, mLoop.Now()) + std::chrono::duration_cast<common::boot_time::duration>(time);
  mPieces.push_back({ aSender, std::move(aBytes), mFreeAt });
  mTimer.Arm(mPieces.front().arrivesAt);
}

void narrow_link::direction::Deliver()
{
  while (!mPieces.empty() && mPieces.front().arrivesAt <= mLoop.Now()) {
    piece arrived = std::move(mPieces.front());
    mPieces.pop_front();
    arrived.sender->OnDelivered(arrived.bytes);
  }
  if (!mPieces.empty()) {
    mTimer.Arm(mPieces.front().arrivesAt);
  }
}

narrow_link::narrow_link(connection::http::event_loop& aLoop, size_t aRate)
  : mLoop(aLoop)
  , mInward(aLoop, aRate)
  , mOutward(aLoop, aRate)
{
}

narrow_link::~narrow_link() = default;

common::result<void> narrow_link::Join(const common::endpoint& aFrom, const common::endpoint& aTo)
{
  mListeners.push_back(std::make_unique<connection::http::tcp_listener>(
    mLoop, [this, aTo](int aFd) { Accept(aFd, aTo); }));
  return mListeners.back()->Listen(aFrom);
}

void narrow_link::Accept(int aFd, const common::endpoint& aTo)
{
  using connection::http::tcp_stream;
  auto* outer = mEnds.emplace_back(std::make_unique<connection_end>(mInward)).get();
  auto* inner = mEnds.emplace_back(std::make_unique<connection_end>(mOutward)).get();
  auto accepted = tcp_stream::Adopt(mLoop, *outer, aFd);
  outer->Open(accepted, inner);
  inner->Open(tcp_stream::Connect(mLoop, *inner, aTo), outer);
  accepted->Start();
}

} // namespace bamboograde::tests
