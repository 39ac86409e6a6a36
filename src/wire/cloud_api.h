// The cloud's API: machine types, scale-out, deletion and listing of machines (PROTOCOL,
// "Controller nodes -> cloud").
#ifndef ZINCLEAD_WIRE_CLOUD_API_H_
#define ZINCLEAD_WIRE_CLOUD_API_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.h"
#include "wire/parse_error.h"

namespace zinclead::wire {

inline constexpr std::string_view kMachineTypesPath = "/flavors";
// POST scales out; GET lists the machines.
inline constexpr std::string_view kMachinesPath = "/hosts";
inline constexpr std::string_view kMachinesDeletePath = "/hosts/delete";

// Minimum time that the cloud charges for a machine, in seconds.
inline constexpr double kMinChargeS = 60;
// Maximum numbers of machines in a scale-out request, of ids in a deletion request, and of machines
// in a page of the list.
inline constexpr int kMaxScaleOutCount = 50;
inline constexpr size_t kMaxDeleteNames = 100;
inline constexpr int kMaxMachinesPerPage = 500;

// A machine type that the cloud offers. Amounts are those of one machine.
struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;        // size of the image cache
  double fetch_gb_per_s = 0;  // rate of image downloads
  double price = 0;           // per hour
  double spot_price = 0;      // per hour
  double boot_s = 0;
  std::vector<std::string> zones;  // zones that offer this type
};
// Parses the response to GET /flavors.
[[nodiscard]] ParseResult<std::vector<MachineType>> ParseMachineTypes(std::string_view body);
// Reads a machine type. The service's records use the same format.
[[nodiscard]] ParseResult<MachineType> MachineTypeFromJson(const Json& json);
// Inverse of MachineTypeFromJson.
[[nodiscard]] Json ToJson(const MachineType& type);

// A request for new machines of one type in one zone.
struct ScaleOutRequest {
  std::string name;  // idempotency key: a repeated request creates no further machines
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;  // 1 to kMaxScaleOutCount
};
// Body of POST /hosts.
[[nodiscard]] std::string ScaleOutBody(const ScaleOutRequest& request);
// Parses the response to POST /hosts: the ids of the new machines.
[[nodiscard]] ParseResult<std::vector<std::string>> ParseScaleOutResponse(std::string_view body);
// Body of POST /hosts/delete. Requires at most kMaxDeleteNames ids.
[[nodiscard]] std::string DeleteBody(const std::vector<std::string>& machines);
// Returns whether the body of an error response says that the cloud has no capacity, as opposed to
// an outage.
[[nodiscard]] bool IsNoCapacity(std::string_view body);

// State of a machine according to the cloud. kFailed: the machine stopped without a deletion
// request; the cloud lists it until it is deleted.
enum class ListedState : uint8_t { kBooting, kRunning, kFailed };

// A machine in the cloud's list.
struct ListedMachine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  ListedState state = ListedState::kBooting;
  double age_s = 0;  // time since the scale-out request
};
// A page of the cloud's list.
struct MachinePage {
  std::vector<ListedMachine> machines;  // ordered by id
  bool has_more = false;                // another page follows
};
// Parses the response to GET /hosts.
[[nodiscard]] ParseResult<MachinePage> ParseMachinePage(std::string_view body);
// Path that lists up to `limit` machines whose id follows `after_id`, or the first ones if
// `after_id` is empty.
[[nodiscard]] std::string MachineListPath(const std::string& after_id, int limit);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_CLOUD_API_H_
