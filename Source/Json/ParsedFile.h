#pragma once

#include "Json/ProblemSink.h"
#include "Json/Value.h"

#include <string_view>
#include <vector>

namespace Lavenderloft::Json {

// The configuration service stores values of up to one megabyte.
inline constexpr size_t maxFileBytes = 1000000;
// Maximum nesting; the deepest value of a valid file is at level 4.
inline constexpr size_t maxNesting = 16;
// Bounds the memory of a parsed file, because a small value needs many times its size in the file.
inline constexpr size_t maxValues = 100000;
// Problems beyond this number are counted but not stored.
inline constexpr size_t maxProblems = 1000;

// The value tree of a JSON file and the problems found in the file so far. The bytes must outlive the object.
class ParsedFile final : public ProblemSink {
public:
    explicit ParsedFile(std::string_view bytes);

    // The top-level value; valid only if the file is readable.
    const Value& root() const { return m_root; }

    // Whether the file is valid JSON within the limits above.
    bool isReadable() const { return m_isReadable; }

    // Adds a problem at the position of the value that the JSON pointer names or, if it does not exist, of its
    // closest existing ancestor.
    void addProblem(ProblemKind, std::string pointer, std::string message, std::string remedy) override;

    // Adds a problem at a byte offset of the file.
    void addProblemAt(size_t offset, ProblemKind, std::string pointer, std::string message, std::string remedy);

    bool hasProblems() const { return !m_problems.empty(); }

    // Returns the stored problems, followed by one that gives the number of omitted problems, if any.
    CheckError takeProblems();

private:
    void findLineStarts();
    void parse();
    Position positionAt(size_t offset) const;
    size_t offsetOf(const std::string& pointer) const;
    void append(Problem);

    std::string_view m_bytes;
    // Byte offsets of the first character of each line, in ascending order.
    std::vector<size_t> m_lineStarts;
    Value m_root;
    bool m_isReadable = false;
    std::vector<Problem> m_problems;
    size_t m_omittedProblemCount = 0;
};

} // namespace Lavenderloft::Json
