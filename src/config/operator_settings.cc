#include "config/operator_settings.h"

#include <cmath>
#include <cstdlib>
#include <fstream>
#include <pugixml.hpp>
#include <sstream>
#include <vector>

namespace zinclead::config {
namespace {

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
      {"dispatch", "begin-within-s", 1, kYear, &s->begin_within_s, nullptr},
      {"admission", "max-active-jobs", 1, 1e6, nullptr, &s->max_active_jobs},
      {"fleet", "idle-s", 1, kYear, &s->idle_s, nullptr},
      {"fleet", "rent-share", 0.01, 1, &s->rent_share, nullptr},
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
      const std::string name = std::string(section.name()) + "/" + attribute.name();
      const Field* field = nullptr;
      for (const Field& f : fields) {
        if (name == std::string(f.section) + "/" + f.name) field = &f;
      }
      if (field == nullptr) {
        *error = name + " is not a known setting";
        return false;
      }
      double value = 0;
      if (!ReadNumber(attribute.value(), &value)) {
        *error = name + " must be a number";
        return false;
      }
      if (value < field->min || value > field->max) {
        std::ostringstream text;
        text << name << " must be from " << field->min << " to " << field->max;
        *error = text.str();
        return false;
      }
      if (field->count != nullptr) {
        if (value != std::floor(value)) {
          *error = name + " must be a whole number";
          return false;
        }
        *field->count = static_cast<int>(value);
      } else {
        *field->amount = value;
      }
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
