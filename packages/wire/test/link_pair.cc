#include "link_pair.h"

#include <algorithm>
#include <utility>

#include "samples.h"

#include <CppUTest/TestHarness.h>

namespace basilsill::wire {

LinkEnd::LinkEnd(LinkMuxOptions options)
    : mux(LinkMux::Create(TimePoint(), std::move(options)).value()) {}

void LinkEnd::Collect() {
  std::vector<LinkEvent> events;
  this->mux.TakeEvents(events);
  std::move(events.begin(), events.end(),
            std::back_inserter(this->received_events));
}

size_t LinkEnd::Count(LinkEventKind kind) const {
  return std::count_if(
      this->received_events.begin(), this->received_events.end(),
      [kind](const LinkEvent& event) { return event.kind == kind; });
}

const LinkEvent& LinkEnd::Last(LinkEventKind kind) const {
  const auto found = std::find_if(
      this->received_events.rbegin(), this->received_events.rend(),
      [kind](const LinkEvent& event) { return event.kind == kind; });
  CHECK(found != this->received_events.rend());
  return *found;
}

LinkMuxOptions OptionsOf(LinkSide side) {
  LinkMuxOptions options;
  options.side = side;
  options.hello.vm = side == LinkSide::kConnector ? "lyulin-1" : "druzhba-1";
  return options;
}

LinkPair::LinkPair(uint32_t stream_window)
    : connector([stream_window] {
        LinkMuxOptions options = OptionsOf(LinkSide::kConnector);
        options.hello.stream_window = stream_window;
        return options;
      }()),
      acceptor(OptionsOf(LinkSide::kAcceptor)) {}

size_t LinkPair::Step(LinkEnd& from, LinkEnd& to) {
  FrameBuffer out;
  from.mux.TakeOutput(this->now, out);
  const Result<void> result = to.mux.OnBytes(this->now, BytesOf(out));
  if (!result) {
    this->failure = result.error();
  }
  to.Collect();
  from.Collect();
  return out.size();
}

void LinkPair::DeliverAll() {
  while (this->Step(this->connector, this->acceptor) +
             this->Step(this->acceptor, this->connector) >
         0) {
  }
}

StreamId LinkPair::OpenAndDeliver(Open open) {
  const StreamId id = this->connector.mux.OpenStream(std::move(open)).value();
  this->DeliverAll();
  return id;
}

Open OpenWith(BodyFraming framing) {
  Open open;
  open.method = "GET";
  open.target = "/";
  open.framing = framing;
  open.end = framing.kind == BodyKind::kNone;
  return open;
}

Answer AnswerWith(const StreamId& stream, BodyFraming framing) {
  Answer answer;
  answer.stream = stream;
  answer.status = 200;
  answer.framing = framing;
  answer.end = framing.kind == BodyKind::kNone;
  return answer;
}

}  // namespace basilsill::wire
