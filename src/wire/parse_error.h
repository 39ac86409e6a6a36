// Errors of parsing messages.
#ifndef ZINCLEAD_WIRE_PARSE_ERROR_H_
#define ZINCLEAD_WIRE_PARSE_ERROR_H_

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace zinclead::wire {

// Describes why a message could not be parsed.
struct ParseError {
  // Name of the invalid field on the wire. If the field belongs to an item of a list, the name of
  // the list comes first ("shards: strike"). Empty if the error does not concern a single field.
  std::string field;
  // Describes the error, for example "is missing".
  std::string reason;

  // Formats the text of a 400 response: the field, if any, and the reason.
  [[nodiscard]] std::string ToString() const {
    return field.empty() ? reason : field + " " + reason;
  }
  bool operator==(const ParseError&) const = default;
};

// A value or a ParseError.
template <typename T>
using ParseResult = tl::expected<T, ParseError>;

// Creates the error of a ParseResult, for `return ParseFailure(field, reason);`.
[[nodiscard]] inline tl::unexpected<ParseError> ParseFailure(std::string field,
                                                             std::string reason) {
  return tl::unexpected<ParseError>({std::move(field), std::move(reason)});
}

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_PARSE_ERROR_H_
