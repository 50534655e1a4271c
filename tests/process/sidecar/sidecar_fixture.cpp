#include "process/sidecar/sidecar_fixture.h"

#include <sstream>

namespace bamboograde::tests {

common::result<version::route_config_ptr> no_config::Decode(const common::json& /*aValue*/) const
{
  return common::error{ common::error_code::kInvalidInput, "there is no configuration here" };
}

request::caller_facts no_headers::ReadCaller(
  const connection::http::header_list& /*aHeaders*/) const
{
  return {};
}

void no_headers::WriteUpstream(const request::upstream_facts& /*aFacts*/,
                               connection::http::header_list* /*aHeaders*/) const
{
}

request::upstream_answer no_headers::ReadAnswer(
  const connection::http::response_head& /*aHead*/) const
{
  return request::upstream_answer::kRan;
}

std::optional<request::upstream_notice> no_headers::ReadNotice(
  const connection::http::header_list&) const
{
  return {};
}

common::request_id no_headers::AnsweredRequest(
  const connection::http::header_list& /*aHeaders*/) const
{
  return {};
}

void no_headers::WriteAnswered(const common::request_id& /*aId*/,
                               connection::http::header_list* /*aHeaders*/) const
{
}

sidecar_fixture::sidecar_fixture(const std::string& aVm)
  : log(aVm, clock)
  , runtime{ settings, loop, clock, random, pool, headers, fleet, log, counters, inFlight }
{
  settings.vm = aVm;
  settings.zone = common::zone_name("zone");
  settings.listen.control = common::endpoint(aVm + ":1");
}

void sidecar_fixture::AddPeer(const std::string& aVm)
{
  version::member peer;
  peer.vm = aVm;
  peer.zone = settings.zone;
  peer.control = common::endpoint(aVm + ":1");
  peer.sequence = 1;
  fleet.ApplyMember(peer);
}

uint64_t sidecar_fixture::Counter(const std::string& aName) const
{
  std::istringstream lines(counters.Render());
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(aName + " ", 0) == 0) {
      return std::stoull(line.substr(aName.size() + 1));
    }
  }
  return 0;
}

} // namespace bamboograde::tests
