#ifndef ANVILCROFT_SEND_PERMIT_H_
#define ANVILCROFT_SEND_PERMIT_H_

namespace anvilcroft {

// Permission to send one request to a target. Every call to a target takes one, so that none
// bypasses the target's request limit. RequestLimiter::Acquire grants them.
class SendPermit {
 public:
  // For targets without limits, as in tests of the calls themselves.
  static SendPermit Unchecked() { return SendPermit(); }

  SendPermit(SendPermit&&) = default;
  SendPermit& operator=(SendPermit&&) = default;
  SendPermit(const SendPermit&) = delete;
  SendPermit& operator=(const SendPermit&) = delete;

 private:
  friend class RequestLimiter;
  SendPermit() = default;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SEND_PERMIT_H_
