// Benchmark of messages between nodes: the encoder and the decoder alone, and a
// complete small request with its answer through two muxes. Not part of the
// tests. Results are comparable only within one run.

#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

#include "basilsill/wire/frame.h"
#include "basilsill/wire/link_mux.h"
#include "samples.h"

namespace basilsill::wire {
namespace {

/// Baseline: the cost of the copy that each iteration of EncodeMessage makes.
void CopyMessage(benchmark::State& state, const PeerMessage& message) {
  for (auto _ : state) {
    PeerMessage copy = message;
    benchmark::DoNotOptimize(copy);
  }
}

void EncodeMessage(benchmark::State& state, const PeerMessage& message) {
  FrameEncoder encoder;
  FrameBuffer buffer;
  for (auto _ : state) {
    buffer.Clear();
    encoder.Encode(message, buffer).value();
    benchmark::DoNotOptimize(buffer.size());
  }
  state.counters["bytes"] = static_cast<double>(buffer.size());
}

void DecodeMessage(benchmark::State& state, const PeerMessage& message) {
  const std::string bytes = BytesOf(std::span(&message, 1));
  FrameDecoder decoder;
  std::vector<PeerMessage> messages;
  for (auto _ : state) {
    messages.clear();
    decoder.Decode(bytes, messages).value();
    benchmark::DoNotOptimize(messages.data());
  }
}

PeerMessage LargeData() {
  return Data{{LinkSide::kConnector, 1, 1},
              Bytes(limits::kBodyChunkBytes, 'x')};
}

/// Transfers one batch of output of `from` to `to`.
void TransferOutput(LinkMux& from, LinkMux& to, FrameBuffer& out) {
  std::vector<std::span<const char>> parts;
  from.TakeOutput(TimePoint(), out);
  out.Gather(parts);
  for (const std::span<const char> part : parts) {
    to.OnBytes(TimePoint(), part).value();
  }
}

LinkMux MuxOf(LinkSide side) {
  LinkMuxOptions options;
  options.side = side;
  options.hello.vm = "lyulin-1";
  return LinkMux::Create(TimePoint(), options).value();
}

void RequestAndAnswer(benchmark::State& state) {
  LinkMux entry = MuxOf(LinkSide::kConnector);
  LinkMux dispatcher = MuxOf(LinkSide::kAcceptor);
  FrameBuffer out;
  std::vector<LinkEvent> events;
  Answer answer = SampleAnswer();
  answer.framing = {BodyKind::kKnown, 1024};
  answer.body = Bytes(1024, 'x');
  answer.end = true;
  TransferOutput(entry, dispatcher, out);
  TransferOutput(dispatcher, entry, out);
  for (auto _ : state) {
    answer.stream = entry.OpenStream(SampleOpen()).value();
    TransferOutput(entry, dispatcher, out);
    dispatcher.TakeEvents(events);
    dispatcher.SendAnswer(answer).value();
    TransferOutput(dispatcher, entry, out);
    entry.TakeEvents(events);
  }
}

BENCHMARK_CAPTURE(CopyMessage, Open, SampleOpen());
BENCHMARK_CAPTURE(EncodeMessage, Open, SampleOpen());
BENCHMARK_CAPTURE(DecodeMessage, Open, SampleOpen());
BENCHMARK_CAPTURE(CopyMessage, Answer, SampleAnswer());
BENCHMARK_CAPTURE(EncodeMessage, Answer, SampleAnswer());
BENCHMARK_CAPTURE(DecodeMessage, Answer, SampleAnswer());
BENCHMARK_CAPTURE(CopyMessage, Data32KiB, LargeData());
BENCHMARK_CAPTURE(EncodeMessage, Data32KiB, LargeData());
BENCHMARK_CAPTURE(DecodeMessage, Data32KiB, LargeData());
BENCHMARK(RequestAndAnswer);

}  // namespace
}  // namespace basilsill::wire

BENCHMARK_MAIN();
