#pragma once

#include "Json/ParsedFile.h"

#include <chrono>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Lavenderloft::Json {

// Bounds of a number, both inclusive.
template <typename Number>
struct Range {
    Number least;
    Number greatest;
};

// Reads the fields of one object and reports what is wrong with them. A read never fails: after a
// problem it returns a default, so that the rest of the file is still checked. An empty text is always
// reported here, so that later checks can pass over empty texts. Every field asked for
// is known; reportUnknownFields() reports all others.
class ObjectReader {
public:
    // A value that is no object is reported, and then no field is read.
    ObjectReader(ParsedFile&, const Value&, std::string pointer);

    // Where this object is, for problems that concern it as a whole.
    const std::string& pointer() const { return m_pointer; }

    // The pointer of one of its fields.
    std::string pointerTo(std::string_view field) const { return childPointer(m_pointer, field); }

    bool has(std::string_view field) const { return m_value.find(field); }

    // A text that must be present.
    std::string requiredString(std::string_view field);
    // A text that may be absent and then is empty.
    std::string optionalString(std::string_view field);

    uint64_t requiredUnsigned(std::string_view field, Range<uint64_t>);
    uint64_t optionalUnsigned(std::string_view field, Range<uint64_t>, uint64_t fallback);
    std::chrono::milliseconds optionalMilliseconds(std::string_view field, Range<std::chrono::milliseconds>, std::chrono::milliseconds fallback);
    double optionalNumber(std::string_view field, double fallback);
    bool optionalBool(std::string_view field, bool fallback);

    // One of a set of words.
    template <typename Choice>
    using Choices = std::initializer_list<std::pair<std::string_view, Choice>>;

    template <typename Choice>
    Choice requiredChoice(std::string_view field, Choices<Choice> choices, Choice fallback)
    {
        return choose(field, findRequired(field), choices, fallback);
    }

    template <typename Choice>
    Choice optionalChoice(std::string_view field, Choices<Choice> choices, Choice fallback)
    {
        return choose(field, findOptional(field), choices, fallback);
    }

    // A list of texts that may be absent and then is empty.
    std::vector<std::string> optionalStrings(std::string_view field);
    std::vector<std::string> requiredStrings(std::string_view field);

    // Calls the function with each element of a list and its pointer.
    using ReadElement = std::function<void(const Value&, const std::string& pointer)>;
    void requiredArray(std::string_view field, const ReadElement&);
    void optionalArray(std::string_view field, const ReadElement&);

    // Calls the function with the value of a field, if the field is present.
    void optionalObject(std::string_view field, const ReadElement&);

    // Reports the fields that nobody asked for.
    void reportUnknownFields();

private:
    const Value* findOptional(std::string_view field);
    const Value* findRequired(std::string_view field);
    std::string text(std::string_view field, const Value*);
    std::string text(const Value&, const std::string& pointer);
    uint64_t count(std::string_view field, const Value*, Range<uint64_t>, uint64_t fallback);
    void list(std::string_view field, const Value*, const ReadElement&);
    std::vector<std::string> texts(std::string_view field, const Value*);
    void addWrongType(const std::string& pointer, const Value&, std::string_view expected);
    void addUnknownChoice(std::string_view field, const std::vector<std::string_view>& words);

    template <typename Choice>
    Choice choose(std::string_view field, const Value* value, Choices<Choice> choices, Choice fallback)
    {
        if (!value)
            return fallback;
        auto* word = value->asString();
        if (!word) {
            addWrongType(pointerTo(field), *value, "a string");
            return fallback;
        }
        std::vector<std::string_view> words;
        for (auto& [known, choice] : choices) {
            if (known == *word)
                return choice;
            words.push_back(known);
        }
        addUnknownChoice(field, words);
        return fallback;
    }

    ParsedFile& m_file;
    const Value& m_value;
    std::string m_pointer;
    std::vector<std::string_view> m_knownFields;
};

} // namespace Lavenderloft::Json
