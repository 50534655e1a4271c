#include "request/ledger.h"

#include "common/hash.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace bamboograde::request {

using common::json;

namespace {

constexpr char kTicketVersion[] = "1";
constexpr size_t kSignatureDigits = 24;

std::vector<std::string> SplitDots(const std::string& aText)
{
  std::vector<std::string> parts(1);
  for (char c : aText) {
    if (c == '.') {
      parts.emplace_back();
    } else {
      parts.back().push_back(c);
    }
  }
  return parts;
}

const char* StateName(ledger_state aState)
{
  return aState == ledger_state::kRan ? "ran" : "unknown";
}

json EncodeResponse(const connection::http_response& aResponse)
{
  json headers = json::array();
  for (const connection::http_header& header : aResponse.headers) {
    headers.push_back(json::array({ header.name, header.value }));
  }
  return { { "status", aResponse.status },
           { "headers", std::move(headers) },
           { "body", aResponse.body } };
}

connection::http_response DecodeResponse(const json& aValue)
{
  connection::http_response response;
  response.status = int(common::GetNumber(aValue, "status", 200));
  response.body = common::GetString(aValue, "body");
  for (const json& item : common::GetArray(aValue, "headers")) {
    if (item.is_array() && item.size() == 2 && item[0].is_string() && item[1].is_string()) {
      response.headers.push_back({ item[0].get<std::string>(), item[1].get<std::string>() });
    }
  }
  return response;
}

bool Overlaps(const version::slice_range& aLeft, const version::slice_range& aRight)
{
  return aLeft.first <= aRight.last && aRight.first <= aLeft.last;
}

} // namespace

ledger::ledger(ledger_settings aSettings, std::string aSecret)
  : mSettings(aSettings)
  , mSecret(std::move(aSecret))
{
}

void ledger::Cover(const version::owned_slice& aSlice, common::boot_time aNow)
{
  for (const coverage& known : mCoverage) {
    if (known.range == aSlice.range && known.epoch == aSlice.epoch) {
      return;
    }
  }
  mCoverage.push_back({ aSlice.range, aSlice.epoch, common::microseconds(0), aNow });
}

std::string ledger::Issue(const version::owned_slice& aSlice, common::key_hash aKey,
                          common::boot_time aNow, uint64_t aNonce)
{
  std::string text = std::string(kTicketVersion) + "." + common::ToHex(aKey.Value()) + "." +
                     std::to_string(aSlice.epoch.Value()) + "." +
                     std::to_string(common::ToMicros(aNow)) + "." + common::ToHex(aNonce);
  return text + "." + common::Sign(mSecret, text, kSignatureDigits);
}

bool ledger::Parse(const std::string& aTicket, ticket_fields* aFields) const
{
  auto parts = SplitDots(aTicket);
  if (parts.size() != 6 || parts[0] != kTicketVersion) {
    return false;
  }
  std::string text = aTicket.substr(0, aTicket.rfind('.'));
  uint64_t key = 0;
  uint64_t epoch = 0;
  const char* epochEnd = parts[2].data() + parts[2].size();
  const char* issuedEnd = parts[3].data() + parts[3].size();
  bool ok = common::Sign(mSecret, text, kSignatureDigits) == parts[5] &&
            common::FromHex(parts[1], &key) &&
            std::from_chars(parts[2].data(), epochEnd, epoch).ptr == epochEnd &&
            std::from_chars(parts[3].data(), issuedEnd, aFields->issuedUs).ptr == issuedEnd;
  aFields->key = common::key_hash(key);
  aFields->epoch = common::slice_epoch(epoch);
  return ok;
}

const ledger::coverage* ledger::FindCoverage(const ticket_fields& aFields) const
{
  for (const coverage& known : mCoverage) {
    if (known.epoch == aFields.epoch && known.range.Contains(aFields.key)) {
      return &known;
    }
  }
  return nullptr;
}

ledger_decision ledger::Check(const std::string& aTicket, common::key_hash aKey,
                              common::boot_time aNow)
{
  ticket_fields fields;
  if (!Parse(aTicket, &fields) || fields.key != aKey) {
    return { refusal_reason::kTicketInvalid, nullptr };
  }
  const coverage* covering = FindCoverage(fields);
  if (covering == nullptr) {
    return { refusal_reason::kTicketUndecided, nullptr };
  }
  common::boot_time issued = common::FromMicros(fields.issuedUs) + covering->clockOffset;
  if (issued + mSettings.retention <= aNow) {
    return { refusal_reason::kTicketExpired, nullptr };
  }
  auto found = mRecords.find(aTicket);
  if (found == mRecords.end()) {
    return {};
  }
  switch (found->second.state) {
    case ledger_state::kRan:
      return { refusal_reason::kNone, &found->second.response };
    case ledger_state::kUnknown:
      return { refusal_reason::kTicketUndecided, nullptr };
    default:
      return { refusal_reason::kDuplicateRunning, nullptr };
  }
}

