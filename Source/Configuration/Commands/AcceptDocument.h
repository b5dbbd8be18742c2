#pragma once

#include "Base/Result.h"
#include "Configuration/RevisionStore.h"

#include <string>
#include <string_view>

namespace Lavenderloft::Configuration::Commands {

enum class AcceptErrorKind {
    // The document failed validation, which has the same result in every process.
    Invalid,
    // The active document has the same or a greater (revision, digest).
    NotGreater,
};

using AcceptError = Base::Error<AcceptErrorKind>;

// Activates a document if it is valid and greater than the active one. Validity depends only on the document's
// bytes.
class AcceptDocument {
public:
    explicit AcceptDocument(RevisionStore& store)
        : m_store(store)
    {
    }

    // `origin` names the source of the bytes in log lines.
    Base::Result<Base::Done, AcceptError> execute(const std::string& bytes, std::string_view origin);

private:
    RevisionStore& m_store;
};

} // namespace Lavenderloft::Configuration::Commands
