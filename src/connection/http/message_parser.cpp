#include "connection/http/message_parser.h"

#include <boost/asio/buffer.hpp>
#include <limits>

namespace bamboograde::connection::http {

namespace beast = boost::beast;
using beast_code = beast::error_code;

namespace {

constexpr std::string_view kLineEnd = "\r\n";

std::string_view View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

// Common part of the request and response parsers. Beast checks the syntax; this class stores the
// head, checks the framing and enforces the body limit.
template<bool isRequest, typename head_type>
class parser_base : public beast::http::basic_parser<isRequest>
{
public:
  explicit parser_base(const parse_limits& aLimits)
    : mHeaderLimit(aLimits.maxHeaderBytes)
    , mBodyLimit(aLimits.maxBodyBytes)
  {
    this->eager(true);
    this->header_limit(aLimits.maxHeaderBytes);
    // The limit is enforced in on_body_init_impl() and on_body_impl() instead, because Beast takes
    // an absent limit as lower than any length.
    this->body_limit(std::numeric_limits<uint64_t>::max());
  }

  parse_status Feed(std::string_view aBytes, message_sink& aSink, size_t* aUsed)
  {
    mSink = &aSink;
    *aUsed = 0;
    while (*aUsed < aBytes.size() && !this->is_done()) {
      beast_code code;
      mInput = aBytes.substr(*aUsed);
      size_t used = this->put(boost::asio::const_buffer(mInput.data(), mInput.size()), code);
      *aUsed += used;
      if (code == beast::http::error::need_more) {
        return this->is_done() ? parse_status::kComplete : IncompleteStatus(aBytes.size() - *aUsed);
      }
      if (code) {
        return ToParseStatus(code);
      }
      if (used == 0) {
        break;
      }
    }
    return this->is_done() ? parse_status::kComplete : parse_status::kNeedMore;
  }

  head_type mHead;

protected:
  void on_field_impl(beast::http::field, beast::string_view aName, beast::string_view aValue,
                     beast_code& aCode) override
  {
    if (IsFolded(aName)) {
      aCode = beast::http::error::bad_obs_fold;
      return;
    }
    mHead.headers.Add(std::string(View(aName)), std::string(View(aValue)));
  }

  void on_header_impl(beast_code& aCode) override
  {
    if (!CheckFraming()) {
      aCode = beast::http::error::bad_transfer_encoding;
      return;
    }
    mHead.keepAlive = this->keep_alive();
    SetBodyFraming();
    OnHeadParsed();
    mSink->OnHead();
  }

  void on_body_init_impl(const boost::optional<uint64_t>& aLength, beast_code& aCode) override
  {
    if (mBodyLimit > 0 && aLength.has_value() && *aLength > mBodyLimit) {
      aCode = beast::http::error::body_limit;
    }
  }

  size_t on_body_impl(beast::string_view aBody, beast_code& aCode) override
  {
    mBodyBytes += aBody.size();
    if (mBodyLimit > 0 && mBodyBytes > mBodyLimit) {
      aCode = beast::http::error::body_limit;
      return 0;
    }
    mSink->OnBody(View(aBody));
    return aBody.size();
  }

  void on_chunk_header_impl(uint64_t, beast::string_view, beast_code&) override {}

  size_t on_chunk_body_impl(uint64_t, beast::string_view aBody, beast_code& aCode) override
  {
    return on_body_impl(aBody, aCode);
  }

  void on_finish_impl(beast_code&) override {}

  virtual void OnHeadParsed() {}

private:
  // Whether the line of the field continues on the next one (RFC 9112, section 5.2). Beast joins
  // such lines; a recipient that does not would find other fields, and perhaps another end of the
  // message. aName: view into the input.
  bool IsFolded(beast::string_view aName) const
  {
    std::string_view rest = mInput.substr(size_t(aName.data() - mInput.data()));
    size_t next = rest.find(kLineEnd) + kLineEnd.size();
    return rest[next] == ' ' || rest[next] == '\t';
  }

