#include "Json/ObjectReader.h"

#include <algorithm>

namespace Lavenderloft::Json {

namespace {

    std::string join(const std::vector<std::string_view>& names)
    {
        std::string text;
        for (auto name : names) {
            if (!text.empty())
                text += ", ";
            text += name;
        }
        return text;
    }

    std::string describeRange(Range<uint64_t> range)
    {
        return "from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
    }

} // namespace

ObjectReader::ObjectReader(ParsedFile& file, const Value& value, std::string pointer)
    : m_file(file)
    , m_value(value)
    , m_pointer(std::move(pointer))
{
    if (!value.asObject())
        addWrongType(m_pointer, value, "an object");
}

std::string ObjectReader::requiredString(std::string_view field)
{
    return readString(field, findRequired(field));
}

std::string ObjectReader::optionalString(std::string_view field)
{
    return readString(field, findOptional(field));
}

uint64_t ObjectReader::requiredUnsigned(std::string_view field, Range<uint64_t> range)
{
    return readUnsigned(field, findRequired(field), range, range.minimum);
}

uint64_t ObjectReader::optionalUnsigned(std::string_view field, Range<uint64_t> range, uint64_t fallback)
{
    return readUnsigned(field, findOptional(field), range, fallback);
}

std::chrono::milliseconds ObjectReader::optionalMilliseconds(std::string_view field, Range<std::chrono::milliseconds> range, std::chrono::milliseconds fallback)
{
    auto toCount = [](std::chrono::milliseconds time) { return static_cast<uint64_t>(time.count()); };
    auto value = optionalUnsigned(field, { toCount(range.minimum), toCount(range.maximum) }, toCount(fallback));
    return std::chrono::milliseconds(value);
}

double ObjectReader::optionalNumber(std::string_view field, double fallback)
{
    auto* value = findOptional(field);
    if (!value)
        return fallback;
    if (auto* number = std::get_if<double>(&value->data))
        return *number;
    if (auto* number = std::get_if<uint64_t>(&value->data))
        return static_cast<double>(*number);
    if (auto* number = std::get_if<int64_t>(&value->data))
        return static_cast<double>(*number);
    addWrongType(pointerTo(field), *value, "a number");
    return fallback;
}

bool ObjectReader::optionalBool(std::string_view field, bool fallback)
{
    auto* value = findOptional(field);
    if (!value)
        return fallback;
    if (auto* flag = std::get_if<bool>(&value->data))
        return *flag;
    addWrongType(pointerTo(field), *value, "true or false");
    return fallback;
}

std::vector<std::string> ObjectReader::optionalStrings(std::string_view field)
{
    return readStrings(field, findOptional(field));
}

std::vector<std::string> ObjectReader::requiredStrings(std::string_view field)
{
    return readStrings(field, findRequired(field));
}

void ObjectReader::requiredArray(std::string_view field, const ReadElement& readElement)
{
    readArray(field, findRequired(field), readElement);
}

void ObjectReader::optionalArray(std::string_view field, const ReadElement& readElement)
{
    readArray(field, findOptional(field), readElement);
}

void ObjectReader::optionalObject(std::string_view field, const ReadElement& readElement)
{
    if (auto* value = findOptional(field))
        readElement(*value, pointerTo(field));
}

void ObjectReader::reportUnknownFields()
{
    auto* object = m_value.asObject();
    if (!object)
        return;
    for (auto& member : *object) {
        if (std::find(m_knownFields.begin(), m_knownFields.end(), member.name) != m_knownFields.end())
            continue;
        m_file.addProblemAt(member.value.offset, ProblemKind::UnknownField, pointerTo(member.name),
            "the field is not known", "remove it or use one of: " + join(m_knownFields));
    }
}

const Value* ObjectReader::findOptional(std::string_view field)
{
    m_knownFields.push_back(field);
    return m_value.find(field);
}

const Value* ObjectReader::findRequired(std::string_view field)
{
    auto* value = findOptional(field);
    if (!value && m_value.asObject())
        m_file.addProblem(ProblemKind::MissingField, pointerTo(field), "the field is missing", "add it");
    return value;
}

std::string ObjectReader::readString(std::string_view field, const Value* value)
{
    if (!value)
        return {};
    return readString(*value, pointerTo(field));
}

std::string ObjectReader::readString(const Value& value, const std::string& pointer)
{
    auto* text = value.asString();
    if (!text) {
        addWrongType(pointer, value, "a string");
        return {};
    }
    if (text->empty())
        m_file.addProblemAt(value.offset, ProblemKind::Malformed, pointer, "the string is empty", "fill it in or remove it");
    return *text;
}

uint64_t ObjectReader::readUnsigned(std::string_view field, const Value* value, Range<uint64_t> range, uint64_t fallback)
{
    if (!value)
        return fallback;
    // JSON has a single number type, so negative numbers and fractions are reported as out of range, not as a wrong type.
    bool isNumber = std::holds_alternative<int64_t>(value->data) || std::holds_alternative<double>(value->data);
    auto* number = std::get_if<uint64_t>(&value->data);
    if (!number && !isNumber) {
        addWrongType(pointerTo(field), *value, "an integer");
        return fallback;
    }
    if (number && *number >= range.minimum && *number <= range.maximum)
        return *number;
    m_file.addProblem(ProblemKind::OutOfRange, pointerTo(field), "the number is out of range", "use an integer " + describeRange(range));
    return fallback;
}

void ObjectReader::readArray(std::string_view field, const Value* value, const ReadElement& readElement)
{
    if (!value)
        return;
    auto pointer = pointerTo(field);
    auto* array = value->asArray();
    if (!array) {
        addWrongType(pointer, *value, "an array");
        return;
    }
    for (size_t i = 0; i < array->size(); ++i)
        readElement((*array)[i], childPointer(pointer, i));
}

std::vector<std::string> ObjectReader::readStrings(std::string_view field, const Value* value)
{
    std::vector<std::string> strings;
    readArray(field, value, [&](const Value& element, const std::string& pointer) {
        // An invalid element is stored as an empty string, so that indices match those in the file.
        strings.push_back(readString(element, pointer));
    });
    return strings;
}

void ObjectReader::addWrongType(const std::string& pointer, const Value& value, std::string_view expected)
{
    m_file.addProblemAt(value.offset, ProblemKind::WrongType, pointer,
        "the value is " + std::string(value.describeType()), "use " + std::string(expected));
}

void ObjectReader::addUnknownChoice(std::string_view field, const std::vector<std::string_view>& names)
{
    m_file.addProblem(ProblemKind::Malformed, pointerTo(field), "the value is not known", "use one of: " + join(names));
}

} // namespace Lavenderloft::Json
