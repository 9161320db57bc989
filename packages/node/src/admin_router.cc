#include "admin_router.h"

#include <algorithm>

namespace basilsill {
namespace {

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

bool Matches(const AdminRoute& route, std::string_view path) {
  return route.path.ends_with('/') ? path.starts_with(route.path)
                                   : path == route.path;
}

}  // namespace

std::string_view AdminRequest::Header(std::string_view name) const {
  const auto found = std::find_if(
      this->headers.begin(), this->headers.end(),
      [name](const HttpHeader& h) { return EqualIgnoringCase(h.name, name); });
  return found == this->headers.end() ? std::string_view() : found->value;
}

std::string_view AdminRequest::Parameter(std::string_view name) const {
  std::string_view rest = this->query;
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
    const size_t separator = std::min(pair.find('='), pair.size());
    if (pair.substr(0, separator) == name) {
      return pair.substr(std::min(separator + 1, pair.size()));
    }
  }
  return {};
}

void AdminRouter::Add(AdminRoute route) {
  this->routes.push_back(std::move(route));
}

std::variant<const AdminRoute*, NoRoute> AdminRouter::Find(
    std::string_view method,
    std::string_view path) const {
  const std::string_view effective_method = method == "HEAD" ? "GET" : method;
  const AdminRoute* best = nullptr;
  NoRoute no_route;
  size_t longest = 0;
  for (const AdminRoute& route : this->routes) {
    if (!Matches(route, path) || route.path.size() < longest) {
      continue;
    }
    if (route.path.size() > longest) {
      longest = route.path.size();
      best = nullptr;
      no_route = {};
    }
    if (route.method == effective_method) {
      best = &route;
    }
    no_route.allowed_methods +=
        (no_route.allowed_methods.empty() ? "" : ", ") + route.method;
  }
  if (best != nullptr) {
    return best;
  }
  return no_route;
}

AdminHandler SynchronousHandler(
    std::function<AdminResponse(const AdminRequest&)> make) {
  return
      [make = std::move(make)](const AdminRequest& request)
          -> boost::asio::awaitable<AdminResponse> { co_return make(request); };
}

}  // namespace basilsill
