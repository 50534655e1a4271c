// Errors as values.
#pragma once

#include <boost/outcome.hpp>
#include <string>

namespace bamboograde::common {

enum class error_code
{
  kInvalidInput,
  kUnavailable,
  kConflict,
  kNotFound,
  // It is not known whether the operation took effect; read the present state before acting on it.
  kUnknownOutcome,
};

struct error
{
  error_code code = error_code::kInvalidInput;
  // A sentence that says what happened and what to do next.
  std::string message;
};

template<typename value>
using result = boost::outcome_v2::unchecked<value, error>;

} // namespace bamboograde::common
