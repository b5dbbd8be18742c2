#include "Json/Splitter.h"

#include <algorithm>

namespace Lavenderloft::Json {

namespace {

    constexpr size_t maximumParts = 100000;
    constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";
    constexpr std::string_view whiteSpace = " \t\r\n";

    // Takes tokens and whole values from the start of a text. Brackets are counted, so nesting takes no stack.
    class Splitter {
    public:
        explicit Splitter(std::string_view text)
            : m_rest(text)
        {
            if (m_rest.starts_with(byteOrderMark))
                m_rest.remove_prefix(byteOrderMark.size());
        }

        bool take(char expected)
        {
            skipWhiteSpace();
            if (!m_rest.starts_with(expected))
                return false;
            m_rest.remove_prefix(1);
            return true;
        }

        bool isAtEnd()
        {
            skipWhiteSpace();
            return m_rest.empty();
        }

        std::string_view takeString()
        {
            skipWhiteSpace();
            return m_rest.starts_with('"') ? takeBytes(endOfString(0)) : std::string_view();
        }

        // Takes everything before the separator or bracket that ends the value; empty if there is none.
        std::string_view takeValue()
        {
            skipWhiteSpace();
            auto value = takeBytes(endOfValue());
            return value.substr(0, value.find_last_not_of(whiteSpace) + 1);
        }

    private:
        void skipWhiteSpace()
        {
            m_rest.remove_prefix(std::min(m_rest.find_first_not_of(whiteSpace), m_rest.size()));
        }

        std::string_view takeBytes(size_t count)
        {
            auto taken = m_rest.substr(0, count);
            m_rest.remove_prefix(count);
            return taken;
        }

        // Returns the position after the string that starts at the given one.
        size_t endOfString(size_t start) const
        {
            auto position = start + 1;
            while (position < m_rest.size() && m_rest[position] != '"')
                position += m_rest[position] == '\\' ? 2 : 1;
            return std::min(position + 1, m_rest.size());
        }

        size_t endOfValue() const
        {
            size_t depth = 0;
            size_t position = 0;
            while (position < m_rest.size()) {
                auto c = m_rest[position];
                bool closes = c == ']' || c == '}';
                if (depth == 0 && (closes || c == ','))
                    break;
                if (closes)
                    --depth;
                if (c == '[' || c == '{')
                    ++depth;
                position = c == '"' ? endOfString(position) : position + 1;
            }
            return position;
        }

        std::string_view m_rest;
    };

    // Takes the parts between brackets. `takePart` returns whether it took one.
    template <typename TakePart>
    bool takeParts(Splitter& splitter, char opening, char closing, TakePart takePart)
    {
        if (!splitter.take(opening))
            return false;
        if (splitter.take(closing))
            return splitter.isAtEnd();
        for (size_t count = 0; count < maximumParts; ++count) {
            if (!takePart())
                return false;
            if (splitter.take(closing))
                return splitter.isAtEnd();
            if (!splitter.take(','))
                return false;
        }
        return false;
    }

} // namespace

std::optional<std::vector<RawMember>> splitObject(std::string_view text)
{
    Splitter splitter(text);
    std::vector<RawMember> members;
    bool isObject = takeParts(splitter, '{', '}', [&] {
        auto name = splitter.takeString();
        if (name.empty() || !splitter.take(':'))
            return false;
        members.push_back({ name, splitter.takeValue() });
        return !members.back().value.empty();
    });
    return isObject ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitArray(std::string_view text)
{
    Splitter splitter(text);
    std::vector<std::string_view> elements;
    bool isArray = takeParts(splitter, '[', ']', [&] {
        elements.push_back(splitter.takeValue());
        return !elements.back().empty();
    });
    return isArray ? std::optional(std::move(elements)) : std::nullopt;
}

} // namespace Lavenderloft::Json
