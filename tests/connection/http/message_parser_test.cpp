#include "connection/http/message_parser.h"

#include <criterion/criterion.h>

using namespace bamboograde::connection::http;

namespace {

class recording_sink : public message_sink
{
public:
  void OnHead() override { ++heads; }
  void OnBody(std::string_view aBytes) override { body.append(aBytes); }

  int heads = 0;
  std::string body;
};

// Feeds aText in pieces of aStep bytes and feeds unconsumed bytes again, as a connection does.
template<typename parser>
parse_status FeedInSteps(parser& aParser, std::string_view aText, size_t aStep, message_sink& aSink,
                         std::string* aRest)
{
  std::string pending;
  parse_status status = parse_status::kNeedMore;
  for (size_t at = 0; at < aText.size() && status == parse_status::kNeedMore; at += aStep) {
    pending.append(aText.substr(at, aStep));
    size_t used = 0;
    status = aParser.Feed(pending, aSink, &used);
    pending.erase(0, used);
  }
  *aRest = pending;
  return status;
}

parse_status ParseRequest(std::string_view aText, const parse_limits& aLimits = {})
{
  request_parser parser(aLimits);
  recording_sink sink;
  std::string rest;
  return FeedInSteps(parser, aText, aText.size(), sink, &rest);
}

parse_status ParseResponse(std::string_view aText, size_t aStep)
{
  response_parser parser({}, false);
  recording_sink sink;
  std::string rest;
  return FeedInSteps(parser, aText, aStep, sink, &rest);
}

} // namespace

Test(message_parser, parses_a_request_split_at_any_step)
{
  const std::string text =
    "POST /a/b?c=1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n\r\nhello";
  for (size_t step = 1; step <= text.size(); ++step) {
    request_parser parser({});
    recording_sink sink;
    std::string rest;
    cr_assert_eq(FeedInSteps(parser, text, step, sink, &rest), parse_status::kComplete);
    cr_assert_eq(sink.heads, 1);
    cr_assert(sink.body == "hello");
    cr_assert(parser.Head().target == "/a/b?c=1");
    cr_assert(parser.Head().body.framing == body_framing::kLength);
  }
}

Test(message_parser, parses_chunks_split_at_any_step)
{
  const std::string text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                           "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  for (size_t step = 1; step <= text.size(); ++step) {
    request_parser parser({});
    recording_sink sink;
    std::string rest;
    cr_assert_eq(FeedInSteps(parser, text, step, sink, &rest), parse_status::kComplete, "step %zu",
                 step);
    cr_assert(sink.body == "abcde");
  }
}

