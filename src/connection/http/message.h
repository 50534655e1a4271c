// Heads of HTTP/1.1 messages and the rules for their framing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboograde::connection::http {

struct header
{
  std::string name;
  std::string value;
};

// Headers in the order of the wire. Names compare without regard to case.
class header_list
{
public:
  void Add(std::string aName, std::string aValue);
  // Replaces every header of that name.
  void Set(std::string_view aName, std::string aValue);
  void Remove(std::string_view aName);
  // Null when absent; the first when there are several.
  const std::string* Find(std::string_view aName) const;
  size_t Count(std::string_view aName) const;
  const std::vector<header>& Items() const { return mItems; }
  std::vector<header>& Items() { return mItems; }

private:
  std::vector<header> mItems;
};

// Compares ASCII text without regard to case.
bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);
// Whether a comma-separated header value holds aToken.
bool HasToken(std::string_view aValue, std::string_view aToken);

// How the end of a body is found.
enum class body_framing
{
  kNone,
  kLength,
  kChunked,
  // The body ends with its connection; responses only.
  kUntilClose,
};

struct body_length
{
  body_framing framing = body_framing::kNone;
  // Bytes, for kLength.
  uint64_t length = 0;
};

struct request_head
{
  std::string method;
  std::string target;
  header_list headers;
  body_length body;
  bool keepAlive = true;
  bool expectsContinue = false;
};

struct response_head
{
  int status = 0;
  header_list headers;
  body_length body;
  bool keepAlive = true;
};

// The standard reason phrase of a status.
std::string_view ReasonPhrase(int aStatus);

// Serializes a head, with the framing headers that aHead.body asks for. Headers that concern one
// connection only must have been removed.
std::string SerializeRequest(const request_head& aHead);
// aClose: announces that the connection ends after this response.
std::string SerializeResponse(const response_head& aHead, bool aClose);
// One chunk of a chunked body; aBytes must not be empty.
void AppendChunk(std::string* aOutput, std::string_view aBytes);
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Removes the headers that concern one connection only, among them those that Connection names.
void RemoveHopHeaders(header_list* aHeaders);

} // namespace bamboograde::connection::http
