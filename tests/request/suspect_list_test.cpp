#include "request/suspect_list.h"

#include "common/random.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace bamboograde;
using common::crash_id;
using common::milliseconds;
using request::suspect_list;

namespace {

constexpr uint64_t kSeeds = 44;
constexpr uint64_t kPopular = 7;
constexpr uint64_t kCrashing = 8;
constexpr milliseconds kContactTime{ 3000 };
const common::boot_time kNow = common::FromMicros(1000000000);

// VMs with one upstream each, which exchange their lists as daemons do.
class suspect_fleet
{
public:
  explicit suspect_fleet(size_t aVms, uint64_t aSeed)
    : mRandom(aSeed)
    , mVms(aVms)
  {
    for (size_t vm = 0; vm < aVms; ++vm) {
      mNames.push_back("vm" + std::to_string(vm));
    }
  }

  // Each VM compares its list with that of a random other one.
  void Gossip()
  {
    for (vm_state& vm : mVms) {
      size_t own = size_t(&vm - mVms.data());
      vm_state& peer = mVms[(own + 1 + mRandom.Below(mVms.size() - 1)) % mVms.size()];
      peer.suspects.Import(vm.suspects.Export(now), now);
      vm.suspects.Import(peer.suspects.Export(now), now);
    }
  }
  void RestartDaemon(size_t aVm)
  {
    mVms[aVm].suspects = suspect_list();
    mVms[aVm].inTouchAt = now + kContactTime;
  }
  bool InTouch(size_t aVm) const { return now >= mVms[aVm].inTouchAt; }
  // A request enters the fleet at a VM and is placed by its daemon. Returns the VM whose upstream
  // runs it, or the number of VMs if it is refused.
  size_t Place(uint64_t aFingerprint, size_t aVm)
  {
    size_t target = mRandom.Below(mVms.size());
    const suspect_list& here = mVms[aVm].suspects;
    if (here.IsRefused(aFingerprint)) {
      auto turn = here.TrialTurn(aFingerprint, now);
      if (!turn.has_value()) {
        return mVms.size();
      }
      std::string name = request::ChooseTrialVm(mNames, aFingerprint, *turn);
      target = size_t(std::find(mNames.begin(), mNames.end(), name) - mNames.begin());
    }
    suspect_list& gate = mVms[target].suspects;
    bool refused = now < mVms[target].backAt ||
                   (gate.IsRefused(aFingerprint) && !gate.TrialTurn(aFingerprint, now).has_value());
    return refused ? mVms.size() : target;
  }
  // The upstream crashes while these requests run there.
  void Crash(size_t aVm, const std::vector<uint64_t>& aFingerprints)
  {
    crash_id crash(aVm * 1000 + ++mVms[aVm].crashes);
    suspect_list& suspects = mVms[aVm].suspects;
    for (uint64_t fingerprint : aFingerprints) {
      if (suspects.IsRefused(fingerprint)) {
        suspects.BeginTrial(fingerprint);
        suspects.EndTrial(fingerprint, true, now);
      }
      suspects.Add(fingerprint, crash, now);
    }
    mVms[aVm].backAt = now + milliseconds(3000);
  }
  void Serve(size_t aVm, uint64_t aFingerprint) { mVms[aVm].suspects.Clear(aFingerprint, now); }
  suspect_list& Suspects(size_t aVm) { return mVms[aVm].suspects; }
  size_t Size() const { return mVms.size(); }

  common::boot_time now = kNow;

private:
  struct vm_state
  {
    suspect_list suspects;
    common::boot_time backAt;
    common::boot_time inTouchAt;
    uint64_t crashes = 0;
  };

  common::seeded_random mRandom;
  std::vector<vm_state> mVms;
  std::vector<std::string> mNames;
};

} // namespace

// A request that is sent often is in flight at many crashes without being their cause.
Test(suspect_list, a_request_that_completed_is_cleared_wherever_the_list_is_merged)
{
  suspect_list here;
  suspect_list there;
  here.Add(kPopular, crash_id(1), kNow);
  here.Add(kPopular, crash_id(2), kNow);
  there.Import(here.Export(kNow), kNow);
  cr_assert(there.IsRefused(kPopular));
  here.Clear(kPopular, kNow);
  there.Import(here.Export(kNow), kNow);
  cr_assert_not(there.IsRefused(kPopular));
  // Merging an older list does not make the request a suspect again.
  suspect_list old;
  old.Add(kPopular, crash_id(1), kNow);
  old.Add(kPopular, crash_id(2), kNow);
  there.Import(old.Export(kNow), kNow);
  cr_assert_not(there.IsRefused(kPopular));
}

// Whether a request stayed refused for an hour, or could never be refused again, depended on
// whether its suspicion was heard before or after an equal request completed.
Test(suspect_list, a_completion_before_or_after_the_news_of_a_crash_ends_the_same)
{
  for (bool newsFirst : { true, false }) {
    suspect_list crashed;
    suspect_list other;
    for (uint64_t crash = 1; crash <= 2; ++crash) {
      crashed.Add(kPopular, crash_id(crash), kNow);
      if (newsFirst) {
        other.Import(crashed.Export(kNow), kNow);
      }
      other.Clear(kPopular, kNow);
      other.Import(crashed.Export(kNow), kNow);
      // The next equal request completes as well.
      other.Clear(kPopular, kNow);
      crashed.Import(other.Export(kNow), kNow);
      cr_expect_eq(crashed.Crashes(kPopular), 0U);
      cr_expect_eq(other.Crashes(kPopular), 0U);
    }
    // It turns harmful.
    crashed.Add(kPopular, crash_id(3), kNow);
    other.Import(crashed.Export(kNow), kNow);
    other.Add(kPopular, crash_id(4), kNow);
    crashed.Import(other.Export(kNow), kNow);
    cr_expect(crashed.IsRefused(kPopular) && other.IsRefused(kPopular));
  }
}

