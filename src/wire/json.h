// Alias of the JSON library's type, and helpers that all formats share.
#ifndef ZINCLEAD_WIRE_JSON_H_
#define ZINCLEAD_WIRE_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace zinclead::wire {

// Any JSON value.
using Json = nlohmann::json;

// Parses `body`. Returns a discarded value (`is_discarded()`) if it is not JSON; never throws.
[[nodiscard]] Json ParseJson(std::string_view body);

// Serializes `json` on one line. Replaces bytes that are not UTF-8, which strings from other
// components may contain, instead of throwing.
[[nodiscard]] std::string Dump(const Json& json);

// Percent-encodes `text` for a query parameter (RFC 3986). Does not encode slashes.
[[nodiscard]] std::string UrlEscape(std::string_view text);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_JSON_H_
