#ifndef TRANSPORT_INTERNAL_SOCKET_STREAM_H_
#define TRANSPORT_INTERNAL_SOCKET_STREAM_H_

#include <httplib.h>

#include <optional>
#include <string>
#include "absl/strings/string_view.h"

#include "state/state.h"
#include "transport/internal/chunk_check.h"
#include "transport/internal/descriptor.h"

namespace gooseberrygap::transport {

// Why a stream yields no more bytes.
enum class StreamEnd {
  kOpen,
  kClosed,  // By the other side, in order.
  kFailed,  // Reset, or shut down by this process.
  kTimeout,
  kHeadMalformed,
  kHeadTooLarge,
  kBodyMalformed,
};

// The stream through which httplib reads and writes one connection. It lives as
// long as the connection, so that bytes of the next message that came with this
// one stay in its buffer. Reads and writes end at a deadline for the whole
// message. What is written is kept until the next read or Flush, so that head
// and body leave in one segment. Not thread-safe.
class SocketStream : public httplib::Stream {
 public:
  // Written bytes are sent as soon as there are so many.
  static constexpr size_t kMaxOutputBytes = 262144;

  // `socket` is connected and non-blocking.
  SocketStream(Descriptor socket, size_t max_head_bytes);

  // Frees the buffers that hold nothing, before the connection waits for its
  // next request. Call between two messages.
  void ReleaseBuffers();
  // Begins the next message to be read: its head is checked and escaped.
  void BeginMessage(state::Millis deadline);
  void SetDeadline(state::Millis deadline) { deadline_ = deadline; }

  // Waits until the head of the message has been read whole. Returns false at
  // the end of the stream.
  bool LoadHead();
  // Reads without waiting. Returns false when nothing came.
  bool FillAvailable();
  // Replaces what was written by a whole response and sends what the system
  // takes of it at once. The head of a request may have failed.
  void SendRefusal(const std::string& response);
  // Sends what was written. Returns false when the stream ended before.
  bool Flush();

  // The body of this message is chunked: has its framing checked. Call after
  // the head was read and before the body.
  void ExpectChunks() { chunks_.emplace(); }
  // Returns whether a chunked body has been read to its end and was
  // well-formed; true for other bodies, whose end httplib finds right.
  bool ChunksComplete() const { return !chunks_ || chunks_->complete(); }

  // Returns the bytes received and not yet read.
  absl::string_view buffered() const {
    return absl::string_view(input_).substr(position_);
  }
  // Returns how many bytes have been received since the connection was opened.
  uint64_t received() const { return received_; }
  // Drops the first bytes of those that are buffered.
  void Discard(size_t count);
  StreamEnd end() const { return end_; }
  // Returns whether any byte was handed to the system since BeginMessage.
  bool has_sent() const { return has_sent_; }
  // Returns the escaped head, after LoadHead.
  absl::string_view head() const { return head_; }
  // Returns whether the head of the message has come.
  bool has_head() const { return head_loaded_; }

  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }
  ssize_t read(char* ptr, size_t size) override;
  ssize_t write(const char* ptr, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  // Not the descriptor: httplib refuses those above FD_SETSIZE, since its own
  // streams use select.
  socket_t socket() const override { return 0; }
  int descriptor() const { return socket_.get(); }

 private:
  // Waits for an event of poll(2). Returns false at the deadline.
  bool WaitFor(short event);
  bool FillWaiting();
  // Checks and escapes the buffered head of this size.
  bool TakeHead(size_t size);

  const Descriptor socket_;
  const size_t max_head_bytes_;
  const state::SteadyClock clock_;
  state::Millis deadline_;
  StreamEnd end_ = StreamEnd::kOpen;
  bool has_sent_ = false;
  bool head_loaded_ = false;
  std::optional<ChunkCheck> chunks_;
  std::string head_;  // Escaped; read before the input.
  size_t head_position_ = 0;
  std::string input_;
  size_t position_ = 0;
  uint64_t received_ = 0;
  std::string output_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_SOCKET_STREAM_H_