// Each message renewed an entry, so that none ever expired in a fleet.
Test(suspect_list, entries_expire_although_daemons_exchange_them)
{
  suspect_list first;
  suspect_list second;
  first.Add(kPopular, crash_id(1), kNow);
  common::boot_time now = kNow;
  for (; now <= kNow + std::chrono::minutes(61); now += std::chrono::seconds(5)) {
    second.Import(first.Export(now), now);
    first.Import(second.Export(now), now);
    first.Expire(now);
    second.Expire(now);
  }
  cr_assert(first.Empty() && second.Empty());
}

Test(suspect_list, malformed_lists_are_ignored)
{
  suspect_list list;
  for (const char* text :
       { "[{\"fingerprint\":\"7\",\"crashes\":2,\"cleared\":false}]",
         "[{\"fingerprint\":\"7\",\"suspected\":{\"x\":1,\"1\":-1,\"2\":\"a\"}}]",
         "[{\"fingerprint\":\"7\",\"suspected\":[1]}]", "[1]", "{}" }) {
    list.Import(common::json::parse(text), kNow);
    cr_expect(list.Empty(), "%s", text);
  }
  list.Import(
    common::json::parse(
      "[{\"fingerprint\":\"7\",\"suspected\":{\"1\":18446744073709551615},\"failed_trials\":9}]"),
    kNow);
  cr_expect_eq(list.Crashes(7), 1U);
}

// Servers of a whole service crash at once while the same request runs on each of them.
Test(suspect_list, a_wrong_refusal_ends_by_itself)
{
  // The time in which a fleet is to serve again after a fault.
  constexpr milliseconds kRecoveryTime{ 15000 };
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    suspect_fleet fleet(2 + seed % 11, seed);
    for (size_t vm = 0; vm < fleet.Size(); ++vm) {
      fleet.Crash(vm, { kPopular });
    }
    common::boot_time servedAt = common::boot_time::max();
    for (; fleet.now < kNow + kRecoveryTime; fleet.now += milliseconds(50)) {
      if ((fleet.now - kNow) % milliseconds(250) == milliseconds(0)) {
        fleet.Gossip();
      }
      size_t vm =
        fleet.Place(kPopular, size_t(fleet.now.time_since_epoch().count() / 50000) % fleet.Size());
      if (vm < fleet.Size()) {
        fleet.Serve(vm, kPopular);
        servedAt = std::min(servedAt, fleet.now);
      }
    }
    cr_expect_lt(servedAt, kNow + kRecoveryTime / 2, "seed %lu", (unsigned long)seed);
    for (size_t vm = 0; vm < fleet.Size(); ++vm) {
      cr_expect_not(fleet.Suspects(vm).IsRefused(kPopular), "seed %lu, vm %zu", (unsigned long)seed,
                    vm);
    }
  }
}

// A request that crashes the upstreams reaches them in no more than three retries later than the
// contact time after its third crash: clients at every VM, popular requests in flight at each
// crash, and daemons that restart. It was served once before.
Test(suspect_list, a_crashing_request_is_stopped_among_popular_ones)
{
  const char* seeds = std::getenv("BAMBOOGRADE_EXPLORATION_SEEDS");
  uint64_t lastSeed = seeds == nullptr ? kSeeds : std::stoull(seeds);
  for (uint64_t seed = 1; seed <= lastSeed; ++seed) {
    suspect_fleet fleet(2 + seed % 11, seed);
    common::seeded_random random(seed);
    fleet.Serve(0, kCrashing);
    // Crashes by retries that VMs in touch sent, after the third one.
    size_t late = 0;
    std::vector<common::boot_time> crashes;
    size_t popularRefused = 0;
    size_t popularSent = 0;
    for (; fleet.now < kNow + std::chrono::minutes(5); fleet.now += milliseconds(50)) {
      if ((fleet.now - kNow) % milliseconds(250) == milliseconds(0)) {
        fleet.Gossip();
      }
      if (random.Below(200) == 0) {
        fleet.RestartDaemon(random.Below(fleet.Size()));
        fleet.Gossip();
      }
      if (random.Below(4) == 0) {
        size_t entry = random.Below(fleet.Size());
        size_t vm = fleet.Place(kCrashing, entry);
        if (vm < fleet.Size()) {
          bool counts = crashes.size() >= 3 && fleet.now > crashes[2] + kContactTime;
          late += counts && fleet.InTouch(entry) && fleet.InTouch(vm) ? 1 : 0;
          std::vector<uint64_t> running = { kCrashing };
          if (!fleet.Suspects(vm).IsRefused(kPopular)) {
            running.push_back(kPopular);
          }
          fleet.Crash(vm, running);
          crashes.push_back(fleet.now);
        }
      }
      size_t vm = fleet.Place(kPopular, random.Below(fleet.Size()));
      ++popularSent;
      popularRefused += vm < fleet.Size() ? 0 : 1;
      if (vm < fleet.Size()) {
        fleet.Serve(vm, kPopular);
      }
    }
    cr_assert_geq(crashes.size(), 3U);
    cr_expect_leq(late, 3U, "seed %lu: %zu late of %zu crashes", (unsigned long)seed, late,
                  crashes.size());
    cr_expect_lt(popularRefused * 20, popularSent, "seed %lu: %zu of %zu refused",
                 (unsigned long)seed, popularRefused, popularSent);
  }
}
