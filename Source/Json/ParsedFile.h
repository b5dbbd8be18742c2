#pragma once

#include "Json/ProblemSink.h"
#include "Json/Value.h"

#include <string_view>
#include <vector>

namespace Lavenderloft::Json {

// Largest file that is read. The configuration service holds values up to one megabyte.
inline constexpr size_t maxFileBytes = 1000000;
// Deepest nesting; the deepest value of a valid file is at level 4.
inline constexpr size_t maxNesting = 16;
// Bounds the memory of a parsed file, in which a small value takes many times its bytes.
inline constexpr size_t maxValues = 100000;
// Problems listed for one file; those beyond are counted only.
inline constexpr size_t maxProblems = 1000;

// The values of a JSON file, and the problems found in it so far. Refers to the bytes, which must outlive it.
class ParsedFile final : public ProblemSink {
public:
    explicit ParsedFile(std::string_view bytes);

    // The outermost value; meaningful only if the file is readable.
    const Value& root() const { return m_root; }

    // Whether the bytes were valid JSON within the limits.
    bool isReadable() const { return m_isReadable; }

    // Adds a problem. Its position is that of the value at the pointer or, if there is none, of the
    // closest enclosing value.
    void addProblem(ProblemKind, std::string pointer, std::string message, std::string remedy) override;

    // Adds a problem at an offset of the bytes.
    void addProblemAt(size_t offset, ProblemKind, std::string pointer, std::string message, std::string remedy);

    bool hasProblems() const { return !m_problems.empty(); }

    // All problems; ends with a note of how many more there are beyond maxProblems.
    CheckError takeProblems();

private:
    void findLineStarts();
    void parse();
    Position positionAt(size_t offset) const;
    size_t offsetOf(const std::string& pointer) const;
    void append(Problem);

    std::string_view m_bytes;
    // Offsets at which lines start, in ascending order.
    std::vector<size_t> m_lineStarts;
    Value m_root;
    bool m_isReadable = false;
    std::vector<Problem> m_problems;
    size_t m_unlistedProblems = 0;
};

} // namespace Lavenderloft::Json
