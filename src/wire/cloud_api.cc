#include "wire/cloud_api.h"

#include <optional>
#include <utility>

#include "wire/field_names.h"
#include "wire/json_reader.h"
#include "wire/labels.h"

namespace zinclead::wire {
namespace {

// Error text of the cloud's response to a scale-out request that exceeds its capacity.
constexpr const char* kNoCapacityError = "no capacity";

ParseResult<ListedMachine> ListedMachineFromJson(const Json& json) {
  ListedMachine machine;
  JsonReader reader(json);
  reader.String(field::kId, &machine.id);
  reader.String(field::kAddress, &machine.address);
  reader.String(field::kMachineType, &machine.type);
  reader.String(field::kZone, &machine.zone);
  reader.Bool(field::kSpot, &machine.spot);
  reader.Enum(field::kPhase, kListedStates, &machine.state);
  reader.Amount(field::kAgeS, &machine.age_s);
  return reader.Finish(std::move(machine));
}

}  // namespace

ParseResult<MachineType> MachineTypeFromJson(const Json& json) {
  MachineType type;
  JsonReader reader(json);
  reader.String(field::kTypeName, &type.name);
  reader.Amount(field::kCpus, &type.cpus);
  reader.Amount(field::kGpus, &type.gpus);
  reader.Amount(field::kMemoryGb, &type.memory_gb);
  reader.Amount(field::kCacheGb, &type.cache_gb);
  reader.Amount(field::kFetchGbPerS, &type.fetch_gb_per_s);
  reader.Amount(field::kPrice, &type.price);
  reader.Amount(field::kSpotPrice, &type.spot_price);
  reader.Amount(field::kBootS, &type.boot_s);
  std::optional<std::vector<std::string>> zones;
  reader.OptionalStrings(field::kZones, &zones);
  if (zones) type.zones = std::move(*zones);
  return reader.Finish(std::move(type));
}

ParseResult<std::vector<MachineType>> ParseMachineTypes(std::string_view body) {
  return ParseList<MachineType>(body, field::kMachineTypes, MachineTypeFromJson);
}

Json ToJson(const MachineType& type) {
  return {{field::kTypeName, type.name},    {field::kCpus, type.cpus},
          {field::kGpus, type.gpus},        {field::kMemoryGb, type.memory_gb},
          {field::kCacheGb, type.cache_gb}, {field::kFetchGbPerS, type.fetch_gb_per_s},
          {field::kPrice, type.price},      {field::kSpotPrice, type.spot_price},
          {field::kBootS, type.boot_s},     {field::kZones, type.zones}};
}

std::string ScaleOutBody(const ScaleOutRequest& request) {
  return Dump({{field::kScaleOutName, request.name},
               {field::kMachineType, request.type},
               {field::kZone, request.zone},
               {field::kSpot, request.spot},
               {field::kCount, request.count}});
}

ParseResult<std::vector<std::string>> ParseScaleOutResponse(std::string_view body) {
  return ParseList<std::string>(body, field::kMachines, StringFromJson);
}

std::string DeleteBody(const std::vector<std::string>& machines) {
  return Dump({{field::kMachines, machines}});
}

bool IsNoCapacity(std::string_view body) { return HasError(ParseJson(body), kNoCapacityError); }

ParseResult<MachinePage> ParseMachinePage(std::string_view body) {
  const Json json = ParseJson(body);
  JsonReader reader(json);
  const Json* list = reader.Array(field::kMachines);
  bool has_more = false;
  reader.OptionalBool(field::kTruncated, &has_more);
  if (!reader.ok()) return reader.Failure();
  return ParseItems<ListedMachine>(*list, ListedMachineFromJson)
      .map([&](std::vector<ListedMachine> machines) {
        return MachinePage{std::move(machines), has_more};
      });
}

std::string MachineListPath(const std::string& after_id, int limit) {
  std::string path = std::string(kMachinesPath) + "?" + query::kLimit + "=" + std::to_string(limit);
  if (!after_id.empty()) path += std::string("&") + query::kAfter + "=" + UrlEscape(after_id);
  return path;
}

}  // namespace zinclead::wire
