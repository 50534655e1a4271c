// HTTP/1.1 message heads: headers, body framing and serialization.
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

// Headers in the order in which they are sent. Names are case-insensitive.
class header_list
{
public:
  void Add(std::string aName, std::string aValue);
  // Replaces all headers of that name by one.
  void Set(std::string_view aName, std::string aValue);
  void Remove(std::string_view aName);
  // Value of the first header of that name, or null if there is none.
  const std::string* Find(std::string_view aName) const;
  size_t Count(std::string_view aName) const;
  const std::vector<header>& Items() const { return mItems; }
  std::vector<header>& Items() { return mItems; }

private:
  std::vector<header> mItems;
};

// Compares ASCII text case-insensitively.
bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);
// Whether a comma-separated header value contains aToken, compared case-insensitively.
bool HasToken(std::string_view aValue, std::string_view aToken);

// How the end of a body is determined.
enum class body_framing
{
  kNone,
  kLength,
  kChunked,
  // The body ends when the server closes the connection. Only in responses.
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

// Whether the status belongs to one of the classes of HTTP, 1xx to 5xx (RFC 9110, section 15).
constexpr bool IsDefinedStatus(int aStatus)
{
  return aStatus >= 100 && aStatus <= 599;
}

// The standard reason phrase of a status.
std::string_view ReasonPhrase(int aStatus);

// Serializes a head and adds the framing headers for aHead.body. The caller must have removed
// hop-by-hop headers.
std::string SerializeRequest(const request_head& aHead);
// aClose: adds "Connection: close".
std::string SerializeResponse(const response_head& aHead, bool aClose);
// Appends one chunk of a chunked body. aBytes must not be empty, since an empty chunk ends the
// body.
void AppendChunk(std::string* aOutput, std::string_view aBytes);
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Removes hop-by-hop headers, including those listed in Connection, and Content-Length, which is
// added again by SerializeRequest() and SerializeResponse().
void RemoveHopByHopHeaders(header_list* aHeaders);

} // namespace bamboograde::connection::http
