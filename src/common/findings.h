// Validation errors of input, collected with their positions so that all are reported at once.
#pragma once

#include <string>
#include <vector>

namespace bamboograde::common {

// A validation error and its position.
struct finding
{
  // File, row or header in which it was found.
  std::string source;
  // One-based line or row; zero when the finding concerns the whole source.
  int line = 0;
  // Settings key, column or header name.
  std::string key;
  // What is wrong and what is expected, as a sentence.
  std::string message;
};

class findings
{
public:
  void Add(finding aFinding) { mItems.push_back(std::move(aFinding)); }
  bool Empty() const { return mItems.empty(); }
  const std::vector<finding>& Items() const { return mItems; }
  // One finding a line: "source:line: key: message".
  std::string Format() const;

private:
  std::vector<finding> mItems;
};

} // namespace bamboograde::common
