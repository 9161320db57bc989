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
constexpr milliseconds kWatchIdleInterval{15000};
constexpr milliseconds kInForcePollInterval{200};
constexpr size_t kEventsPerPage = 256;
constexpr size_t kMaxChangeIdBytes = 64;

std::string JsonLine(const json::object& object) {
  return json::serialize(object) + "\n";
}

AdminResponse JsonResponse(uint16_t status, const json::object& object) {
  AdminResponse response;
  response.head.status = status;
  response.body = JsonLine(object);
  return response;
}

// A parsed path below the prefix.
struct ResourcePath {
  ResourceKind kind = ResourceKind::kCount;
  std::string name;  ///< Empty: all resources of the kind.
};

ResourcePath ParsePath(const AdminRequest& request) {
  const std::string_view rest =
      std::string_view(request.path).substr(kPrefix.size());
  const size_t slash = rest.find('/');
  const std::optional<ResourceKind> kind = KindOfPath(rest.substr(0, slash));
  if (!kind) {
    throw FailureError(
        {FailureKind::kNotFound, request.path, "no such resource kind"});
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
        {FailureKind::kNotFound, request.path, "not a valid resource name"});
  }
  return {path.kind, path.name};
}

uint64_t RequireNumber(std::string_view text, const std::string& field) {
  const std::optional<uint64_t> number = ParseNumber<uint64_t>(text);
  if (!number) {
    throw FailureError(
        {FailureKind::kSyntax, field, "not a non-negative whole number"});
  }
  return *number;
}

// @returns the version in a header such as `If-Match: "17"`; none if the header
// is absent.
std::optional<uint64_t> ParseIfMatch(const AdminRequest& request) {
  std::string_view tag = request.Header("If-Match");
  if (tag.empty()) {
    return std::nullopt;
  }
  if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"') {
    tag = tag.substr(1, tag.size() - 2);
  }
  return RequireNumber(tag, "If-Match");
}

// @returns the client's id for this change, from the Change-Id header; empty if
// absent.
std::string ParseChangeId(const AdminRequest& request) {
  const std::string_view id = request.Header("Change-Id");
  if (id.size() > kMaxChangeIdBytes) {
    throw FailureError({FailureKind::kOutOfRange, "Change-Id",
                        "the change id exceeds 64 bytes"});
  }
  return std::string(id);
}

AdminResponse ChangeFailureResponse(const ChangeOutcome& outcome) {
  std::vector<Failure> failures = outcome.failures;
  const auto add = [&failures](FailureKind kind, std::string detail) {
    if (failures.empty()) {
      failures.push_back({kind, "", std::move(detail)});
    }
  };
  switch (outcome.status) {
    case ChangeStatus::kConflict:
      add(FailureKind::kConflict, "a conflicting change was accepted first");
      return FailureResponse(HttpStatusOf(FailureKind::kConflict), failures);
    case ChangeStatus::kRejected:
      add(FailureKind::kOutOfRange, "the change is not valid");
      return FailureResponse(HttpStatusOf(failures.front().kind), failures);
    case ChangeStatus::kVoid:
      add(FailureKind::kPlatformUnavailable, "the change had no effect");
      break;
    default:
      // Goes first, since the HTTP status follows the first failure: the
      // outcome of the change is open, whatever other failures there are.
      failures.insert(
          failures.begin(),
          {FailureKind::kUnresolved, "",
           "the outcome is unknown; the change may still take effect"});
      break;
  }
  return FailureResponse(HttpStatusOf(failures.front().kind), failures);
}

// Handlers of the API. The routes share ownership of it.
class ResourceApi {
 public:
  ResourceApi(Control& control, LogSource& log) : control(control), log(log) {}

