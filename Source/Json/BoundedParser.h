#pragma once

#include "Base/Result.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace Lavenderloft::Json {

// Limits of a document from outside the process. Without them a document takes many times its size in memory, and
// nested values exceed the stack of functions that visit them recursively.
struct DocumentLimits {
    size_t nesting = 64;
    size_t values = 200000;
};

enum class DocumentErrorKind {
    Malformed,
    TooDeep,
    TooManyValues,
};

using DocumentError = Base::Error<DocumentErrorKind>;

// Parses a document that is valid JSON within the limits. Parsing ends at the first value beyond them.
Base::Result<nlohmann::json, DocumentError> parseBounded(std::string_view text, const DocumentLimits& = {});

} // namespace Lavenderloft::Json
