#include "Json/ParsedFile.h"

#include "Json/TreeBuilder.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace Lavenderloft::Json {

namespace {

    // Input iterator of the parser that counts the bytes read, from which TreeBuilder derives the offsets of values.
    class CountingIterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = char;
        using difference_type = std::ptrdiff_t;
        using pointer = const char*;
        using reference = const char&;

        CountingIterator(const char* current, size_t* consumed)
            : m_current(current)
            , m_consumed(consumed)
        {
        }

        reference operator*() const { return *m_current; }

        CountingIterator& operator++()
        {
            ++m_current;
            ++*m_consumed;
            return *this;
        }

        CountingIterator operator++(int)
        {
            auto before = *this;
            ++*this;
            return before;
        }

        bool operator==(const CountingIterator& other) const { return m_current == other.m_current; }

    private:
        const char* m_current;
        size_t* m_consumed;
    };

    // Resolves one reference token of a JSON pointer; null if there is no such child.
    const Value* findChild(const Value& value, std::string_view token)
    {
        if (auto* array = value.asArray()) {
            size_t index = 0;
            auto [end, error] = std::from_chars(token.data(), token.data() + token.size(), index);
            bool isIndex = error == std::errc() && end == token.data() + token.size();
            return isIndex && index < array->size() ? &(*array)[index] : nullptr;
        }
        // Escapes are not decoded, because no known field contains '~' or '/'. Other fields are reported at the position of their parent.
        return value.find(token);
    }

} // namespace

ParsedFile::ParsedFile(std::string_view bytes)
    : m_bytes(bytes)
{
    parse();
}

void ParsedFile::findLineStarts()
{
    m_lineStarts.push_back(0);
    for (size_t i = 0; i < m_bytes.size(); ++i) {
        if (m_bytes[i] == '\n')
            m_lineStarts.push_back(i + 1);
    }
}

void ParsedFile::parse()
{
    if (m_bytes.size() > maxFileBytes) {
        append({ ProblemKind::Unreadable, "", std::nullopt,
            "the file has " + std::to_string(m_bytes.size()) + " bytes, more than " + std::to_string(maxFileBytes), "make the file smaller" });
        return;
    }
    if (m_bytes.find_first_not_of(" \t\r\n") == std::string_view::npos) {
        append({ ProblemKind::Unreadable, "", std::nullopt, "the file is empty", "write one JSON object" });
        return;
    }
    findLineStarts();
    size_t consumed = 0;
    TreeBuilder builder(m_bytes, consumed, *this, m_root);
    auto begin = CountingIterator(m_bytes.data(), &consumed);
    auto end = CountingIterator(m_bytes.data() + m_bytes.size(), &consumed);
    m_isReadable = nlohmann::json::sax_parse(begin, end, &builder);
}

void ParsedFile::addProblem(ProblemKind kind, std::string pointer, std::string message, std::string remedy)
{
    auto offset = offsetOf(pointer);
    addProblemAt(offset, kind, std::move(pointer), std::move(message), std::move(remedy));
}

void ParsedFile::addProblemAt(size_t offset, ProblemKind kind, std::string pointer, std::string message, std::string remedy)
{
    append({ kind, std::move(pointer), positionAt(offset), std::move(message), std::move(remedy) });
}

CheckError ParsedFile::takeProblems()
{
    if (m_omittedProblemCount) {
        m_problems.push_back({ m_problems.back().kind, "", std::nullopt,
            std::to_string(m_omittedProblemCount) + " more problems are not listed", "correct those listed and check again" });
    }
    m_omittedProblemCount = 0;
    return { std::move(m_problems) };
}

void ParsedFile::append(Problem problem)
{
    if (m_problems.size() < maxProblems)
        m_problems.push_back(std::move(problem));
    else
        ++m_omittedProblemCount;
}

Position ParsedFile::positionAt(size_t offset) const
{
    auto next = std::upper_bound(m_lineStarts.begin(), m_lineStarts.end(), std::min(offset, m_bytes.size()));
    auto line = static_cast<size_t>(next - m_lineStarts.begin());
    auto column = std::min(offset, m_bytes.size()) - *(next - 1) + 1;
    return { line, column };
}

size_t ParsedFile::offsetOf(const std::string& pointer) const
{
    auto* value = &m_root;
    std::string_view rest = pointer;
    while (!rest.empty()) {
        rest.remove_prefix(1);
        auto token = rest.substr(0, rest.find('/'));
        rest.remove_prefix(token.size());
        auto* child = findChild(*value, token);
        if (!child)
            break;
        value = child;
    }
    return value->offset;
}

} // namespace Lavenderloft::Json
