#include <cerrno>
#include <utility>

#include "transport/internal/call_server_impl.h"

namespace gooseberrygap::transport {

void CallServerImpl::WatchListeners(uint32_t events) {
  for (const ListenSocket& listener : listeners_) {
    poller_->Modify(listener.socket_.get(), events);
  }
}

void CallServerImpl::OnReady(int descriptor) {
  for (size_t i = 0; i < listeners_.size(); ++i) {
    if (listeners_[i].socket_.get() == descriptor) {
      Accept(i);
      return;
    }
  }
  const auto entry = connections_.find(descriptor);
  if (entry == connections_.end()) {
    return;
  }
  CallConnection* connection = entry->second.get();
  if (connection->held_since().has_value()) {
    connection->CheckHeld();
  }
  Read(connection);
}

void CallServerImpl::Accept(size_t listener) {
  while (true) {
    Descriptor accepted = AcceptConnection(listeners_[listener].socket_.get());
    if (!accepted.valid()) {
      if (errno == ECONNABORTED || errno == EINTR) {
        continue;
      }
      if (AcceptPause::IsRefusal(errno)) {
        PauseAccepting();
      }
      return;
    }
    if (connections_.size() >= static_cast<size_t>(options_.max_connections_)) {
      counters_->Add(state::Counter::kHttpConnectionsRefused);
      continue;
    }
    const int descriptor = accepted.get();
    if (!poller_->Add(descriptor, EPOLLIN | kAlways)) {
      // Unwatched, the connection would never be read.
      accepted.Reset();
      PauseAccepting();
      return;
    }
    counters_->Add(state::Counter::kHttpConnectionsAccepted);
    auto connection = std::make_unique<CallConnection>(
        std::move(accepted),
        CallConnection::Options{.number_ = next_connection_++,
                                .listener_ = listener,
                                .account_ = options_.account_,
                                .hold_ = options_.hold_},
        clock_.Now());
    CallConnection* opened = connection.get();
    if (closes_) {
      opened->CloseAfterPending();
    }
    connections_[descriptor] = std::move(connection);
    // A request often comes together with the connection.
    Read(opened);
  }
}

void CallServerImpl::PauseAccepting() {
  counters_->Add(state::Counter::kHttpAcceptPauses);
  pause_.Begin(clock_.Now());
  WatchListeners(kNone);
}

void CallServerImpl::Read(CallConnection* connection) {
  TakeRequests(connection);
  Continue(connection);
}

void CallServerImpl::TakeRequests(CallConnection* connection) {
  connection->Read(*limits_[connection->listener()], TakeFor(connection),
                   clock_.Now());
}

CallConnection::Take CallServerImpl::TakeFor(CallConnection* connection) {
  return [this, connection](const state::HttpRequest& request) {
    const uint64_t id = next_request_++;
    requests_[id] = connection;
    handler_->OnRequest(ReceivedRequest{.request_id_ = id,
                                        .listener_ = connection->listener(),
                                        .request_ = request});
    return id;
  };
}

void CallServerImpl::ReadHeld() {
  for (CallConnection* connection : HeldByAge(All())) {
    connection->ReadHeld(*limits_[connection->listener()], TakeFor(connection),
                         clock_.Now());
    Continue(connection);
  }
}

void CallServerImpl::Continue(CallConnection* connection) {
  // Before the refusals are sent, so that callers see them counted.
  for (int refused = connection->TakeRoomRefusals(); refused > 0; --refused) {
    counters_->Add(state::RefusalReason::kMemoryPressure);
    ++refused_for_room_;
  }
  if (!connection->is_done()) {
    connection->Flush(clock_.Now());
  }
  if (connection->is_done()) {
    Remove(connection);
    return;
  }
  poller_->Modify(connection->descriptor(),
                  kAlways | (connection->waits_to_read() ? kReadable : kNone) |
                      (connection->waits_to_write() ? kWritable : kNone));
}

void CallServerImpl::Remove(CallConnection* connection) {
  for (const uint64_t request : connection->Unanswered()) {
    requests_.erase(request);
    handler_->OnCallerDisconnected(request);
  }
  poller_->Remove(connection->descriptor());
  connections_.erase(connection->descriptor());
  pause_.OnDescriptorFreed();
}

}  // namespace gooseberrygap::transport
