#include "config/operator_settings.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <pugixml.hpp>
#include <sstream>
#include <utility>
#include <variant>
#include <vector>

namespace zinclead::config {
namespace {

constexpr const char* kRootElement = "zinclead";
constexpr const char* kTeamElement = "admission/team";
constexpr const char* kTeamName = "name";
constexpr const char* kTeamWeight = "weight";

constexpr double kMinWeight = 0.1;
constexpr double kMaxWeight = 100;
constexpr double kYearS = 365.0 * 24 * 3600;

// An attribute of a section, its range, and the variable that receives its value. An int accepts
// only whole numbers.
struct Attribute {
  const char* section;
  const char* name;
  double min;
  double max;
  std::variant<double*, int*> target;

  [[nodiscard]] std::string Path() const { return std::string(section) + "/" + name; }
};

// All attributes of the operators' file. They write to `settings`, which must outlive them.
std::vector<Attribute> Attributes(OperatorSettings* settings) {
  AdmissionSettings* admission = &settings->admission;
  return {
      {"dispatch", "retry-s", 0.1, kYearS, &settings->retry_s},
      {"dispatch", "retry-jitter-s", 0, kYearS, &settings->retry_jitter_s},
      {"dispatch", "deadline-s", 1, kYearS, &settings->deadline_s},
      {"dispatch", "begin-within-s", 1, kYearS, &settings->starvation_limit_s},
      {"admission", "max-active-jobs", 1, 1e6, &settings->max_active_jobs},
      {"admission", "fair", 0, 1, &admission->fair},
      {"admission", "rate-share", 0.01, 1, &admission->rate_share},
      {"admission", "burst-s", 0, 60, &admission->burst_s},
      {"admission", "turn-window-s", 1, 30, &admission->reservation_window_s},
      {"admission", "prod-weight", kMinWeight, kMaxWeight, &admission->prod_weight},
      {"admission", "high-weight", kMinWeight, kMaxWeight, &admission->high_weight},
      {"admission", "standard-weight", kMinWeight, kMaxWeight, &admission->standard_weight},
      {"admission", "best-effort-weight", kMinWeight, kMaxWeight, &admission->best_effort_weight},
      {"fleet", "idle-s", 1, kYearS, &settings->idle_s},
      {"fleet", "rent-share", 0.01, 1, &settings->scale_out_rate_share},
      {"fleet", "boot-give-up", 1, 100, &settings->boot_timeout_ratio},
      {"fleet", "boot-late", 1, 100, &settings->late_boot_ratio},
      {"leader", "lease-share", 0.01, 0.25, &settings->leader_lease_share},
  };
}

tl::unexpected<SettingsError> Failure(std::string field, std::string reason) {
  return tl::unexpected<SettingsError>({"", 0, std::move(field), std::move(reason)});
}

SettingsResult<double> ParseNumber(const std::string& field, const std::string& text) {
  char* parsed_end = nullptr;
  const double value = std::strtod(text.c_str(), &parsed_end);
  if (text.empty() || *parsed_end != '\0' || !std::isfinite(value)) {
    return Failure(field, "must be a number");
  }
  return value;
}

SettingsResult<double> ParseNumberInRange(const std::string& field, const std::string& text,
                                          double min, double max) {
  SettingsResult<double> value = ParseNumber(field, text);
  if (value && (*value < min || *value > max)) {
    std::ostringstream reason;
    reason << "must be from " << min << " to " << max;
    return Failure(field, reason.str());
  }
  return value;
}

SettingsResult<void> ReadAttribute(const std::vector<Attribute>& attributes,
                                   const pugi::xml_node& section, const pugi::xml_attribute& xml) {
  const std::string path = std::string(section.name()) + "/" + xml.name();
  const auto attribute = std::find_if(attributes.begin(), attributes.end(),
                                      [&](const Attribute& known) { return known.Path() == path; });
  if (attribute == attributes.end()) return Failure(path, "is not a known setting");
  const auto value = ParseNumberInRange(path, xml.value(), attribute->min, attribute->max);
  if (!value) return tl::unexpected<SettingsError>(value.error());
  if (double* const* amount = std::get_if<double*>(&attribute->target)) {
    **amount = *value;
    return {};
  }
  if (*value != std::floor(*value)) return Failure(path, "must be a whole number");
  *std::get<int*>(attribute->target) = static_cast<int>(*value);
  return {};
}

// Reads one <team name="..." weight="..."/> of the section <admission>.
SettingsResult<void> ReadTeamWeight(const pugi::xml_node& section, const pugi::xml_node& element,
                                    AdmissionSettings* admission) {
  const std::string path = std::string(section.name()) + "/" + element.name();
  if (path != kTeamElement) return Failure(path, "is not a known element");
  const std::string team = element.attribute(kTeamName).value();
  if (team.empty()) return Failure(path, "must have a name");
  const std::string team_path = path + " \"" + team + "\"";
  const auto weight =
      ParseNumberInRange(team_path + ": " + kTeamWeight, element.attribute(kTeamWeight).value(),
                         kMinWeight, kMaxWeight);
  if (!weight) return tl::unexpected<SettingsError>(weight.error());
  if (!admission->team_weights.emplace(team, *weight).second) {
    return Failure(team_path, "is defined more than once");
  }
  return {};
}

SettingsResult<void> ReadSection(const pugi::xml_node& section,
                                 const std::vector<Attribute>& attributes,
                                 AdmissionSettings* admission) {
  for (const pugi::xml_attribute& attribute : section.attributes()) {
    if (auto read = ReadAttribute(attributes, section, attribute); !read) return read;
  }
  for (const pugi::xml_node& element : section.children()) {
    if (element.type() != pugi::node_element) continue;
    if (auto read = ReadTeamWeight(section, element, admission); !read) return read;
  }
  return {};
}

}  // namespace

SettingsResult<OperatorSettings> ParseOperatorSettings(const std::string& xml_text) {
  pugi::xml_document document;
  const pugi::xml_parse_result parsed = document.load_string(xml_text.c_str());
  if (!parsed) return Failure("", std::string("not XML: ") + parsed.description());
  const pugi::xml_node root = document.child(kRootElement);
  if (!root) return Failure(kRootElement, "(the root element) is missing");
  OperatorSettings settings;
  const std::vector<Attribute> attributes = Attributes(&settings);
  for (const pugi::xml_node& section : root.children()) {
    if (section.type() != pugi::node_element) continue;
    const auto read = ReadSection(section, attributes, &settings.admission);
    if (!read) return tl::unexpected<SettingsError>(read.error());
  }
  return settings;
}

SettingsResult<OperatorSettings> LoadOperatorSettings(const std::string& path) {
  return LoadFile(path, ParseOperatorSettings);
}

}  // namespace zinclead::config
