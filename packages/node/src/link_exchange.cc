#include "link_exchange.h"

#include <array>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>

namespace basilsill {
namespace {

// The refusal of a request whose link was lost.
constexpr std::array<Refusal, static_cast<size_t>(wire::StreamProgress::kCount)>
    kRefusalByProgress = {
        Refusal::kPeerUnreachable,  // kNeverSent
        Refusal::kPeerLost,         // kSent
        Refusal::kPeerLost,         // kAnswering
};

}  // namespace

LinkExchange::LinkExchange(PeerLinkPtr link,
                           LinkStreamPtr stream,
                           RequestMessage& request,
                           AnswerSink& sink)
    : link(std::move(link)),
      stream(std::move(stream)),
      request(request),
      sink(sink),
      body_sent(this->link->executor()) {}

Task<ServeOutcome> LinkExchange::Run(size_t inlined) {
  const bool more = this->request.source != nullptr ||
                    inlined < this->request.whole_body.size();
  if (more) {
    boost::asio::co_spawn(
        this->link->executor(), this->SendBody(inlined),
        [this](const std::exception_ptr& /*error*/) { this->body_sent.Set(); });
  }
  this->request.on_caller_gone = [this] {
    wire::LinkEvent gone;
    gone.kind = wire::LinkEventKind::kCancelled;
    this->stream->Deliver(std::move(gone));
  };
  this->request.has_whole_answer = [this] { return this->HasWholeAnswer(); };
  this->request.on_withdrawn = [this] { this->link->Withdraw(*this->stream); };
  this->request.sends.Begin();
  const ServeOutcome result = co_await this->ReceiveAnswer();
  this->request.on_caller_gone = nullptr;
  this->request.on_withdrawn = nullptr;
  this->request.has_whole_answer = nullptr;
  if (more) {
    co_await this->StopBody();
  }
  this->link->Cancel(*this->stream);
  co_return result;
}

Task<void> LinkExchange::SendBody(size_t inlined) {
  LinkBodyWriter writer(this->link, this->stream);
  if (this->request.source == nullptr) {
    const std::span<const char> rest =
        std::span(this->request.whole_body).subspan(inlined);
    const bool written = co_await writer.Write(rest);
    if (written) {
      writer.Finish(nullptr);
    }
    co_return;
  }
  std::vector<char> buffer(limits::kBodyChunkBytes);
  BodyPiece piece;
  do {
    piece = co_await this->request.source->Read(buffer);
    if (!piece.ok) {
      // The caller's body broke off. The dispatcher does not get its end, so it
      // can't take the body for complete, and the cancellation makes it break
      // off the request at the upstream.
      this->link->Cancel(*this->stream);
      this->request.on_caller_gone();
      co_return;
    }
    const bool written =
        co_await writer.Write(std::span(buffer.data(), piece.size));
    if (!written) {
      co_return;
    }
  } while (!piece.last);
  writer.Finish(this->request.source->trailers());
}

// Stops sending the body: an upstream may answer without reading all of it.
Task<void> LinkExchange::StopBody() {
  this->stream->closed = true;
  this->stream->writable.Set();
  if (this->request.source != nullptr) {
    this->request.source->Stop();
  }
  co_await this->body_sent.Wait();
}

Task<ServeOutcome> LinkExchange::ReceiveAnswer() {
  Step step = Step::kContinue;
  while (step == Step::kContinue) {
    wire::LinkEvent event = co_await this->stream->Next();
    switch (event.kind) {
      case wire::LinkEventKind::kAnswered:
        step = co_await this->OnAnswer(
            std::get<wire::Answer>(std::move(event.message)));
        break;
      case wire::LinkEventKind::kData:
        step = co_await this->OnData(
            std::get<wire::Data>(std::move(event.message)));
        break;
      case wire::LinkEventKind::kEnded:
        step = co_await this->OnEnd(std::get<wire::End>(event.message));
        break;
      case wire::LinkEventKind::kRefused:
        this->OnRefused(std::get<wire::Refused>(event.message));
        step = Step::kDone;
        break;
      case wire::LinkEventKind::kCancelled:
        this->outcome.refusal = Refusal::kCallerGone;
        step = Step::kDone;
        break;
      case wire::LinkEventKind::kReset:
        this->OnLost(wire::StreamProgress::kAnswering);
        step = Step::kDone;
        break;
      case wire::LinkEventKind::kLost:
        this->OnLost(event.progress);
        step = Step::kDone;
        break;
      default:
        break;
    }
  }
  co_return this->outcome;
}

LinkExchange::Step LinkExchange::NextStep(bool receiver_there, bool last) {
  if (!receiver_there) {
    this->outcome.answered = true;
    this->outcome.refusal = Refusal::kCallerGone;
    return Step::kDone;
  }
  this->outcome.answered = this->outcome.answered || last;
  return last ? Step::kDone : Step::kContinue;
}

Task<LinkExchange::Step> LinkExchange::OnAnswer(wire::Answer answer) {
  AnswerHead head;
  head.status = answer.status;
  head.reason = std::move(answer.phrase);
  head.headers = FromHeaderList(answer.headers);
  head.framing = FromWireFraming(answer.framing);
  this->answer_started = true;
  this->answer_ended = answer.end;
  const bool receiver_there =
      co_await this->sink.Start(head, answer.body, answer.end);
  this->link->Consumed(*this->stream, answer.body.size());
  co_return this->NextStep(receiver_there, answer.end);
}

Task<LinkExchange::Step> LinkExchange::OnData(wire::Data data) {
  // The end often arrives directly after the last piece; both are then written
  // together.
  const bool ends =
      !this->stream->events.empty() &&
      this->stream->events.front().kind == wire::LinkEventKind::kEnded;
  HttpFields trailers;
  if (ends) {
    trailers = FromHeaderList(
        std::get<wire::End>(this->stream->events.front().message).trailers);
    this->stream->events.pop_front();
  }
  const bool receiver_there =
      co_await this->sink.Continue(data.bytes, ends, &trailers);
  this->link->Consumed(*this->stream, data.bytes.size());
  co_return this->NextStep(receiver_there, ends);
}

Task<LinkExchange::Step> LinkExchange::OnEnd(const wire::End& end) {
  const HttpFields trailers = FromHeaderList(end.trailers);
  const bool receiver_there = co_await this->sink.Continue({}, true, &trailers);
  co_return this->NextStep(receiver_there, true);
}

// The events of a stream that follow its end are dropped, so the end is last.
bool LinkExchange::HasWholeAnswer() const {
  const auto& events = this->stream->events;
  const bool end_arrived =
      !events.empty() && events.back().kind == wire::LinkEventKind::kEnded;
  return this->answer_ended || (this->answer_started && end_arrived);
}

void LinkExchange::OnRefused(const wire::Refused& refused) {
  this->outcome.refusal = refused.refusal;
  this->outcome.retry_after = refused.retry_after;
  this->outcome.sends = refused.sends;
  this->outcome.source = SourceAtDispatcher(refused.refusal);
  if (refused.not_run) {
    this->request.sends.EndAsNotRun();
  }
}

void LinkExchange::OnLost(wire::StreamProgress progress) {
  if (this->answer_started) {
    this->sink.Break();
    this->outcome.answered = true;
    this->outcome.refusal = Refusal::kPeerLost;
    return;
  }
  if (progress == wire::StreamProgress::kNeverSent) {
    this->request.sends.EndAsNotRun();
  }
  this->outcome.refusal = kRefusalByProgress.at(static_cast<size_t>(progress));
}

}  // namespace basilsill
