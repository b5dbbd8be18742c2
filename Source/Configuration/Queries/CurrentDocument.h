#pragma once

#include "Configuration/RevisionStore.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Lavenderloft::Configuration::Queries {

// Reads the active document.
class CurrentDocument {
public:
    explicit CurrentDocument(const RevisionStore& store)
        : m_store(store)
    {
    }

    // Null until the first document is accepted.
    std::shared_ptr<const DesiredState::Document> document() const;

    // Whether a valid document with the given revision and digest would replace the active one.
    bool wouldBeReplacedBy(uint64_t revision, const std::string& digest) const;

private:
    const RevisionStore& m_store;
};

} // namespace Lavenderloft::Configuration::Queries
