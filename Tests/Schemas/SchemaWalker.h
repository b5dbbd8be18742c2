#pragma once

#include "Json/Problem.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Lavenderloft::Testing {

// Compares a JSON schema with a parser. For each field of the schema, modifies a valid sample at that field and checks
// that the parser reports an error if and only if the schema requires one.
class SchemaWalker {
public:
    using Parse = std::function<std::vector<Json::Problem>(const std::string&)>;

    SchemaWalker(nlohmann::json schema, nlohmann::json sample, Parse parse);

    // Descriptions of the differences; empty if schema and parser agree.
    std::vector<std::string> differences();

    // Number of fields of the schema that were compared.
    size_t fieldCount() const { return m_fieldCount; }

private:
    using Pointer = nlohmann::json::json_pointer;

    void compareObject(const nlohmann::json& schema, const Pointer&);
    void compareField(const nlohmann::json& schema, const Pointer&);
    void compareKnownFields(const nlohmann::json& schema, const Pointer&);
    void compareRange(const nlohmann::json& schema, const Pointer&);
    void compareChoice(const nlohmann::json& schema, const Pointer&);
    const nlohmann::json& resolve(const nlohmann::json& schema) const;
    bool reportsAfter(const Pointer&, const nlohmann::json& value, Json::ProblemKind) const;
    void expect(bool isReported, bool isExpected, const Pointer&, const std::string& what);

    nlohmann::json m_schema;
    nlohmann::json m_sample;
    Parse m_parse;
    std::vector<std::string> m_differences;
    size_t m_fieldCount = 0;
};

} // namespace Lavenderloft::Testing
