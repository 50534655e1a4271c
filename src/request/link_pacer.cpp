#include "request/link_pacer.h"

#include <algorithm>

namespace bamboograde::request {

namespace {

constexpr double kBytesPerSecondAtOneMbps = 1e6 / 8;

} // namespace

link_pacer::link_pacer(double aLinkMbps)
  : mBytesPerSecond(aLinkMbps * kBytesPerSecondAtOneMbps * kLinkShare)
{
}

uint64_t link_pacer::Open(common::boot_time aUnpacedFrom)
{
  mResponses[++mLastId].unpacedFrom = aUnpacedFrom;
  return mLastId;
}

void link_pacer::Close(uint64_t aResponse)
{
  auto item = mResponses.find(aResponse);
  if (item != mResponses.end()) {
    mWaitingBytes -= item->second.waiting;
    mResponses.erase(item);
    std::erase(mQueue, aResponse);
  }
}

void link_pacer::Add(uint64_t aResponse, size_t aBytes)
{
  response& target = mResponses.at(aResponse);
  if (aBytes > 0 && target.waiting == 0) {
    mQueue.push_back(aResponse);
  }
  target.waiting += aBytes;
  mWaitingBytes += aBytes;
}

std::optional<bulk_part> link_pacer::Next(common::boot_time aNow)
{
  for (auto position = mQueue.begin(); position != mQueue.end(); ++position) {
    const response& candidate = mResponses.at(*position);
    if (aNow >= UnpacedFrom(candidate)) {
      return Take(position, candidate.waiting, aNow);
    }
    if (!candidate.started) {
      return Take(position, kFirstBytes, aNow);
    }
  }
  if (mQueue.empty() || aNow < mPartAt) {
    return std::nullopt;
  }
  return Take(mQueue.begin(), PartBytes(), aNow);
}

bulk_part link_pacer::Take(std::deque<uint64_t>::iterator aPosition, size_t aMaxBytes,
                           common::boot_time aNow)
{
  uint64_t id = *aPosition;
  response& source = mResponses.at(id);
  size_t bytes = std::min(source.waiting, aMaxBytes);
  source.started = true;
  source.waiting -= bytes;
  mWaitingBytes -= bytes;
  if (source.waiting == 0) {
    mQueue.erase(aPosition);
  }
  if (Limited()) {
    auto time = [&](double aShare) {
      return common::microseconds(int64_t(double(bytes) * aShare / mBytesPerSecond * 1e6));
    };
    // A part that is written late shortens the next pause, down to the time that the link needs to
    // send this part.
    mPartAt = std::max(mPartAt + time(1), aNow + time(kLinkShare));
  }
  return { id, bytes };
}

std::optional<common::boot_time> link_pacer::NextAt() const
{
  if (mQueue.empty()) {
    return std::nullopt;
  }
  common::boot_time at = mPartAt;
  for (uint64_t id : mQueue) {
    const response& waiting = mResponses.at(id);
    at = std::min(at, waiting.started ? UnpacedFrom(waiting) : common::boot_time());
  }
  return at;
}

size_t link_pacer::PartBytes() const
{
  double perPart = mBytesPerSecond * std::chrono::duration<double>(kMinPartTime).count();
  return std::max(kMinPartBytes, size_t(perPart));
}

common::boot_time link_pacer::UnpacedFrom(const response& aResponse) const
{
  return Limited() ? std::min(aResponse.unpacedFrom, mUnpacedFrom) : common::boot_time();
}

} // namespace bamboograde::request
