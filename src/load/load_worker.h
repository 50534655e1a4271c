// One thread of the load tool. Sends its share of an open-loop load and checks every response.
#pragma once

#include "connection/http_client.h"
#include "connection/timer.h"
#include "load/key_source.h"
#include "load/tally.h"

#include <cstdio>
#include <memory>
#include <thread>

namespace bamboograde::load {

struct load_options
{
  // Caller listeners; each request goes to one of them at random.
  std::vector<common::endpoint> entries;
  std::vector<std::string> services;
  std::vector<std::string> classes;
  key_options keys;
  double ratePerSecond = 100;
  common::milliseconds duration{ 5000 };
  common::milliseconds timeout{ 5000 };
  // Share of requests that are non-idempotent and carry a ticket.
  double nonIdempotentShare = 0;
  // Maximum retries of a non-idempotent request without a definite response, with the same ticket.
  unsigned retries = 2;
  unsigned workUs = 0;
  size_t bodyBytes = 0;
  // The entries are upstreams: measures the baseline without daemons.
  bool direct = false;
  uint64_t seed = 1;
};

class load_worker
{
public:
  // aHistory: receives one JSON line per finished request; may be null.
  load_worker(const load_options& aOptions, size_t aIndex, size_t aWorkers, FILE* aHistory);
  void Start();
  void Join();
  const tally& Result() const { return mTally; }

private:
  // One generated request, shared by all its retries.
  struct load_request
    : public boost::intrusive_ref_counter<load_request, boost::thread_unsafe_counter>
  {
    std::string id;
    std::string nonce;
    std::string service;
    std::string callerClass;
    std::string key;
    std::string ticket;
    size_t entry = 0;
    bool nonIdempotent = false;
    unsigned attempts = 0;
    common::boot_time due;
  };
  using load_request_ptr = boost::intrusive_ptr<load_request>;

  void Run();
  void SendDue();
  load_request_ptr MakeLoadRequest(common::boot_time aDue);
  connection::http_request MakeHttpRequest(const load_request& aRequest) const;
  void RequestTicket(const load_request_ptr& aRequest);
  void Send(const load_request_ptr& aRequest);
  void OnResponse(const load_request_ptr& aRequest, const connection::http_result& aResult);
  void CountRefusal(const load_request& aRequest, const connection::http_response& aResponse);
  bool MatchesRequest(const load_request& aRequest,
                      const connection::http_response& aResponse) const;
  // aReason: reason of a refusal; empty for other outcomes.
  void Finish(const load_request& aRequest, const char* aOutcome, const std::string& aReason = "");

  load_options mOptions;
  size_t mIndex;
  double mRatePerSecond;
  FILE* mHistory;
  common::system_clock_source mClock;
  common::seeded_random mRandom;
  key_source mKeys;
  std::thread mThread;
  GMainLoop* mLoop = nullptr;
  std::unique_ptr<connection::http_client> mClient;
  connection::timer mSendTimer;
  common::boot_time mStart;
  uint64_t mSent = 0;
  uint64_t mInFlight = 0;
  tally mTally;
};

} // namespace bamboograde::load
