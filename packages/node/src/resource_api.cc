#include "resource_api.h"

#include <optional>
#include <string>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "admin_responses.h"
#include "basilsill/base/text.h"
#include "resource_document.h"

namespace basilsill {
namespace {

namespace json = boost::json;
using boost::asio::awaitable;
using std::chrono::milliseconds;

constexpr std::string_view kPrefix = "/api/v1/";
constexpr milliseconds kChangeTimeout{8000};
constexpr milliseconds kWatchIdle{15000};
constexpr milliseconds kInForcePoll{200};
constexpr size_t kEventsPerPage = 256;
constexpr size_t kMaxChangeIdBytes = 64;

std::string Line(const json::object& object) {
  return json::serialize(object) + "\n";
}

AdminResponse JsonResponse(uint16_t status, const json::object& object) {
  AdminResponse response;
  response.head.status = status;
  response.body = Line(object);
  return response;
}

// What a path below the prefix names.
struct ResourcePath {
  ResourceKind kind = ResourceKind::kCount;
  std::string name;  ///< Empty for the whole kind.
};

ResourcePath ParsePath(const AdminRequest& request) {
  const std::string_view rest =
      std::string_view(request.path).substr(kPrefix.size());
  const size_t slash = rest.find('/');
  const std::optional<ResourceKind> kind = KindOfPath(rest.substr(0, slash));
  if (!kind) {
    throw FailureError({FailureKind::kNotFound, request.path, "no such kind"});
  }
  ResourcePath path{*kind, ""};
  if (slash != std::string_view::npos) {
    path.name = std::string(rest.substr(slash + 1));
  }
  return path;
}

ResourceId ParseId(const AdminRequest& request) {
  const ResourcePath path = ParsePath(request);
  if (!IsResourceName(path.name)) {
    throw FailureError(
        {FailureKind::kNotFound, request.path, "not the name of a resource"});
  }
  return {path.kind, path.name};
}

uint64_t NeedNumber(std::string_view text, const std::string& where) {
  const std::optional<uint64_t> number = ParseNumber<uint64_t>(text);
  if (!number) {
    throw FailureError({FailureKind::kSyntax, where, "not a whole number"});
  }
  return *number;
}

// @returns the version in `If-Match: "17"`, absent without that header.
std::optional<uint64_t> ParseIfMatch(const AdminRequest& request) {
  std::string_view tag = request.Header("If-Match");
  if (tag.empty()) {
    return std::nullopt;
  }
  if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"') {
    tag = tag.substr(1, tag.size() - 2);
  }
  return NeedNumber(tag, "If-Match");
}

// @returns the client's name for this change, empty without one.
std::string ParseChangeId(const AdminRequest& request) {
  const std::string_view id = request.Header("Change-Id");
  if (id.size() > kMaxChangeIdBytes) {
    throw FailureError(
        {FailureKind::kOutOfRange, "Change-Id", "longer than an id may be"});
  }
  return std::string(id);
}

AdminResponse OutcomeFailure(const ChangeOutcome& outcome) {
  std::vector<Failure> failures = outcome.failures;
  const auto add = [&failures](FailureKind kind, std::string detail) {
    if (failures.empty()) {
      failures.push_back({kind, "", std::move(detail)});
    }
  };
  switch (outcome.status) {
    case ChangeStatus::kConflict:
      add(FailureKind::kConflict, "another change came first");
      return FailureResponse(StatusOf(FailureKind::kConflict), failures);
    case ChangeStatus::kRejected:
      add(FailureKind::kOutOfRange, "not valid");
      return FailureResponse(StatusOf(failures.front().kind), failures);
    case ChangeStatus::kVoid:
      add(FailureKind::kPlatformUnavailable, "the change had no effect");
      break;
    default:
      // First of all that is known, since the status follows it: the change is
      // still open, whatever else stands against it.
      failures.insert(failures.begin(),
                      {FailureKind::kUnresolved, "",
                       "the change may or may not take effect"});
      break;
  }
  return FailureResponse(StatusOf(failures.front().kind), failures);
}

// Handlers of the API. Lives as long as the router that calls it.
class ResourceApi {
 public:
  ResourceApi(Control& control, LogSource& log) : control(control), log(log) {}

