// Why a message could not be parsed.
#ifndef ZINCLEAD_WIRE_PARSE_ERROR_H_
#define ZINCLEAD_WIRE_PARSE_ERROR_H_

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace zinclead::wire {

struct ParseError {
  // Name of the invalid field on the wire; a field of a list's item is prefixed by the list's
  // name ("shards: strike"). Empty if the error is not that of a single field.
  std::string field;
  // What is wrong with it, such as "is missing".
  std::string reason;

  // The text that 400 responses carry: the field, if any, and the reason.
  [[nodiscard]] std::string ToString() const {
    return field.empty() ? reason : field + " " + reason;
  }
  bool operator==(const ParseError&) const = default;
};

template <typename T>
using ParseResult = tl::expected<T, ParseError>;

// For `return ParseFailure(field, reason);` in a function that returns a ParseResult.
[[nodiscard]] inline tl::unexpected<ParseError> ParseFailure(std::string field,
                                                             std::string reason) {
  return tl::unexpected<ParseError>({std::move(field), std::move(reason)});
}

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_PARSE_ERROR_H_
