#include "Configuration/Queries/CurrentDocument.h"

namespace Lavenderloft::Configuration::Queries {

std::shared_ptr<const DesiredState::Document> CurrentDocument::document() const
{
    auto current = m_store.current();
    if (!current)
        return nullptr;
    return { current, &current->document };
}

bool CurrentDocument::wouldBeReplacedBy(uint64_t revision, const std::string& digest) const
{
    auto current = m_store.current();
    return !current || isGreater(revision, digest, current->document.revision, current->digest);
}

} // namespace Lavenderloft::Configuration::Queries
