#include "standins/state_service.h"

#include <algorithm>
#include <utility>

#include "standins/http.h"

namespace zinclead::review {
namespace {

using wire::Json;

constexpr size_t kMaxItems = 1000;
constexpr size_t kMaxListBytes = size_t{500} * 1024;
constexpr size_t kMaxChanges = 10'000;

net::Response Answer(int status, const Json& body) { return {status, 0, body.dump()}; }

}  // namespace

StateService::StateService(net::EventLoop* loop)
    : loop_(loop),
      server_(loop, "127.0.0.1", 0, kStandInLimits,
              [this](const net::ServerRequest& request, const net::ResponderPtr& responder) {
                OnRequest(request, responder);
              }) {}

std::map<std::string, Json> StateService::Find(const std::string& text) const {
  std::map<std::string, Json> found;
  for (const auto& [key, entry] : entries_) {
    if (key.find(text) != std::string::npos) found[key] = entry.value;
  }
  return found;
}

void StateService::Restore(const std::string& key, const Json& value) {
  ++ledger_;
  entries_[key] = {value, ledger_, 0};
}

void StateService::OnRequest(const net::ServerRequest& request,
                             const net::ResponderPtr& responder) {
  const auto query = ParseQuery(request.query);
  if (request.path == "/commit") return responder->Send(Commit(request.body));
  if (request.path == "/changes") return StartWatch(query, responder);
  if (request.path == "/store") return responder->Send(List(query));
  if (request.path.starts_with("/store/")) return responder->Send(Get(request.path.substr(7)));
  if (request.path == "/grants") return responder->Send(Grant(request.body));
  if (request.path.starts_with("/grants/")) {
    return responder->Send(TouchOrDelete(request.method, request.path.substr(8)));
  }
  responder->Send(Answer(400, Json::object()));
}

net::Response StateService::Get(const std::string& key) const {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return Answer(404, {{"ledger", ledger_}});
  Json body{{"path", key}, {"value", it->second.value}, {"stamp", it->second.stamp}};
  if (it->second.tenure != 0) body["tenure"] = it->second.tenure;
  return Answer(200, body);
}

net::Response StateService::List(const std::map<std::string, std::string>& query) const {
  const auto value = [&](const char* name) {
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
  };
  const std::string prefix = value("prefix");
  const std::string from = value("from");
  const size_t most =
      value("most").empty() ? kMaxItems : std::min<size_t>(kMaxItems, std::stoul(value("most")));
  Json items = Json::array();
  size_t bytes = 0;
  bool truncated = false;
  for (auto it = entries_.upper_bound(from.empty() ? prefix : from); it != entries_.end(); ++it) {
    const auto& [key, entry] = *it;
    if (!key.starts_with(prefix)) break;
    Json item{{"path", key}, {"value", entry.value}, {"stamp", entry.stamp}};
    bytes += item.dump().size();
    truncated = items.size() == most || bytes > kMaxListBytes;
    if (truncated) break;
    items.push_back(std::move(item));
  }
  return Answer(200, {{"entries", items}, {"truncated", truncated}, {"ledger", ledger_}});
}

net::Response StateService::Commit(const std::string& body) {
  const Json request = Json::parse(body, nullptr, false);
  if (!request.is_object() || body.size() > size_t{64} * 1024) {
    return Answer(400, {{"error", "malformed"}});
  }
  for (const Json& write : request["writes"]) {
    if (write.contains("tenure") && !leases_.contains(write["tenure"].get<uint64_t>())) {
      return Answer(400, {{"error", "no such lease"}});
    }
  }
  Json failed = Json::array();
  for (const Json& condition : request["when"]) {
    const auto it = entries_.find(condition["path"].get<std::string>());
    const uint64_t stamp = it == entries_.end() ? 0 : it->second.stamp;
    if (stamp != condition["stamp"].get<uint64_t>()) failed.push_back(condition["path"]);
  }
  if (!failed.empty()) return Answer(409, {{"failed", failed}, {"ledger", ledger_}});
  if (!request["writes"].empty()) ++ledger_;
  for (const Json& write : request["writes"]) {
    if (write.contains("put")) {
      Put(write["put"].get<std::string>(),
          {write["value"], ledger_, write.value("tenure", uint64_t{0})});
    } else {
      Delete(write["delete"].get<std::string>());
    }
  }
  AnswerWatches();
  return Answer(200, {{"ledger", ledger_}});
}

net::Response StateService::Grant(const std::string& body) {
  const Json request = Json::parse(body, nullptr, false);
  if (!request.is_object()) return Answer(400, {{"error", "malformed"}});
  const uint64_t tenure = ++last_tenure_;
  leases_[tenure].life_s = request["lifeMs"].get<double>() / 1000;
  StartLeaseTimer(tenure);
  return Answer(200, {{"tenure", tenure}});
}

net::Response StateService::TouchOrDelete(const std::string& method, const std::string& rest) {
  const uint64_t tenure = std::stoull(rest);
  if (!leases_.contains(tenure)) return Answer(404, Json::object());
  if (method == "DELETE") {
    EndLease(tenure);
  } else {
    StartLeaseTimer(tenure);
  }
  return Answer(200, {{"tenure", tenure}});
}

void StateService::StartWatch(const std::map<std::string, std::string>& query,
                              const net::ResponderPtr& responder) {
  const auto number = [&](const char* name) {
    const auto it = query.find(name);
    return it == query.end() ? uint64_t{0} : std::stoull(it->second);
  };
  const std::string prefix = query.contains("prefix") ? query.at("prefix") : std::string();
  const uint64_t from = number("from");
  if (!changes_.empty() && changes_.size() == kMaxChanges && from + 1 < changes_.front().stamp) {
    return responder->Send(Answer(410, {{"ledger", ledger_}}));
  }
  Json events = EventsAfter(prefix, from);
  if (!events.empty()) {
    return responder->Send(Answer(200, {{"ledger", ledger_}, {"events", std::move(events)}}));
  }
  watches_.emplace_back();
  const auto watch = std::prev(watches_.end());
  watch->prefix = prefix;
  watch->from = from;
  watch->responder = responder;
  loop_->StartTimer(&watch->timer, static_cast<double>(number("waitMs")) / 1000, [this, watch] {
    const net::ResponderPtr waiting = watch->responder;
    watches_.erase(watch);
    waiting->Send(Answer(200, {{"ledger", ledger_}, {"events", Json::array()}}));
  });
}

Json StateService::EventsAfter(const std::string& prefix, uint64_t from) const {
  Json events = Json::array();
  for (const Change& change : changes_) {
    if (change.stamp > from && change.key.starts_with(prefix)) events.push_back(change.event);
  }
  return events;
}

void StateService::StartLeaseTimer(uint64_t tenure) {
  Lease& lease = leases_[tenure];
  loop_->StartTimer(&lease.timer, lease.life_s, [this, tenure] { EndLease(tenure); });
}

void StateService::EndLease(uint64_t tenure) {
  leases_.erase(tenure);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.tenure == tenure) keys.push_back(key);
  }
  if (keys.empty()) return;
  ++ledger_;
  for (const std::string& key : keys) Delete(key);
  AnswerWatches();
}

void StateService::Put(const std::string& key, Entry entry) {
  changes_.push_back({ledger_, key, {{"put", key}, {"value", entry.value}, {"stamp", ledger_}}});
  if (changes_.size() > kMaxChanges) changes_.pop_front();
  entries_[key] = std::move(entry);
}

void StateService::Delete(const std::string& key) {
  if (entries_.erase(key) == 0) return;
  changes_.push_back({ledger_, key, {{"delete", key}, {"stamp", ledger_}}});
  if (changes_.size() > kMaxChanges) changes_.pop_front();
}

void StateService::AnswerWatches() {
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    Json events = EventsAfter(watch->prefix, watch->from);
    if (events.empty()) {
      ++watch;
      continue;
    }
    watch->responder->Send(Answer(200, {{"ledger", ledger_}, {"events", std::move(events)}}));
    watch = watches_.erase(watch);
  }
}

}  // namespace zinclead::review
