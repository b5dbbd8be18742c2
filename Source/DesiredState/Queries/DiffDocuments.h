#pragma once

#include "DesiredState/Document.h"

#include <string>
#include <vector>

namespace Lavenderloft::DesiredState::Queries {

enum class Severity {
    Note,
    // May affect callers; the operator decides whether to publish.
    Warning,
    // The document must not be published.
    Refusal,
};

// One effect of publishing a document.
struct Consequence {
    Severity severity = Severity::Note;
    // The changed object, such as "pool assistant".
    std::string subject;
    std::string message;
    // Advice to the operator; empty for a note.
    std::string remedy;
};

// Lists the consequences of replacing the first document by the second.
std::vector<Consequence> diffDocuments(const Document& before, const Document& after);

} // namespace Lavenderloft::DesiredState::Queries
