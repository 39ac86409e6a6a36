#include "config/operator_settings.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <pugixml.hpp>
#include <sstream>
#include <vector>

namespace zinclead::config {
namespace {

constexpr double kMinWeight = 0.1;
constexpr double kMaxWeight = 100;

struct Field {
  const char* section;
  const char* name;
  double min;
  double max;
  double* amount;
  int* count;
};

std::vector<Field> Fields(OperatorSettings* s) {
  constexpr double kYear = 365.0 * 24 * 3600;
  return {
      {"dispatch", "retry-s", 0.1, kYear, &s->retry_s, nullptr},
      {"dispatch", "retry-jitter-s", 0, kYear, &s->retry_jitter_s, nullptr},
      {"dispatch", "deadline-s", 1, kYear, &s->deadline_s, nullptr},
      {"dispatch", "begin-within-s", 1, kYear, &s->starvation_limit_s, nullptr},
      {"admission", "max-active-jobs", 1, 1e6, nullptr, &s->max_active_jobs},
      {"admission", "fair", 0, 1, nullptr, &s->admission.fair},
      {"admission", "rate-share", 0.01, 1, &s->admission.rate_share, nullptr},
      {"admission", "burst-s", 0, 60, &s->admission.burst_s, nullptr},
      {"admission", "turn-window-s", 1, 30, &s->admission.reservation_window_s, nullptr},
      {"admission", "prod-weight", kMinWeight, kMaxWeight, &s->admission.prod_weight, nullptr},
      {"admission", "high-weight", kMinWeight, kMaxWeight, &s->admission.high_weight, nullptr},
      {"admission", "standard-weight", kMinWeight, kMaxWeight, &s->admission.standard_weight,
       nullptr},
      {"admission", "best-effort-weight", kMinWeight, kMaxWeight, &s->admission.best_effort_weight,
       nullptr},
      {"fleet", "idle-s", 1, kYear, &s->idle_s, nullptr},
      {"fleet", "rent-share", 0.01, 1, &s->scale_out_rate_share, nullptr},
      {"fleet", "boot-give-up", 1, 100, &s->boot_give_up, nullptr},
      {"fleet", "boot-late", 1, 100, &s->boot_late, nullptr},
      {"leader", "lease-share", 0.01, 0.25, &s->leader_lease_share, nullptr},
  };
}

bool ReadNumber(const std::string& text, double* out) {
  char* end = nullptr;
  *out = std::strtod(text.c_str(), &end);
  return !text.empty() && *end == '\0' && std::isfinite(*out);
}

// `name` names the value in errors.
bool ReadInRange(const std::string& name, const std::string& text, double min, double max,
                 double* out, std::string* error) {
  if (!ReadNumber(text, out)) {
    *error = name + " must be a number";
    return false;
  }
  if (*out < min || *out > max) {
    std::ostringstream range;
    range << name << " must be from " << min << " to " << max;
    *error = range.str();
    return false;
  }
  return true;
}

bool ReadField(const std::vector<Field>& fields, const pugi::xml_node& section,
               const pugi::xml_attribute& attribute, std::string* error) {
  const std::string name = std::string(section.name()) + "/" + attribute.name();
  const auto field = std::find_if(fields.begin(), fields.end(), [&](const Field& f) {
    return name == std::string(f.section) + "/" + f.name;
  });
  if (field == fields.end()) {
    *error = name + " is not a known setting";
    return false;
  }
  double value = 0;
  if (!ReadInRange(name, attribute.value(), field->min, field->max, &value, error)) return false;
  if (field->amount != nullptr) {
    *field->amount = value;
    return true;
  }
  if (value != std::floor(value)) {
    *error = name + " must be a whole number";
    return false;
  }
  *field->count = static_cast<int>(value);
  return true;
}

// <admission><team name="..." weight="..."/></admission>
bool ReadTeamWeight(const pugi::xml_node& section, const pugi::xml_node& child,
                    AdmissionSettings* out, std::string* error) {
  const std::string name = std::string(section.name()) + "/" + child.name();
  if (name != "admission/team") {
    *error = name + " is not a known element";
    return false;
  }
  const std::string team = child.attribute("name").value();
  if (team.empty()) {
    *error = name + " must have a name";
    return false;
  }
  double weight = 0;
  if (!ReadInRange(name + " \"" + team + "\": weight", child.attribute("weight").value(),
                   kMinWeight, kMaxWeight, &weight, error)) {
    return false;
  }
  if (!out->team_weights.emplace(team, weight).second) {
    *error = name + " \"" + team + "\" is there twice";
    return false;
  }
  return true;
}

}  // namespace

bool ParseOperatorSettings(const std::string& xml_text, OperatorSettings* out, std::string* error) {
  pugi::xml_document document;
  const pugi::xml_parse_result parsed = document.load_string(xml_text.c_str());
  if (!parsed) {
    *error = std::string("not XML: ") + parsed.description();
    return false;
  }
  const pugi::xml_node root = document.child("zinclead");
  if (!root) {
    *error = "zinclead (the root element) is missing";
    return false;
  }
  OperatorSettings settings;
  const std::vector<Field> fields = Fields(&settings);
  for (const pugi::xml_node section : root.children()) {
    if (section.type() != pugi::node_element) continue;
    for (const pugi::xml_attribute attribute : section.attributes()) {
      if (!ReadField(fields, section, attribute, error)) return false;
    }
    for (const pugi::xml_node child : section.children()) {
      if (child.type() != pugi::node_element) continue;
      if (!ReadTeamWeight(section, child, &settings.admission, error)) return false;
    }
  }
  *out = settings;
  return true;
}

bool LoadOperatorSettings(const std::string& path, OperatorSettings* out, std::string* error) {
  std::ifstream file(path);
  if (!file) {
    *error = "cannot be read";
    return false;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseOperatorSettings(text.str(), out, error);
}

}  // namespace zinclead::config