  // Rejects repeated framing headers and codings other than chunked: another parser could find a
  // different end of the message, which allows request smuggling.
  bool CheckFraming() const
  {
    const std::string* coding = mHead.headers.Find("Transfer-Encoding");
    bool codingOk = coding == nullptr || EqualsIgnoreCase(*coding, "chunked");
    return codingOk && mHead.headers.Count("Content-Length") <= 1 &&
           mHead.headers.Count("Transfer-Encoding") <= 1;
  }

  void SetBodyFraming()
  {
    if (this->chunked()) {
      mHead.body.framing = body_framing::kChunked;
    } else if (auto length = this->content_length(); length.has_value()) {
      mHead.body = { body_framing::kLength, *length };
    } else if (!isRequest && this->need_eof()) {
      mHead.body.framing = body_framing::kUntilClose;
    }
  }

  // Unused bytes are the beginning of the head or, after it, of a framing line of a chunked body.
  parse_status IncompleteStatus(size_t aUnused) const
  {
    if (aUnused <= mHeaderLimit) {
      return parse_status::kNeedMore;
    }
    return this->is_header_done() ? parse_status::kMalformed : parse_status::kHeaderTooLarge;
  }

  static parse_status ToParseStatus(const beast_code& aCode)
  {
    if (aCode == beast::http::error::header_limit) {
      return parse_status::kHeaderTooLarge;
    }
    if (aCode == beast::http::error::body_limit) {
      return parse_status::kBodyTooLarge;
    }
    return parse_status::kMalformed;
  }

  uint32_t mHeaderLimit;
  uint64_t mBodyLimit;
  uint64_t mBodyBytes = 0;
  message_sink* mSink = nullptr;
  // The input that is being parsed.
  std::string_view mInput;
};

} // namespace

class request_parser::implementation : public parser_base<true, request_head>
{
public:
  using parser_base::parser_base;

protected:
  void on_request_impl(beast::http::verb, beast::string_view aMethod, beast::string_view aTarget,
                       int, beast_code&) override
  {
    mHead.method = std::string(View(aMethod));
    mHead.target = std::string(View(aTarget));
  }
  void on_response_impl(int, beast::string_view, int, beast_code&) override {}
  void OnHeadParsed() override
  {
    const std::string* expectation = mHead.headers.Find("Expect");
    mHead.expectsContinue =
      expectation != nullptr && EqualsIgnoreCase(*expectation, "100-continue");
  }
};

request_parser::request_parser(const parse_limits& aLimits)
  : mImplementation(std::make_unique<implementation>(aLimits))
{
}

request_parser::~request_parser() = default;

parse_status request_parser::Feed(std::string_view aBytes, message_sink& aSink, size_t* aUsed)
{
  return mImplementation->Feed(aBytes, aSink, aUsed);
}

request_head& request_parser::Head()
{
  return mImplementation->mHead;
}

class response_parser::implementation : public parser_base<false, response_head>
{
public:
  using parser_base::parser_base;

protected:
  void on_request_impl(beast::http::verb, beast::string_view, beast::string_view, int,
                       beast_code&) override
  {
  }
  void on_response_impl(int aStatus, beast::string_view, int, beast_code& aCode) override
  {
    if (!IsDefinedStatus(aStatus)) {
      aCode = beast::http::error::bad_status;
    }
    mHead.status = aStatus;
  }
};

response_parser::response_parser(const parse_limits& aLimits, bool aToHeadRequest)
  : mImplementation(std::make_unique<implementation>(aLimits))
{
  mImplementation->skip(aToHeadRequest);
}

response_parser::~response_parser() = default;

parse_status response_parser::Feed(std::string_view aBytes, message_sink& aSink, size_t* aUsed)
{
  return mImplementation->Feed(aBytes, aSink, aUsed);
}

bool response_parser::CompleteAtEof()
{
  if (!mImplementation->is_header_done()) {
    return false;
  }
  beast_code code;
  mImplementation->put_eof(code);
  return !code && mImplementation->is_done();
}

bool response_parser::HeadComplete() const
{
  return mImplementation->is_header_done();
}

response_head& response_parser::Head()
{
  return mImplementation->mHead;
}

} // namespace bamboograde::connection::http
