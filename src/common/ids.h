// Strong types for identifiers, so that one kind of id can not be passed where another is meant.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bamboograde::common {

// An identifier held as text. Two identifiers of different tags never compare or convert.
template<typename tag>
class text_id
{
public:
  text_id() = default;
  explicit text_id(std::string aValue)
    : mValue(std::move(aValue))
  {
  }
  const std::string& Str() const { return mValue; }
  bool Empty() const { return mValue.empty(); }
  auto operator<=>(const text_id&) const = default;

private:
  std::string mValue;
};

// An identifier or version held as an unsigned number. Zero means "none".
template<typename tag>
class number_id
{
public:
  constexpr number_id() = default;
  constexpr explicit number_id(uint64_t aValue)
    : mValue(aValue)
  {
  }
  constexpr uint64_t Value() const { return mValue; }
  constexpr number_id Next() const { return number_id(mValue + 1); }
  auto operator<=>(const number_id&) const = default;

private:
  uint64_t mValue = 0;
};

using service_name = text_id<struct service_name_tag>;
using zone_name = text_id<struct zone_name_tag>;
using caller_class = text_id<struct caller_class_tag>;
// Identifies one registration of a daemon as an owner. A daemon gets a new id with each
// registration.
using session_id = text_id<struct session_id_tag>;
// Identifies one start of a daemon process.
using boot_id = text_id<struct boot_id_tag>;
// "IP:PORT".
using endpoint = text_id<struct endpoint_tag>;
using request_id = text_id<struct request_id_tag>;
// Identifies one forward of a request from an entry daemon to an owner daemon.
using attempt_id = text_id<struct attempt_id_tag>;
using operation_id = text_id<struct operation_id_tag>;
using row_id = text_id<struct row_id_tag>;

// Identifies one crash of an upstream, on all daemons.
using crash_id = number_id<struct crash_id_tag>;
// Position of a key in the 64-bit hash space.
using key_hash = number_id<struct key_hash_tag>;
// Fencing token of a slice; it rises with every change of owner.
using slice_epoch = number_id<struct slice_epoch_tag>;
// Version of the operators' table.
using table_version = number_id<struct table_version_tag>;
// Number of times that the platform's table service has returned from an older copy of its rows; 0
// when it does not say.
using store_era = number_id<struct store_era_tag>;

// Version that the platform's table service gives to a row. Number zero: the row does not exist.
//
// After a return from an older copy the table service gives out numbers again, so a version is
// compared by its era first.
class row_version
{
public:
  constexpr row_version() = default;
  constexpr explicit row_version(uint64_t aNumber)
    : mNumber(aNumber)
  {
  }
  constexpr row_version(store_era aEra, uint64_t aNumber)
    : mEra(aEra)
    , mNumber(aNumber)
  {
  }
  constexpr store_era Era() const { return mEra; }
  constexpr uint64_t Value() const { return mNumber; }
  constexpr row_version Next() const { return { mEra, mNumber + 1 }; }
  auto operator<=>(const row_version&) const = default;

private:
  store_era mEra;
  uint64_t mNumber = 0;
};

// Hashes any id for unordered containers.
struct id_hash
{
  template<typename tag>
  size_t operator()(const text_id<tag>& aId) const
  {
    return std::hash<std::string>()(aId.Str());
  }
  template<typename tag>
  size_t operator()(const number_id<tag>& aId) const
  {
    return std::hash<uint64_t>()(aId.Value());
  }
};

} // namespace bamboograde::common