Test(message_parser, does_not_consume_the_next_request)
{
  request_parser parser({});
  recording_sink sink;
  std::string rest;
  std::string two = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
  cr_assert_eq(FeedInSteps(parser, two, two.size(), sink, &rest), parse_status::kComplete);
  cr_assert(rest == "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
}

// Guards against request smuggling: another parser could find a different end of these requests.
Test(message_parser, rejects_ambiguous_framing)
{
  const char* broken[] = {
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nabc",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
    "POST / HTTP/1.1\r\nHost : h\r\n\r\n",
    "GET / HTTP/1.1\nHost: h\n\n",
    "not http at all\r\n\r\n",
  };
  for (const char* text : broken) {
    cr_assert_eq(ParseRequest(text), parse_status::kMalformed, "%s", text);
  }
}

Test(message_parser, rejects_messages_over_the_limits)
{
  parse_limits limits{ 128, 4 };
  std::string longHeader =
    "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(500, 'x') + "\r\n\r\n";
  cr_assert_eq(ParseRequest(longHeader, limits), parse_status::kHeaderTooLarge);
  cr_assert_eq(ParseRequest("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello", limits),
               parse_status::kBodyTooLarge);
  cr_assert_eq(ParseRequest("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                            limits),
               parse_status::kBodyTooLarge);
  cr_assert_eq(ParseRequest("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nhell", limits),
               parse_status::kComplete);
}

// Unparsed bytes stay in the connection's buffer, so a line without an end must not be waited for.
Test(message_parser, rejects_framing_lines_of_a_body_that_do_not_end)
{
  constexpr size_t kStep = 1000;
  parse_limits limits{ 8000, 0 };
  for (const char* start :
       { "1;extension=", "0\r\nTrailer: ", "3\r\nabc\r\n2;", "00000000000000" }) {
    std::string body = start + std::string(100000, '0');
    recording_sink sink;
    std::string rest;
    response_parser response(limits, false);
    cr_assert_eq(FeedInSteps(response,
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body, kStep,
                             sink, &rest),
                 parse_status::kMalformed, "%s", start);
    request_parser request(limits);
    cr_assert_eq(
      FeedInSteps(request,
                  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body, kStep,
                  sink, &rest),
      parse_status::kMalformed, "%s", start);
  }
}

Test(message_parser, a_response_without_length_ends_with_its_connection)
{
  response_parser parser({}, false);
  recording_sink sink;
  std::string rest;
  std::string text = "HTTP/1.1 200 OK\r\n\r\nsome bytes";
  cr_assert_eq(FeedInSteps(parser, text, 4, sink, &rest), parse_status::kNeedMore);
  cr_assert(parser.Head().body.framing == body_framing::kUntilClose);
  cr_assert(parser.CompleteAtEof());
  cr_assert(sink.body == "some bytes");
}

Test(message_parser, a_truncated_response_is_not_complete)
{
  const char* truncated[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", "HTTP/1.1 200 OK\r\nContent-Le",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"
  };
  for (const char* text : truncated) {
    response_parser parser({}, false);
    recording_sink sink;
    std::string rest;
    cr_assert_eq(FeedInSteps(parser, text, 3, sink, &rest), parse_status::kNeedMore);
    cr_assert_not(parser.CompleteAtEof(), "%s", text);
  }
}

// RFC 9110, section 15: the status is a three-digit integer from 100 to 599.
Test(message_parser, rejects_a_status_that_http_does_not_define)
{
  for (const char* status : { "000", "001", "007", "099", "600", "700", "999", "99", "7", "1000",
                              "-20", "+20", " 20", "2x0", "" }) {
    std::string text = "HTTP/1.1 " + std::string(status) + " Reason\r\nContent-Length: 2\r\n\r\nok";
    for (size_t step : { size_t(1), text.size() }) {
      cr_expect_eq(ParseResponse(text, step), parse_status::kMalformed, "\"%s\"", status);
    }
  }
}

// A status without a registered meaning is that of its class.
Test(message_parser, accepts_any_status_of_the_defined_classes)
{
  for (int status = 100; status < 600; ++status) {
    std::string text =
      "HTTP/1.1 " + std::to_string(status) + " Reason\r\nContent-Length: 0\r\n\r\n";
    response_parser parser({}, false);
    recording_sink sink;
    std::string rest;
    cr_expect_eq(FeedInSteps(parser, text, text.size(), sink, &rest), parse_status::kComplete);
    cr_expect_eq(parser.Head().status, status);
  }
}

// Another parser may take a folded line for a field of its own (RFC 9112, section 5.2).
Test(message_parser, rejects_folded_lines)
{
  const char* folded[] = {
    "X-A: a\r\n X-B: b\r\n",
    "X-A: a\r\n\tX-B: b\r\n",
    "X-A: a\r\n Content-Length: 5\r\n",
    "X-A: a\r\n Transfer-Encoding: chunked\r\n",
    "X-A:\r\n b\r\n",
    "X-A: a\r\n \r\n",
    "X-A: a\r\n b\r\n\tc\r\n",
    "Content-Length:\r\n 0\r\n",
    " X-A: a\r\n",
    "\tX-A: a\r\n",
  };
  for (const std::string fields : folded) {
    std::string response = "HTTP/1.1 200 OK\r\n" + fields + "X-Last: z\r\n\r\n";
    std::string request = "GET / HTTP/1.1\r\n" + fields + "X-Last: z\r\n\r\n";
    for (size_t step : { size_t(1), size_t(1000) }) {
      cr_expect_eq(ParseResponse(response, step), parse_status::kMalformed, "%s", fields.c_str());
      request_parser parser({});
      recording_sink sink;
      std::string rest;
      cr_expect_eq(FeedInSteps(parser, request, step, sink, &rest), parse_status::kMalformed, "%s",
                   fields.c_str());
      cr_expect_eq(sink.heads, 0);
    }
    std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "2\r\nok\r\n0\r\nX-First: a\r\n" +
                          fields + "\r\n";
    cr_expect_eq(ParseResponse(chunked, 1), parse_status::kMalformed, "trailer %s", fields.c_str());
  }
}

// What looks like folding elsewhere is none: blanks in and after values, and a body that begins
// with a blank.
Test(message_parser, accepts_blanks_that_do_not_fold)
{
  const std::string text = "HTTP/1.1 200 OK\r\nX-A:  a b \t\r\nX-B:\r\nContent-Length: 7\r\n\r\n"
                           " \r\n\t\r\n ";
  for (size_t step = 1; step <= text.size(); ++step) {
    response_parser parser({}, false);
    recording_sink sink;
    std::string rest;
    cr_assert_eq(FeedInSteps(parser, text, step, sink, &rest), parse_status::kComplete);
    cr_assert(*parser.Head().headers.Find("X-A") == "a b");
    cr_assert(parser.Head().headers.Find("X-B")->empty());
    cr_assert(sink.body == " \r\n\t\r\n ");
  }
  cr_assert_eq(ParseResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "4\r\n a\r\n\r\n3\r\n\r\n \r\n0\r\nX-T: t\r\n\r\n",
                             1),
               parse_status::kComplete);
}

// RFC 9112, section 5: a field name is a token, directly followed by its colon.
Test(message_parser, rejects_malformed_field_names)
{
  const char* malformed[] = { "X Blank: v", "X-Blank : v", "X\tTab: v",      "X-Tab\t: v",
                              "X\x01: v",   "X\x7f: v",    "X\x1f-Last: v",  "X\x80: v",
                              "X(Y): v",    "X\"Y: v",     "X/Y: v",         ": v",
                              "no colon",   "X-\rY: v",    "X-A: v\rX-B: v", "X-A: v\nX-B: v" };
  for (const std::string line : malformed) {
    for (const char* before : { "", "X-First: a\r\n" }) {
      std::string fields = before + line + "\r\nContent-Length: 2\r\n\r\nok";
      cr_expect_eq(ParseResponse("HTTP/1.1 200 OK\r\n" + fields, 1), parse_status::kMalformed, "%s",
                   line.c_str());
      cr_expect_eq(ParseRequest("POST / HTTP/1.1\r\n" + fields), parse_status::kMalformed, "%s",
                   line.c_str());
    }
  }
}
