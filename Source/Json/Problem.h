#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Checked reading of JSON files: every problem of a file is reported at once, with its place and its remedy.
namespace Lavenderloft::Json {

enum class ProblemKind {
    // The bytes cannot be read as JSON within the limits of size and nesting; nothing else was checked.
    Unreadable,
    UnknownField,
    MissingField,
    DuplicateKey,
    WrongType,
    // A number, or the length of a list, outside its range.
    OutOfRange,
    // A text that does not have the form of its field, such as a digest or an address.
    Malformed,
    DuplicateName,
    DanglingReference,
    // Values that are valid alone but not together.
    Contradiction,
};

// Place in a file, both counted from 1; columns are bytes.
struct Position {
    size_t line = 1;
    size_t column = 1;

    bool operator==(const Position&) const = default;
};

// One fault of a file.
struct Problem {
    ProblemKind kind = ProblemKind::Unreadable;
    // JSON pointer (RFC 6901) of the value at fault; empty for the whole file.
    std::string pointer;
    std::optional<Position> position;
    std::string message;
    std::string remedy;

    // "line 3, column 9: /pools/0/replicas: message; remedy".
    std::string describe() const;
};

// All faults of an input, in the order of the file's checks. Never empty.
struct CheckError {
    std::vector<Problem> problems;

    // One line for each problem.
    std::string describe() const;
};

// Appends a reference token to a JSON pointer.
std::string childPointer(const std::string& pointer, std::string_view key);
std::string childPointer(const std::string& pointer, size_t index);

} // namespace Lavenderloft::Json
