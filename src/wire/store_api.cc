#include "wire/store_api.h"

#include <utility>

#include "wire/field_names.h"
#include "wire/json_reader.h"

namespace zinclead::wire {
namespace {

// Error text of the state service's response for a lease that does not exist or has expired.
constexpr const char* kNoSuchLeaseError = "no such lease";
constexpr std::string_view kRenewSuffix = "/touch";

ParseResult<StoreItem> StoreItemFromJson(const Json& json) {
  StoreItem item;
  JsonReader reader(json);
  reader.String(field::kKey, &item.key);
  reader.Unsigned(field::kVersion, &item.version);
  if (!reader.ok()) return reader.Failure();
  // null is a valid value, so a null field does not count as missing.
  if (!json.contains(field::kValue)) return ParseFailure(field::kValue, "is missing");
  item.value = json[field::kValue];
  return item;
}

ParseResult<uint64_t> ParseUnsigned(std::string_view body, const char* name) {
  const Json json = ParseJson(body);
  JsonReader reader(json);
  uint64_t value = 0;
  reader.Unsigned(name, &value);
  return reader.Finish(value);
}

Json ToJson(const VersionPrecondition& condition) {
  return {{field::kKey, condition.key}, {field::kVersion, condition.version}};
}

Json ToJson(const StoreWrite& write) {
  if (!write.value) return Json{{field::kDelete, write.key}};
  Json put{{field::kPut, write.key}, {field::kValue, *write.value}};
  if (write.lease) put[field::kLease] = *write.lease;
  return put;
}

}  // namespace

ParseResult<StoreItem> ParseStoreItem(std::string_view body) {
  return StoreItemFromJson(ParseJson(body));
}

ParseResult<StorePage> ParseStorePage(std::string_view body) {
  const Json json = ParseJson(body);
  JsonReader reader(json);
  const Json* list = reader.Array(field::kItems);
  uint64_t revision = 0;
  bool more = false;
  reader.Unsigned(field::kRevision, &revision);
  reader.Bool(field::kTruncated, &more);
  if (!reader.ok()) return reader.Failure();
  return ParseItems<StoreItem>(*list, StoreItemFromJson).map([&](std::vector<StoreItem> items) {
    return StorePage{std::move(items), more, revision};
  });
}

std::string StoreKeyPath(const std::string& key) { return std::string(kStorePath) + "/" + key; }

std::string StoreListPath(const std::string& prefix, const std::string& after_key, int limit) {
  std::string path = std::string(kStorePath) + "?" + query::kPrefix + "=" + UrlEscape(prefix) +
                     "&" + query::kLimit + "=" + std::to_string(limit);
  if (!after_key.empty()) path += std::string("&") + query::kAfter + "=" + UrlEscape(after_key);
  return path;
}

std::string CompareAndSwapBody(const std::vector<VersionPrecondition>& conditions,
                               const std::vector<StoreWrite>& writes) {
  Json condition_list = Json::array();
  for (const VersionPrecondition& condition : conditions) {
    condition_list.push_back(ToJson(condition));
  }
  Json write_list = Json::array();
  for (const StoreWrite& write : writes) write_list.push_back(ToJson(write));
  return Dump(
      {{field::kConditions, std::move(condition_list)}, {field::kWrites, std::move(write_list)}});
}

ParseResult<uint64_t> ParseRevision(std::string_view body) {
  return ParseUnsigned(body, field::kRevision);
}

std::vector<std::string> ParseFailedKeys(std::string_view body) {
  return ParseList<std::string>(body, field::kFailedKeys, StringFromJson)
      .value_or(std::vector<std::string>());
}

std::string LeaseBody(int64_t ttl_ms) { return Dump({{field::kTtlMs, ttl_ms}}); }

ParseResult<uint64_t> ParseLease(std::string_view body) {
  return ParseUnsigned(body, field::kLease);
}

bool IsNoSuchLease(std::string_view body) { return HasError(ParseJson(body), kNoSuchLeaseError); }

std::string LeasePath(uint64_t lease) {
  return std::string(kLeasesPath) + "/" + std::to_string(lease);
}

std::string LeaseRenewPath(uint64_t lease) { return LeasePath(lease) + std::string(kRenewSuffix); }

std::string WatchPath(const std::string& prefix, uint64_t after_revision, int64_t wait_ms) {
  return std::string(kChangesPath) + "?" + query::kPrefix + "=" + UrlEscape(prefix) + "&" +
         query::kAfter + "=" + std::to_string(after_revision) + "&" + query::kWaitMs + "=" +
         std::to_string(wait_ms);
}

}  // namespace zinclead::wire