  awaitable<AdminResponse> Get(const AdminRequest& request) const {
    const ResourcePath path = ParsePath(request);
    if (path.name.empty()) {
      co_return this->List(path.kind);
    }
    const ResourceId id = ParseId(request);
    co_return this->Show(200, id);
  }

  awaitable<AdminResponse> Put(const AdminRequest& request) const {
    this->RequireReady();
    Change change;
    change.resource = ParseId(request);
    change.base = ParseIfMatch(request);
    CheckedResult<Resource> resource =
        ReadResource(change.resource, request.body);
    if (!resource) {
      const std::vector<Failure>& faults = resource.error();
      co_return FailureResponse(StatusOf(faults.front().kind), faults);
    }
    change.body = std::move(resource).value();
    const ResourceId id = change.resource;
    const uint16_t status = change.base ? 200 : 201;
    const std::string change_id = ParseChangeId(request);
    const ChangeOutcome outcome =
        co_await this->Propose(std::move(change), change_id);
    if (outcome.status != ChangeStatus::kAccepted) {
      co_return OutcomeFailure(outcome);
    }
    co_return this->Show(status, id);
  }

  awaitable<AdminResponse> Delete(const AdminRequest& request) const {
    this->RequireReady();
    Change change;
    change.resource = ParseId(request);
    change.base = ParseIfMatch(request);
    if (!change.base) {
      throw FailureError({FailureKind::kSyntax, "If-Match",
                          "a deletion names the version it deletes"});
    }
    const std::string change_id = ParseChangeId(request);
    if (change_id.empty()) {
      // With an id, a deletion that was accepted already is told so.
      this->Find(change.resource);
    }
    const ChangeOutcome outcome =
        co_await this->Propose(std::move(change), change_id);
    if (outcome.status != ChangeStatus::kAccepted) {
      co_return OutcomeFailure(outcome);
    }
    co_return JsonResponse(200, {{"version", *outcome.version}});
  }

  awaitable<AdminResponse> Status(const AdminRequest& /*request*/) const {
    co_return JsonResponse(200, MakeStatusDocument(this->control, this->log));
  }

  awaitable<void> Watch(const AdminRequest& request,
                        AdminStream& stream) const {
    uint64_t next = NeedNumber(request.Parameter("from"), "from");
    AdminHead head;
    head.content_type = "application/x-ndjson";
    stream.SetHead(std::move(head));
    std::vector<WatchEvent> waiting;
    TimePoint spoken = MonotonicClock::now();
    for (;;) {
      const WatchPage page = this->log.feed().Read(next, kEventsPerPage);
      next = page.next;
      std::string lines = this->EventLines(page);
      waiting.insert(waiting.end(), page.events.begin(), page.events.end());
      lines += this->InForceLines(waiting, next);
      const TimePoint now = MonotonicClock::now();
      if (page.must_restart) {
        lines += Line({{"event", "restart"}, {"next", next}});
      } else if (lines.empty() && now - spoken >= kWatchIdle) {
        lines = Line({{"event", "idle"}, {"next", next}});
      }
      if (!lines.empty()) {
        co_await stream.Write(lines);
        spoken = now;
      }
      if (page.must_restart) {
        co_return;
      }
      const milliseconds patience = waiting.empty() ? kWatchIdle : kInForcePoll;
      co_await this->log.configuration_host().AwaitBeyond(next, patience);
    }
  }

 private:
  void RequireReady() const {
    if (!this->control.ready()) {
      throw FailureError({FailureKind::kPlatformUnavailable, "",
                          "this node has no configuration yet"});
    }
  }

