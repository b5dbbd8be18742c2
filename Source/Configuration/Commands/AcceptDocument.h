#pragma once

#include "Base/Result.h"
#include "Configuration/RevisionStore.h"

#include <string>
#include <string_view>

namespace Lavenderloft::Configuration::Commands {

enum class AcceptErrorKind {
    // The document has faults; it is refused by every process alike.
    Invalid,
    // The document in force is the same or a greater one.
    NotGreater,
};

using AcceptError = Base::Error<AcceptErrorKind>;

// Puts a document in force if it is valid and greater than the one in force. Whether a document is
// valid depends on its bytes alone.
class AcceptDocument {
public:
    explicit AcceptDocument(RevisionStore& store)
        : m_store(store)
    {
    }

    // The origin is where the bytes came from, for the log.
    Base::Result<Base::Done, AcceptError> execute(const std::string& bytes, std::string_view origin);

private:
    RevisionStore& m_store;
};

} // namespace Lavenderloft::Configuration::Commands
