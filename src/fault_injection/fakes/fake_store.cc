#include "fault_injection/fakes/fake_store.h"

#include <algorithm>
#include <string_view>

#include "fault_injection/fakes/fake_server_limits.h"

namespace zinclead::fault_injection {
namespace {

using wire::Json;

constexpr size_t kMaxListedItems = 1000;
constexpr size_t kMaxListedBytes = size_t{512} * 1024;
constexpr std::string_view kKeyPathPrefix = "/store/";
constexpr std::string_view kLeasePathPrefix = "/grants/";

std::map<std::string, std::string> ParseQuery(const std::string& query) {
  std::map<std::string, std::string> parameters;
  size_t begin = 0;
  while (begin < query.size()) {
    const size_t end = std::min(query.find('&', begin), query.size());
    const std::string parameter = query.substr(begin, end - begin);
    const size_t equals = parameter.find('=');
    if (equals != std::string::npos) {
      parameters[parameter.substr(0, equals)] = parameter.substr(equals + 1);
    }
    begin = end + 1;
  }
  return parameters;
}

void Send(const net::ResponderPtr& responder, const FakeStore::Response& response) {
  responder->Send({response.status, 0, response.body.dump()});
}

// Lists no events: after the response, clients read the watched keys.
Json WatchBody(uint64_t revision) { return {{"ledger", revision}, {"events", Json::array()}}; }

}  // namespace

FakeStore::FakeStore(net::EventLoop* loop)
    : loop_(loop),
      server_(loop, "127.0.0.1", 0, kFakeServerLimits,
              [this](const net::ServerRequest& request, const net::ResponderPtr& responder) {
                OnRequest(request, responder);
              }) {}

void FakeStore::OnRequest(const net::ServerRequest& request, const net::ResponderPtr& responder) {
  const std::string& path = request.path;
  if (path == "/commit") return OnCompareAndSwap(request, responder);
  if (path == "/changes") return OnWatch(request, responder);
  if (path == "/store") return Send(responder, List(request.query));
  if (path.starts_with(kKeyPathPrefix)) {
    return Send(responder, Get(path.substr(kKeyPathPrefix.size())));
  }
  if (path == "/grants") return Send(responder, GrantLease(request.body));
  if (path.starts_with(kLeasePathPrefix)) {
    const uint64_t id = std::stoull(path.substr(kLeasePathPrefix.size()));
    return Send(responder, RenewOrRevokeLease(request.method, id));
  }
  Send(responder, {400, Json::object()});
}

void FakeStore::OnCompareAndSwap(const net::ServerRequest& request,
                                 const net::ResponderPtr& responder) {
  const Json body = Json::parse(request.body);
  switch (fault_injector_ ? fault_injector_(body) : InjectedFault::kNormal) {
    case InjectedFault::kNormal:
      return Send(responder, CompareAndSwap(body));
    case InjectedFault::kExecutedWithoutResponse:
      CompareAndSwap(body);
      unanswered_responders_.push_back(responder);
      return;
    case InjectedFault::kNotExecutedWithoutResponse:
      unanswered_responders_.push_back(responder);
      return;
    case InjectedFault::kMalformed:
      return Send(responder, {400, {{"error", "too large"}}});
    case InjectedFault::kRefused:
      return Send(responder, {503, {{"error", "trouble"}}});
    case InjectedFault::kTooManyRequests:
      return Send(responder, {429, {{"error", "too many requests"}}});
  }
}

FakeStore::Response FakeStore::CompareAndSwap(const Json& request) {
  ++compare_and_swap_count_;
  Json failed = Json::array();
  for (const Json& precondition : request["when"]) {
    const Json& key = precondition["path"];
    if (VersionOf(key.get<std::string>()) != precondition["stamp"].get<uint64_t>()) {
      failed.push_back(key);
    }
  }
  for (const Json& write : request["writes"]) {
    if (write.contains("tenure") && !leases_.contains(write["tenure"].get<uint64_t>())) {
      return {400, {{"error", "no such lease"}}};
    }
  }
  if (!failed.empty()) return {409, {{"failed", failed}, {"ledger", revision_}}};
  if (!request["writes"].empty()) ++revision_;
  for (const Json& write : request["writes"]) Apply(write);
  NotifyWatches();
  return {200, {{"ledger", revision_}}};
}

uint64_t FakeStore::VersionOf(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? 0 : it->second.version;
}

void FakeStore::Apply(const Json& write) {
  if (write.contains("put")) {
    entries_[write["put"]] = {write["value"], revision_, write.value("tenure", uint64_t{0})};
  } else {
    entries_.erase(write["delete"].get<std::string>());
  }
}

FakeStore::Response FakeStore::Get(const std::string& key) const {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return {404, {{"ledger", revision_}}};
  return {200, {{"path", key}, {"value", it->second.value}, {"stamp", it->second.version}}};
}

FakeStore::Response FakeStore::List(const std::string& query) const {
  const auto parameters = ParseQuery(query);
  const std::string& prefix = parameters.at("prefix");
  const auto from = parameters.find("from");
  Json items = Json::array();
  size_t bytes = 0;
  bool is_truncated = false;
  for (const auto& [key, entry] : entries_) {
    if (!key.starts_with(prefix)) continue;
    if (from != parameters.end() && key <= from->second) continue;
    Json item = {{"path", key}, {"value", entry.value}, {"stamp", entry.version}};
    bytes += item.dump().size();
    is_truncated = items.size() == kMaxListedItems || bytes > kMaxListedBytes;
    if (is_truncated) break;
    items.push_back(std::move(item));
  }
  return {200, {{"entries", items}, {"truncated", is_truncated}, {"ledger", revision_}}};
}

FakeStore::Response FakeStore::GrantLease(const std::string& body) {
  const uint64_t id = ++last_lease_;
  leases_[id].ttl_s = Json::parse(body)["lifeMs"].get<double>() / 1000;
  StartLeaseTimer(id);
  return {200, {{"tenure", id}}};
}

FakeStore::Response FakeStore::RenewOrRevokeLease(const std::string& method, uint64_t id) {
  if (!leases_.contains(id)) return {404, Json::object()};
  if (method == "DELETE") {
    EndLease(id);
  } else {
    StartLeaseTimer(id);
  }
  return {200, {{"tenure", id}}};
}

void FakeStore::StartLeaseTimer(uint64_t id) {
  Lease& lease = leases_[id];
  if (!lease.timer) lease.timer = std::make_unique<net::EventLoop::Timer>();
  loop_->StartTimer(lease.timer.get(), lease.ttl_s, [this, id] { EndLease(id); });
}

void FakeStore::EndLease(uint64_t id) {
  leases_.erase(id);
  const size_t deleted =
      std::erase_if(entries_, [id](const auto& entry) { return entry.second.lease == id; });
  if (deleted == 0) return;
  ++revision_;
  NotifyWatches();
}

void FakeStore::OnWatch(const net::ServerRequest& request, const net::ResponderPtr& responder) {
  const uint64_t after = std::stoull(ParseQuery(request.query).at("from"));
  if (revision_ > after) return Send(responder, {200, WatchBody(revision_)});
  watches_.push_back(responder);
}

// Answers every watch after each change, whichever keys have changed.
void FakeStore::NotifyWatches() {
  for (const net::ResponderPtr& responder : std::exchange(watches_, {})) {
    Send(responder, {200, WatchBody(revision_)});
  }
}

}  // namespace zinclead::fault_injection
