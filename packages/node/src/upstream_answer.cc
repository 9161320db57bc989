#include "upstream_answer.h"

#include <algorithm>
#include <vector>

#include "basilsill/base/http_status.h"

namespace basilsill {
namespace {

// Maximum number of answers to something else that are skipped.
constexpr int kMaxStaleAnswers = 2;
// Maximum number of interim answers (1xx) before an answer. Upstreams send one
// or two; a faulty one may send them without end.
constexpr int kMaxInterimAnswers = 16;
// Maximum size of the body of an answer that is skipped.
constexpr size_t kMaxStaleBytes = 192 * 1024;

Task<HeadStatus> ReadFinalHead(UpstreamConnection& connection, bool no_body) {
  for (int skipped = 0; skipped <= kMaxInterimAnswers; ++skipped) {
    const HeadStatus status =
        co_await connection.reader.ReadHead(connection.socket, no_body);
    if (status != HeadStatus::kOk ||
        !IsInterimStatus(connection.reader.message().get().result_int())) {
      co_return status;
    }
  }
  co_return HeadStatus::kMalformed;
}

}  // namespace

Task<HeadStatus> ReadExpectedHead(UpstreamConnection& connection,
                                  bool no_body,
                                  const IsExpectedAnswer& is_expected) {
  for (int skipped = 0; skipped <= kMaxStaleAnswers; ++skipped) {
    const HeadStatus status = co_await ReadFinalHead(connection, no_body);
    if (status != HeadStatus::kOk ||
        is_expected(connection.reader.message().get())) {
      co_return status;
    }
    ++connection.skipped_answers;
    const bool dropped = co_await DropBody(connection, kMaxStaleBytes);
    if (!dropped) {
      co_return HeadStatus::kBroken;
    }
  }
  co_return HeadStatus::kMalformed;
}

Task<bool> DropBody(UpstreamConnection& connection, size_t max_bytes) {
  std::vector<char> buffer(std::min(max_bytes, limits::kBodyChunkBytes));
  BodyPiece piece;
  size_t dropped = 0;
  do {
    piece = co_await connection.reader.ReadBody(connection.socket, buffer);
    dropped += piece.size;
  } while (piece.ok && !piece.last && dropped < max_bytes);
  co_return piece.ok&& piece.last;
}

}  // namespace basilsill
