#include "coordination/internal/node_impl.h"

namespace gooseberrygap::coordination {

Commands Node::Impl::DeliverLocalMessages(Commands commands,
                                          state::Millis now) {
  Commands remaining;
  for (size_t i = 0; i < commands.size(); ++i) {
    const Command command = commands[i];
    if (const auto* answer = std::get_if<AnswerCall>(&command)) {
      Count(answer->answer_);
      quota_.OnAnswered(answer->call_id_, answer->answer_.outcome_, now);
      remaining.emplace_back(WriteLog{
          .event_ = CallAnsweredLine(answer->answer_, CurrentState(now))});
    }
    LogAttempt(command, now, &remaining);
    const PeerMessageReceived* local = nullptr;
    std::optional<PeerMessageReceived> received;
    if (const auto* reply = std::get_if<ReplyToPeer>(&command)) {
      if (reply->connection_.empty()) {
        received.emplace(PeerMessageReceived{.message_ = reply->message_});
        local = &*received;
      }
    } else if (const auto* send = std::get_if<SendToPeer>(&command)) {
      if (send->address_ == self_.guard_address_ && IsForNode(*send)) {
        received.emplace(PeerMessageReceived{.message_ = send->message_});
        local = &*received;
      } else {
        RecordSent(*send, now);
      }
    }
    if (local == nullptr) {
      remaining.push_back(command);
      continue;
    }
    Commands more = On(*local, now);
    Append(&more, AnnounceChanges(now));
    Append(&commands, std::move(more));
  }
  return remaining;
}

ConfigurationState Node::Impl::CurrentState(state::Millis now) const {
  return ConfigurationState{
      .configuration_index_ = control_client_.configuration().index_,
      .staleness_ = control_client_.Staleness(now)};
}

void Node::Impl::LogAttempt(const Command& command,
                            state::Millis now,
                            Commands* commands) const {
  if (const auto* send = std::get_if<SendToPeer>(&command)) {
    if (const auto* attempt = std::get_if<Attempt>(&send->message_)) {
      commands->emplace_back(
          WriteLog{.event_ = AttemptSentLine(
                       *attempt, router_.LoadOf(attempt->target_, now))});
    } else if (const auto* resume =
                   std::get_if<ResumeAttempt>(&send->message_)) {
      commands->emplace_back(
          WriteLog{.event_ = AttemptResumedLine(*resume, send->address_)});
    }
  } else if (const auto* reply = std::get_if<ReplyToPeer>(&command)) {
    if (const auto* answer = std::get_if<AttemptAnswer>(&reply->message_)) {
      commands->emplace_back(WriteLog{.event_ = AttemptAnsweredLine(*answer)});
    }
  }
}

bool Node::Impl::IsForNode(const SendToPeer& send) {
  return std::holds_alternative<Attempt>(send.message_) ||
         std::holds_alternative<Cancel>(send.message_) ||
         std::holds_alternative<Probe>(send.message_);
}

void Node::Impl::RecordSent(const SendToPeer& send, state::Millis now) {
  const bool expects_answer = !std::holds_alternative<Cancel>(send.message_);
  if (std::holds_alternative<Attempt>(send.message_)) {
    counters_->Add(state::Counter::kAttemptsSent);
  }
  if (const auto* renew = std::get_if<LeaseRenew>(&send.message_)) {
    lease_.OnRenewalSent(renew->renewal_, now);
  }
  if (expects_answer) {
    link_monitor_.OnSent(send.address_, now);
  }
}

void Node::Impl::Count(const CallAnswer& answer) {
  state::Histograms& histograms = counters_->histograms();
  if (answer.latency_.has_value()) {
    histograms.Record(state::Histogram::kCallLatency, *answer.latency_);
    histograms.Record(state::Histogram::kAddedLatency,
                      *answer.latency_ - *answer.guard_time_);
  }
  switch (answer.outcome_) {
    case Outcome::kComplete:
      counters_->Add(state::Counter::kCallsComplete);
      return;
    case Outcome::kNotRun:
      counters_->Add(state::Counter::kCallsNotRun);
      break;
    case Outcome::kUnknown:
      counters_->Add(state::Counter::kCallsUnknown);
      break;
  }
  counters_->Add(answer.reason_);
}

}  // namespace gooseberrygap::coordination
