// libFuzzer target that passes the input, as sent by a peer, to the decoder and
// to both sides of a link. Any input must result in messages or in a typed
// failure. The ordinary tests run the target on a fixed corpus
// (peer_fuzz_test.cc).

#include <cstdint>
#include <cstdlib>
#include <span>
#include <vector>

#include "basilsill/wire/link_mux.h"
#include "link_pair.h"
#include "samples.h"

namespace basilsill::wire {
namespace {

constexpr std::span<const char> kNothing;

bool IsExpected(FailureKind kind) {
  return kind == FailureKind::kMalformedFrame ||
         kind == FailureKind::kOversizedFrame ||
         kind == FailureKind::kVersionMismatch ||
         kind == FailureKind::kLimitReached;
}

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

/// Checks that every message that the decoder accepts can be encoded, and is
/// equal after it is decoded again.
void FuzzCodec(std::span<const char> bytes) {
  FrameDecoder decoder;
  std::vector<PeerMessage> messages;
  const Result<void> result = decoder.Decode(bytes, messages);
  Require(result || IsExpected(result.error().kind));
  const std::string again = BytesOf(messages);
  FrameDecoder second;
  std::vector<PeerMessage> same;
  Require(second.Decode(again, same).has_value());
  Require(same == messages);
}

/// Passes `bytes` to a link that has received the peer's Hello and has one open
/// stream of this side.
void FuzzMux(LinkSide side, std::span<const char> bytes) {
  const std::vector<PeerMessage> hello = {OptionsOf(side).hello};
  LinkMux mux = LinkMux::Create(TimePoint(), OptionsOf(side)).value();
  mux.OpenStream(OpenWith({})).value();
  mux.OnBytes(TimePoint(), BytesOf(hello)).value();
  FrameBuffer out;
  mux.TakeOutput(TimePoint(), out);
  const Result<void> result = mux.OnBytes(TimePoint(), bytes);
  Require(result || IsExpected(result.error().kind));
  mux.TakeOutput(TimePoint(), out);
  const Result<void> after = mux.OnBytes(TimePoint(), kNothing);
  Require(after.has_value() == result.has_value());
  mux.OnLost();
  Require(mux.stream_count() == 0);
}

}  // namespace
}  // namespace basilsill::wire

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::span bytes(reinterpret_cast<const char*>(data), size);
  basilsill::wire::FuzzCodec(bytes);
  basilsill::wire::FuzzMux(basilsill::wire::LinkSide::kConnector, bytes);
  basilsill::wire::FuzzMux(basilsill::wire::LinkSide::kAcceptor, bytes);
  return 0;
}
