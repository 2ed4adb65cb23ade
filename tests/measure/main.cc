#include <sys/utsname.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "measure/cost.h"
#include "measure/load.h"
#include "measure/report.h"
#include "measure/scenario.h"

ABSL_FLAG(std::string, deployment, "periyar", "periyar or quesada");
ABSL_FLAG(uint64_t, seed, 1, "seed of arrivals and service times");
ABSL_FLAG(int, rounds, 5, "rounds of all scenarios and strategies");
ABSL_FLAG(double, seconds, 3, "length of a load without its warm-up");
ABSL_FLAG(double, service_time_ms, 25, "mean service time of a target");
ABSL_FLAG(std::string,
          distribution,
          "fixed",
          "fixed, exponential or lognormal");
ABSL_FLAG(bool, quick, false, "runs few scenarios");
ABSL_FLAG(std::string,
          scenario,
          "",
          "runs the scenarios with this in the name");
ABSL_FLAG(std::string, table, "", "file for the Markdown page");
ABSL_FLAG(std::string, plot, "", "file for the SVG plot");

namespace gooseberrygap::measure {
namespace {

using state::Millis;
using test_support::Deployment;
using test_support::InstanceSpec;

// Callers open their connections and the strategies gather samples of load.
constexpr Millis kWarmUp(500);
constexpr Millis kDeadline(2000);
// Share of the slots in the comparison with direct calls, at which hardly any
// call waits for a slot.
constexpr double kDirectShare = 0.2;
constexpr const char* kDirectScenario = "added latency, no link delays, 20%";
constexpr const char* kDirect = "direct, without daemons";
constexpr const char* kStrategies[] = {"probed_latency", "two_choices",
                                       "least_in_flight", "round_robin",
                                       "random"};

// The load average when the measurement starts and ends.
std::string LoadAverage() {
  double averages[3] = {};
  if (getloadavg(averages, 3) != 3) {
    return "unknown";
  }
  return absl::StrFormat("%.1f, %.1f, %.1f", averages[0], averages[1],
                         averages[2]);
}

class Measurement {
 public:
  explicit Measurement(const Profile& profile)
      : profile_(profile),
        seed_(absl::GetFlag(FLAGS_seed)),
        window_(1000 * absl::GetFlag(FLAGS_seconds)) {}

  // Measures all scenarios, then the added latency. Returns false after an
  // error.
  bool Run() {
    const int rounds = absl::GetFlag(FLAGS_rounds);
    const std::string& wanted = absl::GetFlag(FLAGS_scenario);
    bool good = Start(/*with_links=*/true);
    for (int round = 0; good && round < rounds; ++round) {
      for (const Scenario& scenario : Scenarios()) {
        if ((scenario.quick_ || !absl::GetFlag(FLAGS_quick)) &&
            absl::StrContains(scenario.name_, wanted)) {
          good = good && RunScenario(scenario, round);
        }
      }
    }
    if (!good || !absl::StrContains(kDirectScenario, wanted)) {
      return good;
    }
    good = Start(/*with_links=*/false);
    for (int round = 0; good && round < rounds; ++round) {
      good = RunDirect(round);
    }
    return good;
  }

  const Results& results() const { return results_; }
  // Returns the first error's message.
  const std::string& error() const { return error_; }

 private:
  bool Check(const state::Result<void>& result) {
    if (!result && error_.empty()) {
      error_ = result.error().message_;
    }
    return result.has_value();
  }

  const std::string& service() const {
    return profile_.services_.front().first;
  }

  bool Start(bool with_links) {
    deployment_.reset();
    version_ = 0;
    auto created = Deployment::Create(
        MakeSpec(profile_,
                 {.mean_ = Millis(absl::GetFlag(FLAGS_service_time_ms)),
                  .distribution_ =
                      with_links ? absl::GetFlag(FLAGS_distribution) : "fixed"},
                 seed_, with_links));
    if (!created) {
      return Check(created.error());
    }
    deployment_ = std::move(created.value());
    return Check(deployment_->StartAll()) &&
           Check(deployment_->FormControlGroup()) &&
           SetStrategy(kStrategies[0]) && WaitForAllTargets();
  }

