#include "load/tally.h"

#include <sstream>

namespace bamboograde::load {

namespace {

std::string Line(const std::string& aName, uint64_t aValue)
{
  return aName + "=" + std::to_string(aValue) + "\n";
}

} // namespace

void tally::Merge(const tally& aOther)
{
  sent += aOther.sent;
  served += aOther.served;
  replayed += aOther.replayed;
  refused += aOther.refused;
  wrong += aOther.wrong;
  unowned += aOther.unowned;
  lost += aOther.lost;
  untraced += aOther.untraced;
  for (const auto& [key, count] : aOther.refusals) {
    refusals[key] += count;
  }
  refusedIds.insert(aOther.refusedIds.begin(), aOther.refusedIds.end());
  latency.Merge(aOther.latency);
}

std::string tally::Format(double aSeconds) const
{
  std::string text = Line("sent", sent) + Line("served", served) + Line("replayed", replayed) +
                     Line("refused", refused) + Line("wrong", wrong) + Line("unowned", unowned) +
                     Line("lost", lost) + Line("untraced", untraced);
  text += Line("served_per_s", uint64_t(double(served) / aSeconds));
  for (double percent : { 50.0, 90.0, 99.0, 99.9 }) {
    std::string name = percent == 99.9 ? "p99_9" : "p" + std::to_string(int(percent));
    text += Line(name + "_us", uint64_t(latency.Percentile(percent).count()));
  }
  text += Line("max_us", uint64_t(latency.Max().count()));
  std::ostringstream lines;
  for (const auto& [key, count] : refusals) {
    lines << "refusal reason=" << key.reason << " row=" << key.row << " count=" << count << "\n";
  }
  for (const auto& [reason, id] : refusedIds) {
    lines << "refused_id reason=" << reason << " id=" << id << "\n";
  }
  return text + lines.str();
}

} // namespace bamboograde::load
