#include "Schemas/SchemaWalker.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace Lavenderloft::Testing {

using Json::ProblemKind;
using nlohmann::json;

SchemaWalker::SchemaWalker(json schema, json sample, Parse parse)
    : m_schema(std::move(schema))
    , m_sample(std::move(sample))
    , m_parse(std::move(parse))
{
}

std::vector<std::string> SchemaWalker::differences()
{
    for (auto& problem : m_parse(m_sample.dump()))
        m_differences.push_back("the parser rejects the sample: " + problem.describe());
    compareObject(m_schema, Pointer(""));
    return m_differences;
}

void SchemaWalker::compareObject(const json& schema, const Pointer& pointer)
{
    compareKnownFields(schema, pointer);
    for (auto& field : schema["required"]) {
        auto changed = m_sample;
        changed[pointer].erase(field.get<std::string>());
        auto missing = pointer / field.get<std::string>();
        auto problems = m_parse(changed.dump());
        bool isReported = std::any_of(problems.begin(), problems.end(),
            [&](auto& problem) { return problem.kind == ProblemKind::MissingField && problem.pointer == missing.to_string(); });
        expect(isReported, true, missing, "missing field");
    }
    for (auto& [name, field] : schema["properties"].items()) {
        ++m_fieldCount;
        compareField(resolve(field), pointer / name);
    }
}

void SchemaWalker::compareField(const json& schema, const Pointer& pointer)
{
    auto type = schema.value("type", "");
    // A number in place of an object, and an object in place of any other type.
    auto wrong = type == "object" ? json(1) : json::object();
    expect(reportsAfter(pointer, wrong, ProblemKind::WrongType), true, pointer, "wrong type");
    if (type == "object")
        compareObject(schema, pointer);
    if (type == "integer" || type == "number")
        compareRange(schema, pointer);
    if (schema.contains("enum"))
        compareChoice(schema, pointer);
    if (schema.contains("pattern"))
        expect(reportsAfter(pointer, "\t?", ProblemKind::Malformed), true, pointer, "malformed text");
    if (type != "array")
        return;
    expect(reportsAfter(pointer, json::array(), ProblemKind::OutOfRange), schema.contains("minItems"), pointer, "empty list");
    auto& items = resolve(schema["items"]);
    if (m_sample.contains(pointer) && !m_sample[pointer].empty())
        compareField(items, pointer / 0);
    else
        m_differences.push_back(pointer.to_string() + ": the sample has no element in this list");
}

void SchemaWalker::compareKnownFields(const json& schema, const Pointer& pointer)
{
    static const std::string probe = "unknownProbe";
    auto changed = m_sample;
    changed[pointer][probe] = 1;
    std::set<std::string> known;
    for (auto& problem : m_parse(changed.dump())) {
        if (problem.pointer != (pointer / probe).to_string())
            continue;
        std::istringstream list(problem.remedy.substr(problem.remedy.find(": ") + 1));
        for (std::string field; list >> field;)
            known.insert(field.substr(0, field.find(',')));
    }
    std::set<std::string> described;
    for (auto& [name, field] : schema["properties"].items())
        described.insert(name);
    expect(known == described && schema.value("additionalProperties", true) == false, true, pointer, "set of fields");
}

void SchemaWalker::compareRange(const json& schema, const Pointer& pointer)
{
    bool isInteger = schema["type"] == "integer";
    auto maximum = schema["maximum"];
    expect(reportsAfter(pointer, maximum, ProblemKind::OutOfRange), false, pointer, "maximum");
    auto above = isInteger ? json(maximum.get<int64_t>() + 1) : json(maximum.get<double>() + 0.01);
    expect(reportsAfter(pointer, above, ProblemKind::OutOfRange), true, pointer, "number above the maximum");
    if (schema.contains("exclusiveMinimum")) {
        expect(reportsAfter(pointer, schema["exclusiveMinimum"], ProblemKind::OutOfRange), true, pointer, "exclusive minimum");
        return;
    }
    auto minimum = schema["minimum"].get<int64_t>();
    expect(reportsAfter(pointer, minimum, ProblemKind::OutOfRange), false, pointer, "minimum");
    expect(reportsAfter(pointer, minimum - 1, ProblemKind::OutOfRange), true, pointer, "number below the minimum");
}

void SchemaWalker::compareChoice(const json& schema, const Pointer& pointer)
{
    for (auto& choice : schema["enum"])
        expect(reportsAfter(pointer, choice, ProblemKind::Malformed), false, pointer, "enumeration value " + choice.get<std::string>());
    expect(reportsAfter(pointer, "another", ProblemKind::Malformed), true, pointer, "value outside the enumeration");
}

const json& SchemaWalker::resolve(const json& schema) const
{
    if (!schema.contains("$ref"))
        return schema;
    return m_schema[Pointer(schema["$ref"].get<std::string>().substr(1))];
}

bool SchemaWalker::reportsAfter(const Pointer& pointer, const json& value, ProblemKind kind) const
{
    auto changed = m_sample;
    changed[pointer] = value;
    auto problems = m_parse(changed.dump());
    return std::any_of(problems.begin(), problems.end(),
        [&](auto& problem) { return problem.kind == kind && problem.pointer == pointer.to_string(); });
}

void SchemaWalker::expect(bool isReported, bool isExpected, const Pointer& pointer, const std::string& what)
{
    if (isReported != isExpected)
        m_differences.push_back(pointer.to_string() + ": schema and parser differ on: " + what);
}

} // namespace Lavenderloft::Testing