  bool WaitForAllTargets() {
    for (const auto& [name, endpoints] : profile_.services_) {
      if (!Check(deployment_->WaitForTargets(name, endpoints))) {
        return false;
      }
    }
    return true;
  }

  bool SetStrategy(const std::string& strategy) {
    ++version_;
    const test_support::CallAnswer answer = deployment_->SubmitConfiguration(
        deployment_->spec().instances_.front().name_,
        Submission(profile_, version_, strategy));
    const nlohmann::json body =
        nlohmann::json::parse(answer.body_, nullptr, false);
    if (answer.status_ != 200 || !body.is_object()) {
      error_ = absl::StrCat("PUT /-/config: ", answer.status_, answer.failure_,
                            " ", answer.body_);
      return false;
    }
    return Check(
        deployment_->WaitForConfiguration(body.value("index", uint64_t{0})));
  }

  // Every strategy meets the same arrivals; the order rotates with the round.
  bool RunScenario(const Scenario& scenario, int round) {
    for (size_t i = 0; i < std::size(kStrategies); ++i) {
      const char* const strategy =
          kStrategies[(i + static_cast<size_t>(round)) %
                      std::size(kStrategies)];
      if (!SetStrategy(strategy) ||
          !RunLoad(scenario, strategy, round,
                   Ingresses(scenario.spares_last_domain_),
                   absl::StrCat("/", service(), "/sample/")) ||
          !WaitForAllTargets()) {
        return false;
      }
    }
    return true;
  }

  bool RunDirect(int round) {
    const Scenario scenario = {.name_ = kDirectScenario,
                               .share_ = kDirectShare};
    std::vector<test_support::Address> targets;
    for (const InstanceSpec& instance : deployment_->spec().instances_) {
      if (instance.target_->service_ == service()) {
        targets.push_back(deployment_->AddressesOf(instance.name_).target_);
      }
    }
    return RunLoad(scenario, kDirect, round, targets, "/sample/") &&
           RunLoad(scenario, kStrategies[0], round, Ingresses(false),
                   absl::StrCat("/", service(), "/sample/"));
  }

  std::vector<test_support::Address> Ingresses(bool spares_last_domain) const {
    std::vector<test_support::Address> addresses;
    for (const InstanceSpec& instance : deployment_->spec().instances_) {
      if (!spares_last_domain || !IsInLastDomain(instance, profile_)) {
        addresses.push_back(
            deployment_->AddressesOf(instance.name_).http_for_callers_);
      }
    }
    return addresses;
  }

  bool Disturb(const Change& change) {
    return Check(Apply(change, deployment_.get(), profile_));
  }

  bool RunLoad(const Scenario& scenario,
               const std::string& strategy,
               int round,
               const std::vector<test_support::Address>& endpoints,
               const std::string& path_prefix) {
    const double slots = profile_.services_.front().second * profile_.slots_;
    const double per_second =
        scenario.share_ * slots * 1000 / absl::GetFlag(FLAGS_service_time_ms);
    const std::vector<Arrival> arrivals = DrawArrivals(
        seed_ + static_cast<uint64_t>(round), per_second, kWarmUp + window_);
    bool good = Disturb(scenario.before_);
    const Totals before = ReadTotals(*deployment_);
    LoadRun load({.endpoints_ = endpoints,
                  .path_prefix_ = path_prefix,
                  .warm_up_ = kWarmUp,
                  .deadline_ = kDeadline},
                 arrivals);
    load.SleepUntil(kWarmUp + window_ * (1.0 / 3));
    good = good && Disturb(scenario.first_third_);
    load.SleepUntil(kWarmUp + window_ * (2.0 / 3));
    good = good && Disturb(scenario.second_third_);
    const std::vector<Sample> samples = load.Finish();
    const Figures figures =
        MakeFigures(samples, window_.value() / 1000, arrivals.size(),
                    Difference(before, ReadTotals(*deployment_)));
    results_.Add(scenario.name_, strategy, figures);
    std::printf(
        "round %d, %s, %s: p50 %.1f p99 %.1f p99.9 %.1f ms, good %.2f%%, "
        "late %.1f%%\n",
        round + 1, scenario.name_, strategy.c_str(), figures.p50_ms_,
        figures.p99_ms_, figures.p999_ms_, figures.good_percent_,
        figures.late_percent_);
    std::fflush(stdout);
    return good && Disturb(scenario.after_);
  }

