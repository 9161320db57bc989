#ifndef BASILSILL_BASE_HTTP_STATUS_H_
#define BASILSILL_BASE_HTTP_STATUS_H_

/// The statuses that an HTTP answer can have (RFC 9110, section 15). HTTP
/// libraries accept any three digits.

namespace basilsill {

/// @returns true for a status that ends the exchange.
constexpr bool IsFinalStatus(unsigned status) {
  constexpr unsigned first = 200;
  constexpr unsigned last = 599;
  return status >= first && status <= last;
}

/// @returns true for a status that another answer follows. 101 is none: it ends
/// HTTP on the connection, and no request here asks for that.
constexpr bool IsInterimStatus(unsigned status) {
  constexpr unsigned first = 100;
  constexpr unsigned last = 199;
  constexpr unsigned switching_protocols = 101;
  return status >= first && status <= last && status != switching_protocols;
}

}  // namespace basilsill

#endif  // BASILSILL_BASE_HTTP_STATUS_H_
