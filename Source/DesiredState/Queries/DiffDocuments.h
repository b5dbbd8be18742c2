#pragma once

#include "DesiredState/Document.h"

#include <string>
#include <vector>

namespace Lavenderloft::DesiredState::Queries {

enum class Severity {
    Note,
    // Likely to surprise callers; the operator decides.
    Warning,
    // Must not be published as it is.
    Refusal,
};

// One consequence of publishing a document.
struct Consequence {
    Severity severity = Severity::Note;
    // What changes, such as "pool assistant".
    std::string subject;
    std::string message;
    // What to do instead; empty for a note.
    std::string remedy;
};

// What changes for callers and operators when the second document takes the place of the first.
std::vector<Consequence> diffDocuments(const Document& before, const Document& after);

} // namespace Lavenderloft::DesiredState::Queries
