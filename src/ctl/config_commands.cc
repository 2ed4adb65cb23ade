#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

#include "ctl/command.h"

namespace gooseberrygap::ctl {

namespace {

using coordination::ConfigSubmitReply;
using coordination::SubmitStatus;
using state::ErrorKind;

constexpr char kConfigPath[] = "/-/config";
// Enough pauses to outlast an election, which ends within 2 s.
constexpr int kMaxTries = 15;
constexpr absl::Duration kPauseBetweenTries = absl::Milliseconds(200);
// With a daemon that accepts connections and stays silent, each try lasts a
// whole timeout; tries end after this many.
constexpr double kMaxTimeouts = 3;

// Returns the file's text; "-" stands for standard input.
state::Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
  }
  std::istream& input = path == "-" ? std::cin : file;
  std::string text((std::istreambuf_iterator<char>(input)), {});
  if (input.bad() || (path != "-" && !file.is_open())) {
    return state::MakeError(ErrorKind::kFileUnreadable,
                            absl::StrCat("Cannot read '", path, "'"));
  }
  return text;
}

state::Result<state::Configuration> ReadConfiguration(const std::string& path) {
  const auto text = ReadFile(path);
  if (text.has_error()) {
    return text.error();
  }
  return protocol::ParseConfiguration(text.value());
}

std::string RandomSubmission() {
  absl::BitGen random;
  return absl::StrCat(
      "ctl-", absl::Hex(absl::Uniform<uint64_t>(random), absl::kZeroPad16),
      absl::Hex(absl::Uniform<uint64_t>(random), absl::kZeroPad16));
}

// How a status of a submission is treated.
struct StatusRow {
  const SubmitStatus status_;
  const ErrorKind kind_;
  const bool retry_;
  std::string (*const describe_)(const ConfigSubmitReply&);
};

constexpr std::array<StatusRow, 6> kStatuses = {{
    {SubmitStatus::kAccepted, ErrorKind::kNone, false,
     [](const ConfigSubmitReply&) { return std::string(); }},
    {SubmitStatus::kConflict, ErrorKind::kVersionConflict, false,
     [](const ConfigSubmitReply& reply) {
       return absl::StrCat("Conflict: submission '", reply.winner_submission_,
                           "' was accepted with this version and other "
                           "content, as index ",
                           reply.index_);
     }},
    {SubmitStatus::kWrongVersion, ErrorKind::kVersionConflict, false,
     [](const ConfigSubmitReply& reply) {
       return absl::StrCat("Conflict: the current version is ",
                           reply.current_version_, ", so the next must be ",
                           reply.current_version_ + 1);
     }},
    {SubmitStatus::kNotLeader, ErrorKind::kNoQuorum, true,
     [](const ConfigSubmitReply&) {
       return std::string("The daemon found no leader of the control group");
     }},
    {SubmitStatus::kNoQuorum, ErrorKind::kNoQuorum, true,
     [](const ConfigSubmitReply&) {
       return std::string("The control group has no quorum");
     }},
    {SubmitStatus::kNotFormed, ErrorKind::kNotFormed, false,
     [](const ConfigSubmitReply&) {
       return std::string("The control group has not been formed");
     }},
}};

const StatusRow& RowOf(SubmitStatus status) {
  return kStatuses.at(static_cast<size_t>(status));
}

// The last answer to a submission and the number of tries that it took.
struct Submitted {
  const ConfigSubmitReply reply_ = {};
  const int tries_ = 0;
};

// Submits once. Refusals other than those of a submission are errors.
state::Result<ConfigSubmitReply> SubmitOnce(const AdminClient& client,
                                            const std::string& body) {
  const auto answer = client.Send("PUT", kConfigPath, body);
  if (answer.has_error()) {
    return answer.error();
  }
  auto reply = protocol::ParseSubmitReply(answer.value().body_);
  if (reply.has_error() && answer.value().status_ != AdminClient::kOk) {
    return client.ErrorOf(answer.value(), kConfigPath);
  }
  return reply;
}

