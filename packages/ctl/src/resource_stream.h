#ifndef BASILSILL_CTL_RESOURCE_STREAM_H_
#define BASILSILL_CTL_RESOURCE_STREAM_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "basilsill/base/endpoint.h"
#include "basilsill/platform/http_message.h"

/// Reader for streamed HTTP answers, line by line.

namespace basilsill::ctl {

/// Called with each line, without its line end. @returns false to stop reading.
using LineHandler = std::function<bool(std::string_view line)>;

/// How a stream ended.
struct StreamResult {
  bool stopped_by_handler = false;  ///< The handler returned false.
  HttpAnswer refusal;               ///< An answer with a status other than 200.
  std::optional<Failure> failure;   ///< kNetwork, kOversizedFrame.
};

/// Sends a GET request for `target` and calls `handle` with each line of a 200
/// answer. No data for limits::kMaxPlatformWait is a kNetwork failure.
boost::asio::awaitable<StreamResult> StreamLines(Endpoint endpoint,
                                                 std::string target,
                                                 LineHandler handle);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_RESOURCE_STREAM_H_
