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

// Inclusive bounds of a number.
template <typename Number>
struct Range {
    Number minimum;
    Number maximum;
};

// Reads the fields of a JSON object and adds a problem for each invalid one. Reading continues after a
// problem with a default value, so that one pass finds all problems of a file. Empty strings are reported here,
// so that later checks can skip them. Every field that is read counts as known.
class ObjectReader {
public:
    // Adds a problem if the value is not an object; all reads then return defaults.
    ObjectReader(ParsedFile&, const Value&, std::string pointer);

    // JSON pointer of this object.
    const std::string& pointer() const { return m_pointer; }

    // JSON pointer of a field of this object.
    std::string pointerTo(std::string_view field) const { return childPointer(m_pointer, field); }

    bool has(std::string_view field) const { return m_value.find(field); }

    std::string requiredString(std::string_view field);
    // Returns an empty string if the field is absent.
    std::string optionalString(std::string_view field);

    uint64_t requiredUnsigned(std::string_view field, Range<uint64_t>);
    uint64_t optionalUnsigned(std::string_view field, Range<uint64_t>, uint64_t fallback);
    std::chrono::milliseconds optionalMilliseconds(std::string_view field, Range<std::chrono::milliseconds>, std::chrono::milliseconds fallback);
    double optionalNumber(std::string_view field, double fallback);
    bool optionalBool(std::string_view field, bool fallback);

    // Maps the allowed strings of a field to values.
    template <typename Choice>
    using Choices = std::initializer_list<std::pair<std::string_view, Choice>>;

    template <typename Choice>
    Choice requiredChoice(std::string_view field, Choices<Choice> choices, Choice fallback)
    {
        return readChoice(field, findRequired(field), choices, fallback);
    }

    template <typename Choice>
    Choice optionalChoice(std::string_view field, Choices<Choice> choices, Choice fallback)
    {
        return readChoice(field, findOptional(field), choices, fallback);
    }

    // Returns an empty list if the field is absent.
    std::vector<std::string> optionalStrings(std::string_view field);
    std::vector<std::string> requiredStrings(std::string_view field);

    // Called with each element of an array and its JSON pointer.
    using ReadElement = std::function<void(const Value&, const std::string& pointer)>;
    void requiredArray(std::string_view field, const ReadElement&);
    void optionalArray(std::string_view field, const ReadElement&);

    // Calls the function with the value of the field and its JSON pointer if the field is present.
    void optionalObject(std::string_view field, const ReadElement&);

    // Adds a problem for each field that was not read. Call it after all reads.
    void reportUnknownFields();

private:
    const Value* findOptional(std::string_view field);
    const Value* findRequired(std::string_view field);
    std::string readString(std::string_view field, const Value*);
    std::string readString(const Value&, const std::string& pointer);
    uint64_t readUnsigned(std::string_view field, const Value*, Range<uint64_t>, uint64_t fallback);
    void readArray(std::string_view field, const Value*, const ReadElement&);
    std::vector<std::string> readStrings(std::string_view field, const Value*);
    void addWrongType(const std::string& pointer, const Value&, std::string_view expected);
    void addUnknownChoice(std::string_view field, const std::vector<std::string_view>& names);

    template <typename Choice>
    Choice readChoice(std::string_view field, const Value* value, Choices<Choice> choices, Choice fallback)
    {
        if (!value)
            return fallback;
        auto* text = value->asString();
        if (!text) {
            addWrongType(pointerTo(field), *value, "a string");
            return fallback;
        }
        std::vector<std::string_view> names;
        for (auto& [name, choice] : choices) {
            if (name == *text)
                return choice;
            names.push_back(name);
        }
        addUnknownChoice(field, names);
        return fallback;
    }

    ParsedFile& m_file;
    const Value& m_value;
    std::string m_pointer;
    std::vector<std::string_view> m_knownFields;
};

} // namespace Lavenderloft::Json