  awaitable<AdminResponse> Get(const AdminRequest& request) const {
    const ResourcePath path = ParsePath(request);
    if (path.name.empty()) {
      co_return this->List(path.kind);
    }
    const ResourceId id = ParseId(request);
    co_return this->ResourceResponse(200, id);
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
      co_return FailureResponse(HttpStatusOf(faults.front().kind), faults);
    }
    change.body = std::move(resource).value();
    const ResourceId id = change.resource;
    const uint16_t status = change.base ? 200 : 201;
    const std::string change_id = ParseChangeId(request);
    const ChangeOutcome outcome =
        co_await this->Propose(std::move(change), change_id);
    if (outcome.status != ChangeStatus::kAccepted) {
      co_return ChangeFailureResponse(outcome);
    }
    co_return this->ResourceResponse(status, id);
  }

  awaitable<AdminResponse> Delete(const AdminRequest& request) const {
    this->RequireReady();
    Change change;
    change.resource = ParseId(request);
    change.base = ParseIfMatch(request);
    if (!change.base) {
      throw FailureError({FailureKind::kSyntax, "If-Match",
                          "a deletion requires the version to be deleted"});
    }
    const std::string change_id = ParseChangeId(request);
    if (change_id.empty()) {
      // Skipped for a deletion with an id, since it may be a retry of one that
      // was already accepted and must then report success instead of 404.
      this->Find(change.resource);
    }
    const ChangeOutcome outcome =
        co_await this->Propose(std::move(change), change_id);
    if (outcome.status != ChangeStatus::kAccepted) {
      co_return ChangeFailureResponse(outcome);
    }
    co_return JsonResponse(200, {{"version", *outcome.version}});
  }

  awaitable<AdminResponse> Status(const AdminRequest& /*request*/) const {
    co_return JsonResponse(200, MakeStatusDocument(this->control, this->log));
  }

  awaitable<void> Watch(const AdminRequest& request,
                        AdminStream& stream) const {
    uint64_t next = RequireNumber(request.Parameter("from"), "from");
    AdminHead head;
    head.content_type = "application/x-ndjson";
    stream.SetHead(std::move(head));
    std::vector<WatchEvent> pending;
    TimePoint last_write = MonotonicClock::now();
    for (;;) {
      const WatchPage page = this->log.feed().Read(next, kEventsPerPage);
      next = page.next;
      std::string lines = this->EventLines(page);
      pending.insert(pending.end(), page.events.begin(), page.events.end());
      lines += this->InForceLines(pending, next);
      const TimePoint now = MonotonicClock::now();
      if (page.must_restart) {
        lines += JsonLine({{"event", "restart"}, {"next", next}});
      } else if (lines.empty() && now - last_write >= kWatchIdleInterval) {
        lines = JsonLine({{"event", "idle"}, {"next", next}});
      }
      if (!lines.empty()) {
        co_await stream.Write(lines);
        last_write = now;
      }
      if (page.must_restart) {
        co_return;
      }
      const milliseconds timeout =
          pending.empty() ? kWatchIdleInterval : kInForcePollInterval;
      co_await this->log.configuration_host().AwaitBeyond(next, timeout);
    }
  }

 private:
  void RequireReady() const {
    if (!this->control.ready()) {
      throw FailureError({FailureKind::kPlatformUnavailable, "",
                          "this node has no configuration yet"});
    }
  }

  // @param id The client's id for the change; empty: one is generated.
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

  AdminResponse ResourceResponse(uint16_t status, const ResourceId& id) const {
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
        // A later change may have replaced the resource; the event shows the
        // version and body of its own change.
        ResourceEntry shown = entry != nullptr ? *entry : ResourceEntry{};
        shown.version = event.offset;
        shown.resource = event.body;
        object["event"] = "put";
        object["resource"] =
            MakeResourceDocument(this->control, event.id, shown);
      }
      lines += JsonLine(object);
    }
    return lines;
  }

  // Removes from `pending` the events that are in force on every VM.
  // @returns an in-force line for each of them.
  std::string InForceLines(std::vector<WatchEvent>& pending,
                           uint64_t next) const {
    std::string lines;
    std::erase_if(pending, [&](const WatchEvent& event) {
      const bool everywhere =
          this->control.in_force().StatusOf(event.offset).everywhere;
      if (everywhere) {
        lines += JsonLine({{"event", "in-force"},
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
