// bamboograde_load: sends open-loop traffic, checks every response against its request, and prints
// counters and latencies.

#include "load/load_worker.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <csignal>
#include <iostream>
#include <memory>

ABSL_FLAG(std::vector<std::string>, entries, {}, "Caller listeners, IP:PORT, separated by commas.");
ABSL_FLAG(std::vector<std::string>, services, {}, "Services, separated by commas.");
ABSL_FLAG(std::vector<std::string>, classes, { "default" }, "Caller classes, separated by commas.");
ABSL_FLAG(std::string, keys, "uniform", "uniform, zipf or moving.");
ABSL_FLAG(unsigned, key_count, 1000, "Number of keys.");
ABSL_FLAG(double, zipf, 1.0, "Exponent of the Zipf distribution.");
ABSL_FLAG(double, move_s, 10, "moving: seconds between changes of the hottest keys.");
ABSL_FLAG(std::string, key_prefix, "key-", "Prefix of every key.");
ABSL_FLAG(double, rate, 100, "Requests per second, over all threads.");
ABSL_FLAG(double, seconds, 5, "Duration of the run, in seconds.");
ABSL_FLAG(unsigned, timeout_ms, 5000, "Timeout of a request.");
ABSL_FLAG(double, bookings, 0, "Share of non-idempotent requests.");
ABSL_FLAG(unsigned, resends, 2,
          "Maximum retries of a non-idempotent request without a definite response.");
ABSL_FLAG(unsigned, work_us, 0, "Processing time of a request at the upstream.");
ABSL_FLAG(unsigned, body_bytes, 0, "Padding of the response, in bytes.");
ABSL_FLAG(unsigned, threads, 2, "Sending threads.");
ABSL_FLAG(bool, direct, false, "The entries are upstreams, not daemons.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the random number generators.");
ABSL_FLAG(std::string, history, "", "File for one JSON line per request.");

namespace {

using bamboograde::load::key_distribution;
using bamboograde::load::load_options;

load_options ReadOptions()
{
  load_options options;
  for (const std::string& entry : absl::GetFlag(FLAGS_entries)) {
    options.entries.emplace_back(entry);
  }
  options.services = absl::GetFlag(FLAGS_services);
  options.classes = absl::GetFlag(FLAGS_classes);
  std::string distribution = absl::GetFlag(FLAGS_keys);
  options.keys.distribution = distribution == "zipf"     ? key_distribution::kZipf
                              : distribution == "moving" ? key_distribution::kShiftingZipf
                                                         : key_distribution::kUniform;
  options.keys.count = absl::GetFlag(FLAGS_key_count);
  options.keys.zipfExponent = absl::GetFlag(FLAGS_zipf);
  options.keys.shiftIntervalSeconds = absl::GetFlag(FLAGS_move_s);
  options.keys.prefix = absl::GetFlag(FLAGS_key_prefix);
  options.ratePerSecond = absl::GetFlag(FLAGS_rate);
  options.duration =
    bamboograde::common::milliseconds(int64_t(absl::GetFlag(FLAGS_seconds) * 1000));
  options.timeout = bamboograde::common::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  options.nonIdempotentShare = absl::GetFlag(FLAGS_bookings);
  options.retries = absl::GetFlag(FLAGS_resends);
  options.workUs = absl::GetFlag(FLAGS_work_us);
  options.bodyBytes = absl::GetFlag(FLAGS_body_bytes);
  options.direct = absl::GetFlag(FLAGS_direct);
  options.seed = absl::GetFlag(FLAGS_seed);
  return options;
}

} // namespace

int main(int argc, char** argv)
{
  absl::SetProgramUsageMessage("Sends open-loop traffic and checks every response.");
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  load_options options = ReadOptions();
  if (options.entries.empty() || options.services.empty() || options.keys.count == 0) {
    std::cerr << "Pass at least one entry (--entries) and one service (--services), and a "
                 "--key_count above 0.\n";
    return 2;
  }
  std::string historyPath = absl::GetFlag(FLAGS_history);
  FILE* history = historyPath.empty() ? nullptr : std::fopen(historyPath.c_str(), "we");
  size_t threads = std::max(1U, absl::GetFlag(FLAGS_threads));
  std::vector<std::unique_ptr<bamboograde::load::load_worker>> workers;
  for (size_t i = 0; i < threads; ++i) {
    workers.push_back(
      std::make_unique<bamboograde::load::load_worker>(options, i, threads, history));
    workers.back()->Start();
  }
  bamboograde::load::tally total;
  for (auto& worker : workers) {
    worker->Join();
    total.Merge(worker->Result());
  }
  if (history != nullptr) {
    std::fclose(history);
  }
  std::cout << "seed=" << options.seed << "\n"
            << total.Format(double(options.duration.count()) / 1000);
  return 0;
}
