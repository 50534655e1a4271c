// A caller that writes chosen bytes on one connection and keeps all bytes that it receives.
#pragma once

#include "connection/http/tcp_stream.h"

namespace bamboograde::tests {

class raw_caller : private connection::http::stream_owner
{
public:
  raw_caller(connection::http::event_loop& aLoop, const common::endpoint& aDaemon)
    : mStream(connection::http::tcp_stream::Connect(aLoop, *this, aDaemon))
  {
  }
  ~raw_caller() override { mStream->Close(); }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;

  void Write(std::string_view aBytes) { mStream->Write(aBytes); }
  size_t UnsentBytes() const { return mStream->PendingBytes(); }
  const std::string& Received() const { return mStream->Input(); }
  bool Ended() const { return mEnded; }

private:
  // stream_owner
  void OnInput() override {}
  void OnEnd(connection::http::stream_end) override { mEnded = true; }

  connection::http::tcp_stream_ptr mStream;
  bool mEnded = false;
};

} // namespace bamboograde::tests