// Submits until there is an answer that a repeat cannot change. Repeating is
// safe: an equal document under the same version gets the same index.
state::Result<Submitted> Submit(const Invocation& invocation,
                                const std::string& body) {
  const AdminClient client = invocation.Client();
  const absl::Time end =
      absl::Now() +
      absl::Milliseconds(invocation.timeout_.value() * kMaxTimeouts);
  bool answer_lost = false;
  for (int tries = 1;; ++tries) {
    const auto reply = SubmitOnce(client, body);
    if (reply.has_value() && !RowOf(reply.value().status_).retry_) {
      return Submitted{.reply_ = reply.value(), .tries_ = tries};
    }
    const ErrorKind kind =
        reply.has_error() ? reply.error().kind_ : ErrorKind::kNoQuorum;
    answer_lost |= kind == ErrorKind::kTimeout;
    // After a lost answer the daemon may be restarting; before one, a daemon
    // that cannot be reached is reported at once.
    const bool retry = kind == ErrorKind::kTimeout ||
                       kind == ErrorKind::kNoQuorum ||
                       (kind == ErrorKind::kUnreachable && answer_lost);
    if (!retry || tries == kMaxTries ||
        absl::Now() + kPauseBetweenTries > end) {
      if (reply.has_error()) {
        return reply.error();
      }
      return Submitted{.reply_ = reply.value(), .tries_ = tries};
    }
    absl::SleepFor(kPauseBetweenTries);
  }
}

// Returns the index that is in force, or 0 when it cannot be told.
uint64_t IndexInForce(const AdminClient& client) {
  const auto current =
      client.Get(kConfigPath, &protocol::ParseIndexedConfiguration);
  return current.has_value() ? current.value().index_ : 0;
}

std::string DescribeAccepted(const Submitted& submitted,
                             uint64_t version,
                             const std::string& submission,
                             uint64_t index_before) {
  const uint64_t index = submitted.reply_.index_;
  std::string text =
      index <= index_before
          ? absl::StrCat("Repeat: version ", version,
                         " had been accepted before with equal content, as "
                         "index ",
                         index)
          : absl::StrCat("Accepted: version ", version, " is index ", index);
  absl::StrAppend(&text, " (submission '", submission, "', answered on try ",
                  submitted.tries_, ")\n");
  return text;
}

}  // namespace

state::Result<Report> RunConfigCheck(const Invocation& invocation) {
  const auto configuration = ReadConfiguration(invocation.arguments_.front());
  if (configuration.has_error()) {
    return configuration.error();
  }
  return Report{.output_ = absl::StrCat(
                    "Valid: version ", configuration.value().version_, " with ",
                    configuration.value().services_.size(), " service(s)\n")};
}

state::Result<Report> RunConfigApply(const Invocation& invocation) {
  const auto configuration = ReadConfiguration(invocation.arguments_.front());
  if (configuration.has_error()) {
    return configuration.error();
  }
  const std::string submission = invocation.submission_.empty()
                                     ? RandomSubmission()
                                     : invocation.submission_;
  const std::string body = protocol::PrintConfigSubmission(
      {.submission_ = submission, .configuration_ = configuration.value()});
  if (protocol::ParseConfigSubmission(body).has_error()) {
    return state::MakeError(
        ErrorKind::kUsage,
        absl::StrCat("--submission is '", submission,
                     "'; allowed: 1 to 128 letters, digits, dots, colons, "
                     "underscores and hyphens, beginning with a letter or "
                     "digit"));
  }
  const uint64_t index_before = IndexInForce(invocation.Client());
  const auto submitted = Submit(invocation, body);
  if (submitted.has_error()) {
    return state::Error{
        .kind_ = submitted.error().kind_,
        .message_ = absl::StrCat(
            submitted.error().message_,
            " To repeat the submission, add --submission=", submission, ".")};
  }
  const ConfigSubmitReply& reply = submitted.value().reply_;
  const StatusRow& row = RowOf(reply.status_);
  if (row.kind_ != ErrorKind::kNone) {
    return state::MakeError(row.kind_, row.describe_(reply));
  }
  return Report{.output_ = DescribeAccepted(submitted.value(),
                                            configuration.value().version_,
                                            submission, index_before)};
}

state::Result<Report> RunConfigShow(const Invocation& invocation) {
  const auto current = invocation.Client().Get(
      kConfigPath, &protocol::ParseIndexedConfiguration);
  if (current.has_error()) {
    return current.error();
  }
  if (current.value().configuration_ == nullptr) {
    return state::MakeError(ErrorKind::kNoConfiguration,
                            "The daemon knows no configuration");
  }
  return Report{.output_ = absl::StrCat(protocol::PrintConfigurationIndented(
                                            *current.value().configuration_),
                                        "\n"),
                .notes_ = absl::StrCat("index ", current.value().index_, "\n")};
}

}  // namespace gooseberrygap::ctl
