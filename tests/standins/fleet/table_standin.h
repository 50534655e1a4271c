// A stand-in for the platform's table service: rows with versions, conditional transactions and a
// feed.
#pragma once

#include "connection/http/server_connection.h"
#include "process/sidecar/upstream_registry.h"

#include <deque>

namespace bamboograde::tests {

class table_standin : public connection::http::exchange_handler
{
public:
  explicit table_standin(connection::http::event_loop& aLoop);
  common::result<void> Listen(const common::endpoint& aAddress)
  {
    return mListener.Listen(aAddress);
  }

  // Writes as the operator does.
  void Put(const std::string& aTable, const std::string& aKey, const common::json& aValue);
  // While down, every call is answered with 503.
  void SetDown(bool aDown) { mDown = aDown; }
  // The next transactions are performed, but not answered.
  void LoseAnswers(unsigned aCount) { mLostAnswers = aCount; }
  // Feeds from earlier versions are answered with 410.
  void DropHistory() { mHistoryFrom = mVersion; }
  // Nobody hears of the feeds that wait now any more; their connections stay open.
  void SilenceFeeds() { mSilenced.swap(mFeeds); }
  size_t WaitingFeeds() const { return mFeeds.size(); }

  connection::http::caller_limits Limits() const override { return {}; }
  void OnRequest(const connection::http::server_exchange_ptr& aExchange) override;

private:
  struct stored
  {
    std::string value;
    uint64_t version = 0;
  };
  struct waiting_feed
  {
    connection::http::server_exchange_ptr exchange;
    std::string table;
    uint64_t after = 0;
    common::boot_time until;
  };

  void OnTransaction(const connection::http::server_exchange_ptr& aExchange);
  common::json Rows(const std::string& aTable, uint64_t aAfter, const std::string& aFrom) const;
  void AnswerFeeds();

  connection::http::event_loop& mLoop;
  connection::http::tcp_listener mListener;
  connection::http::loop_timer mTimer;
  uint64_t mVersion = 1;
  uint64_t mHistoryFrom = 0;
  bool mDown = false;
  unsigned mLostAnswers = 0;
  std::map<std::pair<std::string, std::string>, stored> mRows;
  std::deque<waiting_feed> mFeeds;
  std::deque<waiting_feed> mSilenced;
};

} // namespace bamboograde::tests