ledger::record& ledger::Insert(const std::string& aTicket, common::key_hash aKey,
                               common::boot_time aExpiresAt)
{
  record& entry = mRecords[aTicket];
  entry.ticket = aTicket;
  entry.key = aKey;
  entry.expiresAt = aExpiresAt;
  if (!entry.is_linked()) {
    mInsertionOrder.push_back(entry);
  }
  return entry;
}

void ledger::Start(const std::string& aTicket, common::key_hash aKey, common::boot_time aNow)
{
  // The ticket was issued before now, so the record is kept until after the ticket has expired.
  Insert(aTicket, aKey, aNow + mSettings.retention).state = ledger_state::kRunning;
}

void ledger::Forget(const std::string& aTicket)
{
  mRecords.erase(aTicket);
}

void ledger::FinishRan(const std::string& aTicket, const connection::http_response& aResponse)
{
  auto found = mRecords.find(aTicket);
  if (found == mRecords.end()) {
    return;
  }
  found->second.state = ledger_state::kRan;
  found->second.response = aResponse;
  if (aResponse.body.size() > mSettings.maxResponseBytes) {
    found->second.response.body.clear();
    found->second.response.headers.push_back({ "Bamboograde-Answer", "not-kept" });
  }
}

void ledger::FinishUnknown(const std::string& aTicket)
{
  auto found = mRecords.find(aTicket);
  if (found != mRecords.end()) {
    found->second.state = ledger_state::kUnknown;
  }
}

void ledger::Expire(common::boot_time aNow)
{
  while (!mInsertionOrder.empty() && mInsertionOrder.front().expiresAt <= aNow) {
    mRecords.erase(mInsertionOrder.front().ticket);
  }
}

json ledger::Export(const version::slice_range& aRange, common::boot_time aNow) const
{
  json epochs = json::array();
  for (const coverage& known : mCoverage) {
    if (Overlaps(known.range, aRange)) {
      // With the present reading of the issuer's clock, the receiver can compute its offset to it.
      int64_t issuerNowUs = common::ToMicros(aNow - known.clockOffset);
      epochs.push_back({ { "first", common::ToHex(known.range.first.Value()) },
                         { "last", common::ToHex(known.range.last.Value()) },
                         { "epoch", known.epoch.Value() },
                         { "clock_us", uint64_t(issuerNowUs) } });
    }
  }
  json records = json::array();
  for (const auto& [ticket, entry] : mRecords) {
    if (aRange.Contains(entry.key) && entry.expiresAt > aNow) {
      records.push_back({ { "ticket", ticket },
                          { "key", common::ToHex(entry.key.Value()) },
                          { "state", StateName(entry.state) },
                          { "expires_in_us", uint64_t((entry.expiresAt - aNow).count()) },
                          { "answer", EncodeResponse(entry.response) } });
    }
  }
  return { { "epochs", std::move(epochs) }, { "records", std::move(records) } };
}

void ledger::Import(const json& aRecords, common::boot_time aNow)
{
  for (const json& item : common::GetArray(aRecords, "epochs")) {
    uint64_t first = 0;
    uint64_t last = 0;
    if (!common::FromHex(common::GetString(item, "first"), &first) ||
        !common::FromHex(common::GetString(item, "last"), &last)) {
      continue;
    }
    auto issuerNow = common::FromMicros(int64_t(common::GetNumber(item, "clock_us")));
    mCoverage.push_back({ { common::key_hash(first), common::key_hash(last) },
                          common::slice_epoch(common::GetNumber(item, "epoch")),
                          aNow - issuerNow,
                          aNow });
  }
  for (const json& item : common::GetArray(aRecords, "records")) {
    uint64_t key = 0;
    common::FromHex(common::GetString(item, "key"), &key);
    auto expiresIn = common::microseconds(int64_t(common::GetNumber(item, "expires_in_us")));
    record& entry =
      Insert(common::GetString(item, "ticket"), common::key_hash(key), aNow + expiresIn);
    bool ran = common::GetString(item, "state") == "ran";
    entry.state = ran ? ledger_state::kRan : ledger_state::kUnknown;
    entry.response = DecodeResponse(item.value("answer", json()));
  }
}

void ledger::Drop(const version::slice_range& aRange)
{
  std::erase_if(mCoverage, [&](const coverage& aKnown) { return Overlaps(aKnown.range, aRange); });
  std::erase_if(mRecords, [&](const auto& aEntry) { return aRange.Contains(aEntry.second.key); });
}

} // namespace bamboograde::request
