#include "core/record_keys.h"

#include <cstdlib>

namespace zinclead::core {
namespace {

RecordKey ParseProgressKey(std::string_view job_and_chunk) {
  const size_t slash = job_and_chunk.find('/');
  if (slash == std::string_view::npos) return {RecordKind::kMalformed, "", 0};
  const std::string chunk(job_and_chunk.substr(slash + 1));
  return {RecordKind::kProgress, std::string(job_and_chunk.substr(0, slash)),
          static_cast<uint32_t>(std::strtoul(chunk.c_str(), nullptr, 10))};
}

}  // namespace

RecordKey ParseRecordKey(std::string_view key) {
  const auto rest = [&](std::string_view prefix) { return key.substr(prefix.size()); };
  if (key.starts_with(kJobPrefix)) return {RecordKind::kJob, std::string(rest(kJobPrefix)), 0};
  if (key.starts_with(kDonePrefix)) return ParseProgressKey(rest(kDonePrefix));
  if (key.starts_with(kMachinePrefix)) {
    return {RecordKind::kScaleOut, std::string(rest(kMachinePrefix)), 0};
  }
  if (key.starts_with(kTypePrefix)) {
    return {RecordKind::kMachineType, std::string(rest(kTypePrefix)), 0};
  }
  return {};
}

}  // namespace zinclead::core