  const Profile& profile_;
  const uint64_t seed_;
  const Millis window_;
  std::unique_ptr<Deployment> deployment_;
  uint64_t version_ = 0;
  Results results_;
  std::string error_;
};

std::string PrintPage(const Measurement& measurement,
                      const std::string& command,
                      const std::string& start) {
  const std::string status =
      measurement.error().empty()
          ? "The run was complete."
          : absl::StrCat("The run ended early: ", measurement.error());
  return absl::StrCat(
      "# Measurements\n\nWritten by `tools/measure`. ", status, "\n\n",
      "- command: `", command, "`\n- deployment ",
      absl::GetFlag(FLAGS_deployment), ", seed ", absl::GetFlag(FLAGS_seed),
      ", rounds ", absl::GetFlag(FLAGS_rounds), ", ",
      absl::GetFlag(FLAGS_seconds), " s for each load, service time ",
      absl::GetFlag(FLAGS_service_time_ms), " ms, ",
      absl::GetFlag(FLAGS_distribution),
      " (fixed in the comparison with direct calls)\n- ", start,
      "\n- load average at the end: ", LoadAverage(),
      "\n\nLookups go to the first service only, at the stated share of its "
      "slots, each through a daemon drawn at random. The "
      "arrivals are Poisson and equal for all strategies of a round; a slow "
      "answer does not delay later calls. Latency counts from the intended "
      "send time, for calls answered 200; the deadline is ",
      kDeadline.value(),
      " ms. Links have the delays of section 2 of the design and share 30 "
      "Mbit/s between the regions. Retries and hedges are on for every "
      "strategy. Each cell is the median with the range over the rounds. "
      "\"Sent late\" is the share of calls sent over 5 ms after their time, "
      "because the machine or the callers were busy.\n\n"
      "Load bytes and messages are those of `Probe` and `ProbeReply` at the "
      "proxy; the load that answers carry is not in them. Without links there "
      "is no proxy and these figures are 0. Costs for each call include the "
      "daemons' own work (leases, configuration, membership) during the load. "
      "Daemons that stop within a load are left out of executions and CPU.\n\n",
      PrintTable(measurement.results()), "\n![latency](measurements.svg)\n");
}

std::string Machine() {
  utsname names = {};
  uname(&names);
  return absl::StrCat(
      absl::FormatTime("%Y-%m-%d %H:%M UTC", absl::Now(), absl::UTCTimeZone()),
      ", ", sysconf(_SC_NPROCESSORS_ONLN), " cores, ", names.sysname, " ",
      names.machine, ", load average at the start: ", LoadAverage());
}

void WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) {
    std::printf("%s", text.c_str());
    return;
  }
  std::ofstream(path) << text;
}

int Run(const std::string& command) {
  const Profile* profile = FindProfile(absl::GetFlag(FLAGS_deployment));
  if (profile == nullptr || absl::GetFlag(FLAGS_rounds) < 1) {
    std::fprintf(stderr,
                 "measure: --deployment must be periyar or quesada, and "
                 "--rounds at least 1\n");
    return 1;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::string start = Machine();
  Measurement measurement(*profile);
  const bool good = measurement.Run();
  if (!good) {
    std::fprintf(stderr, "measure: %s\n", measurement.error().c_str());
  }
  if (measurement.results().rows().empty()) {
    return 1;
  }
  WriteFile(absl::GetFlag(FLAGS_table), PrintPage(measurement, command, start));
  if (!absl::GetFlag(FLAGS_plot).empty()) {
    WriteFile(absl::GetFlag(FLAGS_plot), PrintPlot(measurement.results()));
  }
  return good ? 0 : 1;
}

}  // namespace
}  // namespace gooseberrygap::measure

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Measures tail latency and cost of load.");
  std::vector<std::string> words = {"tools/measure"};
  for (int i = 1; i < argc; ++i) {
    const std::string word = argv[i];
    // tools/measure adds the files itself.
    if (!absl::StartsWith(word, "--table=") &&
        !absl::StartsWith(word, "--plot=")) {
      words.push_back(word);
    }
  }
  absl::ParseCommandLine(argc, argv);
  return gooseberrygap::measure::Run(absl::StrJoin(words, " "));
}
