// Sends many concurrent requests over one link that is read and written in
// pieces of random size, with a fixed seed. The dispatcher echoes each body.
// Failure: a request gets an incomplete body or octets of another request.

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>

#include <pcg_random.hpp>

#include "link_pair.h"
#include "samples.h"

#include <CppUTest/TestHarness.h>

namespace basilsill::wire {
namespace {

constexpr BodyFraming kStreamed{BodyKind::kStream, 0};
constexpr size_t kRequests = 400;
constexpr size_t kMaxConcurrent = 40;
constexpr uint32_t kMaxBodyLength = 300'000;
constexpr uint32_t kMaxPieceLength = 40'000;

/// The part of a body that is not sent yet.
struct Outgoing {
  Bytes left;
  bool complete = false;  ///< `left` is the end of the body.
};

/// A request in flight at the entry.
struct Request {
  Bytes sent;
  Bytes received;
};

template <typename Value>
using ByStream = std::unordered_map<StreamId, Value, StreamIdHash>;

}  // namespace

TEST_GROUP(LinkSoak) {
  LinkPair pair{64 * 1024};
  LinkEnd* ends[2] = {&this->pair.connector, &this->pair.acceptor};
  ByStream<Outgoing> outgoing[2];
  ByStream<Request> requests;
  pcg32 random{20240311};

  void StartRequest(size_t number) {
    const StreamId id =
        this->ends[0]->mux.OpenStream(OpenWith(kStreamed)).value();
    const char letter = static_cast<char>('a' + number % 26);
    const Bytes body(this->random(kMaxBodyLength), letter);
    this->outgoing[0][id] = {body, true};
    this->requests[id] = {body, {}};
  }

  void CancelOne() {
    const StreamId id = this->requests.begin()->first;
    this->ends[0]->mux.CancelStream(id);
    this->requests.erase(id);
    this->outgoing[0].erase(id);
  }

  /// Sends a piece of each body that is writable, and ends each completely sent
  /// body.
  void Push(size_t side) {
    LinkMux& mux = this->ends[side]->mux;
    for (auto entry = this->outgoing[side].begin();
         entry != this->outgoing[side].end();) {
      const StreamId id = entry->first;
      Outgoing& body = entry->second;
      const size_t size = std::min<size_t>(
          {mux.WritableBytes(id), body.left.size(), limits::kBodyChunkBytes,
           1 + this->random(kMaxPieceLength)});
      if (size > 0) {
        mux.SendData(id, body.left.substr(0, size)).value();
        body.left.erase(0, size);
      }
      const bool is_done = body.complete && body.left.empty();
      if (is_done) {
        mux.SendEnd(id).value();
      }
      entry = is_done ? this->outgoing[side].erase(entry) : std::next(entry);
    }
  }

  void OnEntryEvent(const LinkEvent& event) {
    if (event.kind == LinkEventKind::kReady) {
      return;
    }
    // Throws for an event of a request that is completed or was cancelled.
    Request& request = this->requests.at(event.stream);
    if (event.kind == LinkEventKind::kData) {
      request.received += std::get<Data>(event.message).bytes;
    } else if (event.kind == LinkEventKind::kEnded) {
      CHECK(request.received == request.sent);
      this->requests.erase(event.stream);
    }
  }

  void OnDispatcherEvent(const LinkEvent& event) {
    if (event.kind == LinkEventKind::kOpened) {
      const Answer answer = AnswerWith(event.stream, kStreamed);
      this->ends[1]->mux.SendAnswer(answer).value();
      this->outgoing[1][event.stream] = {};
    } else if (event.kind == LinkEventKind::kData) {
      this->outgoing[1][event.stream].left +=
          std::get<Data>(event.message).bytes;
    } else if (event.kind == LinkEventKind::kEnded) {
      this->outgoing[1][event.stream].complete = true;
    } else if (event.kind == LinkEventKind::kCancelled) {
      this->outgoing[1].erase(event.stream);
    }
  }

  /// Transfers one batch of output of `side` to the other side, in pieces.
  void Transfer(size_t side) {
    FrameBuffer out;
    this->ends[side]->mux.TakeOutput(TimePoint(), out);
    const std::string bytes = BytesOf(out);
    LinkEnd& to = *this->ends[1 - side];
    for (size_t start = 0; start < bytes.size();) {
      const size_t size = std::min<size_t>(bytes.size() - start,
                                           1 + this->random(kMaxPieceLength));
      const std::span<const char> piece(bytes.data() + start, size);
      to.mux.OnBytes(TimePoint(), piece).value();
      start += size;
    }
    to.Collect();
    for (const LinkEvent& event : std::exchange(to.received_events, {})) {
      side == 0 ? this->OnDispatcherEvent(event) : this->OnEntryEvent(event);
      if (event.kind == LinkEventKind::kData) {
        to.mux.Consumed(event.stream,
                        std::get<Data>(event.message).bytes.size());
      }
    }
  }
};

TEST(LinkSoak, Link_ManyRequestsInPieces_EachGetsItsOwnCompleteAnswer) {
  size_t started = 0;
  while (started < kRequests || !this->requests.empty()) {
    if (started < kRequests && this->requests.size() < kMaxConcurrent) {
      this->StartRequest(++started);
    }
    if (this->random(64) == 0 && !this->requests.empty()) {
      this->CancelOne();
    }
    for (size_t side = 0; side < 2; ++side) {
      this->Push(side);
      this->Transfer(side);
    }
  }
  this->Transfer(0);
  CHECK_EQUAL(0, this->ends[0]->mux.stream_count());
  CHECK_EQUAL(0, this->ends[1]->mux.stream_count());
}

}  // namespace basilsill::wire