  // @param id The client's name for the change; empty: it gave none.
  awaitable<ChangeOutcome> Propose(Change change, const std::string& id) const {
    ConfigurationHost& host = this->log.configuration_host();
    const bool may_be_resend = !id.empty();
    change.id = may_be_resend ? id : host.NewChangeId();
    change.made_at = std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
    return host.Propose(std::move(change), kChangeTimeout, may_be_resend);
  }

  const ResourceEntry& Find(const ResourceId& id) const {
    const ResourceEntry* entry = this->log.follower().state().Find(id);
    if (entry == nullptr) {
      throw FailureError(
          {FailureKind::kNotFound, "/" + id.name, "no such resource"});
    }
    return *entry;
  }

  AdminResponse Show(uint16_t status, const ResourceId& id) const {
    const ResourceEntry& entry = this->Find(id);
    AdminResponse response =
        JsonResponse(status, MakeResourceDocument(this->control, id, entry));
    response.head.headers.push_back(
        {"ETag", "\"" + std::to_string(entry.version) + "\""});
    return response;
  }

  AdminResponse List(ResourceKind kind) const {
    const ConfigurationState& state = this->log.follower().state();
    json::array resources;
    for (const auto& [name, entry] : state.Table(kind)) {
      resources.emplace_back(
          MakeResourceDocument(this->control, {kind, name}, entry));
    }
    return JsonResponse(200, {{"next", state.next_offset()},
                              {"resources", std::move(resources)}});
  }

  std::string EventLines(const WatchPage& page) const {
    std::string lines;
    for (const WatchEvent& event : page.events) {
      const ResourceEntry* entry = this->log.follower().state().Find(event.id);
      json::object object{{"next", event.offset + 1}};
      if (event.body == nullptr) {
        object["event"] = "delete";
        object["kind"] = PathNameOf(event.id.kind);
        object["name"] = event.id.name;
        object["version"] = event.offset;
      } else {
        // A later change may have replaced it; the event shows what it was.
        ResourceEntry shown = entry != nullptr ? *entry : ResourceEntry{};
        shown.version = event.offset;
        shown.resource = event.body;
        object["event"] = "put";
        object["resource"] =
            MakeResourceDocument(this->control, event.id, shown);
      }
      lines += Line(object);
    }
    return lines;
  }

  // Takes out of `waiting` what is in force everywhere by now.
  std::string InForceLines(std::vector<WatchEvent>& waiting,
                           uint64_t next) const {
    std::string lines;
    std::erase_if(waiting, [&](const WatchEvent& event) {
      const bool everywhere =
          this->control.in_force().StatusOf(event.offset).everywhere;
      if (everywhere) {
        lines += Line({{"event", "in-force"},
                       {"kind", PathNameOf(event.id.kind)},
                       {"name", event.id.name},
                       {"version", event.offset},
                       {"next", next}});
      }
      return everywhere;
    });
    return lines;
  }

  Control& control;
  LogSource& log;
};

}  // namespace

void AddResourceRoutes(AdminRouter& router, Control& control, LogSource& log) {
  const auto api = std::make_shared<ResourceApi>(control, log);
  const std::string prefix(kPrefix);
  router.Add({"GET", prefix, AdminHandler([api](const AdminRequest& request) {
                return api->Get(request);
              })});
  router.Add({"PUT", prefix, AdminHandler([api](const AdminRequest& request) {
                return api->Put(request);
              })});
  router.Add(
      {"DELETE", prefix, AdminHandler([api](const AdminRequest& request) {
         return api->Delete(request);
       })});
  router.Add({"GET", prefix + "status",
              AdminHandler([api](const AdminRequest& request) {
                return api->Status(request);
              })});
  router.Add({"GET", prefix + "watch",
              AdminStreamHandler(
                  [api](const AdminRequest& request, AdminStream& stream) {
                    return api->Watch(request, stream);
                  })});
}

}  // namespace basilsill
