#ifndef TRANSPORT_INTERNAL_ANSWER_ROOM_H_
#define TRANSPORT_INTERNAL_ANSWER_ROOM_H_

#include <cstddef>
#include <deque>
#include <map>
#include <memory>

#include "transport/api/byte_account.h"

namespace gooseberrygap::transport {

// Decides which answers of the target may be read. Large answers wait, the
// oldest first, while the account of the process or the limit of all incomplete
// answers has no room. One answer at a time may exceed both, so that there is
// always progress: until its last copy is gone, so that several such answers
// never exist at once. A class without sockets and clock. Not thread-safe.
class AnswerRoom {
 public:
  // `max_bytes` limits the bodies of all incomplete answers together.
  AnswerRoom(std::shared_ptr<ByteAccount> account, size_t max_bytes);
  ~AnswerRoom();

  AnswerRoom(const AnswerRoom&) = delete;
  AnswerRoom& operator=(const AnswerRoom&) = delete;

  // Returns a charge for the next answer.
  RequestCharge NewCharge() const;

  // Changes the charge for the body of the answer on a connection, whose number
  // is `link`, to `bytes`. Returns false, and puts the connection among those
  // that wait, if the bytes do not fit. Small answers always fit.
  bool TryReserve(int link, RequestCharge* charge, size_t bytes);
  // Lowers the charge for the body to `bytes`.
  void Reduce(int link, RequestCharge* charge, size_t bytes);
  // Forgets the answer on a connection; its charge may live on.
  void Finish(int link);

  // The connections that wait, the one that has waited longest first.
  const std::deque<int>& waiting() const { return waiting_; }
  // Bytes that they need to go on.
  size_t wanted() const { return wanted_; }

 private:
  struct Incomplete {
    size_t reserved_ = 0;
    size_t missing_ = 0;  // Above 0 for a connection that waits.
  };

  bool Fits(ByteCharge* charge, size_t bytes) const;
  // Returns whether the charge is, or now becomes, the one that may exceed the
  // limits.
  bool MayExceed(RequestCharge* charge, size_t bytes);
  void SetReserved(int link, size_t bytes);
  void SetMissing(int link, size_t bytes);

  const std::shared_ptr<ByteAccount> account_;
  const size_t max_bytes_;
  std::map<int, Incomplete> incomplete_;
  size_t reserved_ = 0;  // Of all incomplete answers.
  size_t wanted_ = 0;
  std::deque<int> waiting_;
  // Token of the charge that may exceed the limits.
  std::weak_ptr<const void> exceeding_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_INTERNAL_ANSWER_ROOM_H_
