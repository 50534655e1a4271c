#include "soak/soak_traffic.h"

#include <algorithm>

namespace bamboograde::tests {

namespace {

constexpr common::milliseconds kRequestTimeout{ 1500 };
constexpr int kOk = 200;
// Response statuses that mean that the request did not run.
constexpr int kNotRunStatuses[] = { 408, 421, 429, 503 };
constexpr uint64_t kKinds = 3;

const char* PathOf(request_kind aKind)
{
  switch (aKind) {
    case request_kind::kKeyed:
      return "/keyed/x";
    case request_kind::kPlain:
      return "/plain/x";
    case request_kind::kBooking:
      return "/book/x";
  }
  return "";
}

} // namespace

class soak_traffic::soak_request : public connection::http::call_observer
{
public:
  soak_request(soak_traffic& aTraffic, std::string aId, request_kind aKind)
    : mTraffic(aTraffic)
    , id(std::move(aId))
    , kind(aKind)
  {
  }
  void OnCallHead(connection::http::response_head& aHead) override { status = aHead.status; }
  void OnCallBody(std::string_view aBytes) override { body.append(aBytes); }
  void OnCallEnd() override { Finish(); }
  void OnCallFailed(const connection::http::call_error&) override
  {
    status = 0;
    Finish();
  }

private:
  void Finish()
  {
    done = true;
    mTraffic.OnDone(*this);
  }

  soak_traffic& mTraffic;

public:
  const std::string id;
  const request_kind kind;
  connection::http::client_call_ptr call;
  int status = 0;
  std::string body;
  bool done = false;
};

soak_traffic::soak_traffic(fleet_fixture& aFleet, common::random_source& aRandom)
  : mFleet(aFleet)
  , mRandom(aRandom)
  , mClients(aFleet.loop)
{
}

soak_traffic::~soak_traffic() = default;

bool soak_traffic::Idle() const
{
  return std::all_of(mPending.begin(), mPending.end(),
                     [](const auto& aItem) { return aItem->done; });
}

void soak_traffic::Send(size_t aVm)
{
  while (!mPending.empty() && mPending.front()->done) {
    mPending.pop_front();
  }
  auto kind = request_kind(mRandom.Below(kKinds));
  std::string id = "soak-" + std::to_string(++mSent);
  connection::http::request_head head;
  head.method = kind == request_kind::kBooking ? "POST" : "GET";
  head.target = PathOf(kind);
  head.headers.Add("Host", "h.example");
  head.headers.Add("X-Bamboograde-Request-Id", id);
  head.headers.Add("X-Bamboograde-Deadline-Ms", std::to_string(kRequestTimeout.count()));
  if (kind == request_kind::kKeyed) {
    head.headers.Add("X-Bamboograde-Shard-Key",
                     std::to_string(mRandom.Below(version::kKeyPositions)));
  }
  if (kind == request_kind::kBooking) {
    mBookingIds.push_back(id);
  }
  // A unique body, since daemons may take requests with equal bodies for a crash-causing request.
  std::string body = kind == request_kind::kBooking ? id : "";
  auto& pending = mPending.emplace_back(std::make_unique<soak_request>(*this, id, kind));
  pending->call = mClients.Send(mFleet.vms[aVm]->Callers(), head, body, true,
                                mFleet.loop.Now() + kRequestTimeout, pending.get());
}

void soak_traffic::OnDone(const soak_request& aRequest)
{
  bool notRun = std::find(std::begin(kNotRunStatuses), std::end(kNotRunStatuses),
                          aRequest.status) != std::end(kNotRunStatuses);
  if (notRun) {
    mNotRunIds.push_back(aRequest.id);
  }
  if (aRequest.status == kOk) {
    ++mServed;
    if (aRequest.body != "answer to " + aRequest.id) {
      mViolations.push_back(aRequest.id + " got the response \"" + aRequest.body + "\"");
    }
  }
}

void soak_traffic::CheckRuns()
{
  auto runs = [this](const std::string& aId) {
    auto found = mFleet.record.runs.find(aId);
    return found == mFleet.record.runs.end() ? 0U : found->second;
  };
  for (const std::string& id : mNotRunIds) {
    if (runs(id) > 0) {
      mViolations.push_back(id + " got a not-run response, but ran");
    }
  }
  for (const std::string& id : mBookingIds) {
    if (runs(id) > 1) {
      mViolations.push_back(id + " is a booking and ran " + std::to_string(runs(id)) + " times");
    }
  }
}

} // namespace bamboograde::tests
