#ifndef TRANSPORT_INTERNAL_DESCRIPTOR_H_
#define TRANSPORT_INTERNAL_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace gooseberrygap::transport {

// Owns a file descriptor and closes it.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() { Reset(); }

  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    if (this != &other) {
      Reset();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }

  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }

  void Reset() {
    if (valid()) {
      close(std::exchange(fd_, -1));
    }
  }

 private:
  int fd_ = -1;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_DESCRIPTOR_H_
