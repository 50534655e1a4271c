#include "connection/http/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <spdlog/fmt/fmt.h>

namespace bamboograde::connection::http {

namespace {

constexpr std::array<std::string_view, 8> kHopByHopHeaders = {
  "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
  "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"
};

char Lower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? char(aChar + ('a' - 'A')) : aChar;
}

std::string_view Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

void AppendHeaders(std::string* aText, const header_list& aHeaders, const body_length& aBody)
{
  for (const header& item : aHeaders.Items()) {
    aText->append(item.name).append(": ").append(item.value).append("\r\n");
  }
  if (aBody.framing == body_framing::kLength) {
    fmt::format_to(std::back_inserter(*aText), "Content-Length: {}\r\n", aBody.length);
  } else if (aBody.framing == body_framing::kChunked) {
    aText->append("Transfer-Encoding: chunked\r\n");
  }
}

} // namespace

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(), aLeft.end(), aRight.begin(),
                    [](char aOne, char aTwo) { return Lower(aOne) == Lower(aTwo); });
}

bool HasToken(std::string_view aValue, std::string_view aToken)
{
  while (!aValue.empty()) {
    size_t comma = std::min(aValue.find(','), aValue.size());
    if (EqualsIgnoreCase(Trim(aValue.substr(0, comma)), aToken)) {
      return true;
    }
    aValue.remove_prefix(std::min(comma + 1, aValue.size()));
  }
  return false;
}

void header_list::Add(std::string aName, std::string aValue)
{
  mItems.push_back({ std::move(aName), std::move(aValue) });
}

void header_list::Set(std::string_view aName, std::string aValue)
{
  Remove(aName);
  Add(std::string(aName), std::move(aValue));
}

void header_list::Remove(std::string_view aName)
{
  std::erase_if(mItems,
                [aName](const header& aItem) { return EqualsIgnoreCase(aItem.name, aName); });
}

const std::string* header_list::Find(std::string_view aName) const
{
  for (const header& item : mItems) {
    if (EqualsIgnoreCase(item.name, aName)) {
      return &item.value;
    }
  }
  return nullptr;
}

size_t header_list::Count(std::string_view aName) const
{
  return size_t(std::count_if(mItems.begin(), mItems.end(), [aName](const header& aItem) {
    return EqualsIgnoreCase(aItem.name, aName);
  }));
}

std::string_view ReasonPhrase(int aStatus)
{
  auto phrase =
    boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(unsigned(aStatus)));
  return { phrase.data(), phrase.size() };
}

std::string SerializeRequest(const request_head& aHead)
{
  std::string text;
  text.reserve(512);
  text.append(aHead.method).append(" ").append(aHead.target).append(" HTTP/1.1\r\n");
  AppendHeaders(&text, aHead.headers, aHead.body);
  return text.append("\r\n");
}

std::string SerializeResponse(const response_head& aHead, bool aClose)
{
  std::string text;
  text.reserve(512);
  fmt::format_to(std::back_inserter(text), "HTTP/1.1 {} {}\r\n", aHead.status,
                 ReasonPhrase(aHead.status));
  AppendHeaders(&text, aHead.headers, aHead.body);
  if (aClose) {
    text.append("Connection: close\r\n");
  }
  return text.append("\r\n");
}

void AppendChunk(std::string* aOutput, std::string_view aBytes)
{
  fmt::format_to(std::back_inserter(*aOutput), "{:x}\r\n", aBytes.size());
  aOutput->append(aBytes).append("\r\n");
}

void RemoveHopByHopHeaders(header_list* aHeaders)
{
  std::string connectionOptions;
  for (const header& item : aHeaders->Items()) {
    if (EqualsIgnoreCase(item.name, "Connection")) {
      connectionOptions.append(item.value).append(",");
    }
  }
  std::erase_if(aHeaders->Items(), [&connectionOptions](const header& aItem) {
    bool isHopByHop =
      std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                  [&aItem](std::string_view aName) { return EqualsIgnoreCase(aItem.name, aName); });
    return isHopByHop || (!connectionOptions.empty() && HasToken(connectionOptions, aItem.name));
  });
}

} // namespace bamboograde::connection::http
