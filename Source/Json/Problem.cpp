#include "Json/Problem.h"

namespace Lavenderloft::Json {

namespace {

    // Longer keys are truncated, so that a malicious file cannot cause large error messages.
    constexpr size_t maxTokenBytes = 200;

    // Replaces control characters, which could forge log lines or control a terminal.
    std::string replaceControlCharacters(std::string text)
    {
        for (auto& c : text) {
            if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
                c = '?';
        }
        return text;
    }

    bool isContinuationByte(char c)
    {
        return (static_cast<unsigned char>(c) & 0xc0) == 0x80;
    }

    // Truncates UTF-8 text to maxTokenBytes without splitting a character.
    std::string_view truncateToken(std::string_view text)
    {
        if (text.size() <= maxTokenBytes)
            return text;
        auto length = maxTokenBytes;
        while (length && isContinuationByte(text[length]))
            --length;
        return text.substr(0, length);
    }

} // namespace

std::string Problem::describe() const
{
    std::string text;
    if (position)
        text += "line " + std::to_string(position->line) + ", column " + std::to_string(position->column) + ": ";
    if (!pointer.empty())
        text += pointer + ": ";
    text += message;
    if (!remedy.empty())
        text += "; " + remedy;
    return replaceControlCharacters(std::move(text));
}

std::string CheckError::describe() const
{
    std::string text;
    for (auto& problem : problems) {
        if (!text.empty())
            text += '\n';
        text += problem.describe();
    }
    return text;
}

std::string childPointer(const std::string& pointer, std::string_view key)
{
    auto child = pointer + '/';
    for (char c : truncateToken(key)) {
        if (c == '~')
            child += "~0";
        else if (c == '/')
            child += "~1";
        else
            child += c;
    }
    return child;
}

std::string childPointer(const std::string& pointer, size_t index)
{
    return pointer + '/' + std::to_string(index);
}

} // namespace Lavenderloft::Json
