#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Validating reader of JSON files that reports all problems of a file at once, each with its position and remedy.
namespace Lavenderloft::Json {

enum class ProblemKind {
    // The file is not valid JSON, or exceeds a limit of ParsedFile; its contents were not checked.
    Unreadable,
    UnknownField,
    MissingField,
    DuplicateKey,
    WrongType,
    // A number or the length of an array is outside its range.
    OutOfRange,
    // A string does not have the format of its field, such as a digest or an address.
    Malformed,
    DuplicateName,
    DanglingReference,
    // Each value is valid by itself, but not in combination.
    Contradiction,
};

// Position in a file; both numbers start at 1, and columns count bytes.
struct Position {
    size_t line = 1;
    size_t column = 1;

    bool operator==(const Position&) const = default;
};

struct Problem {
    ProblemKind kind = ProblemKind::Unreadable;
    // JSON pointer (RFC 6901) of the invalid value; empty for the whole file.
    std::string pointer;
    std::optional<Position> position;
    std::string message;
    std::string remedy;

    // Formats the problem as "line 3, column 9: /pools/0/replicas: message; remedy".
    std::string describe() const;
};

// All problems of a file, in the order in which the checks found them. Never empty.
struct CheckError {
    std::vector<Problem> problems;

    // Formats one line per problem.
    std::string describe() const;
};

// Appends a reference token to a JSON pointer.
std::string childPointer(const std::string& pointer, std::string_view key);
std::string childPointer(const std::string& pointer, size_t index);

} // namespace Lavenderloft::Json
