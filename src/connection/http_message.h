// HTTP messages as plain data, independent of libsoup.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bamboograde::connection {

struct http_header
{
  std::string name;
  std::string value;
};

using header_list = std::vector<http_header>;

struct http_request
{
  std::string method = "GET";
  // "IP:PORT" of the server.
  std::string authority;
  // Path and query.
  std::string target = "/";
  header_list headers;
  std::string body;
  // Uses a new connection instead of a persistent one.
  bool newConnection = false;
};

struct http_response
{
  int status = 0;
  header_list headers;
  std::string body;
};

// Value of the first header with the given case-insensitive name, or empty if there is none.
std::string_view FindHeader(const header_list& aHeaders, std::string_view aName);

} // namespace bamboograde::connection
