// The JSON library behind one name, and the few helpers that every format shares.
#ifndef ZINCLEAD_WIRE_JSON_H_
#define ZINCLEAD_WIRE_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace zinclead::wire {

using Json = nlohmann::json;

// Parses `body`. Returns a discarded value (`is_discarded()`) if it is not JSON; never throws.
[[nodiscard]] Json ParseJson(std::string_view body);

// Serializes `json` on one line. Strings may come from outside: bytes that are not UTF-8 are
// replaced instead of throwing.
[[nodiscard]] std::string Dump(const Json& json);

// Escapes `text` for a query parameter (RFC 3986); slashes stay as they are.
[[nodiscard]] std::string UrlEscape(std::string_view text);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_JSON_H_
