#include "Configuration/RevisionStore.h"

#include <tuple>

namespace Lavenderloft::Configuration {

bool isGreater(uint64_t revision, const std::string& digest, uint64_t otherRevision, const std::string& otherDigest)
{
    return std::tie(revision, digest) > std::tie(otherRevision, otherDigest);
}

std::shared_ptr<const AcceptedDocument> RevisionStore::current() const
{
    std::lock_guard guard(m_lock);
    return m_current;
}

std::shared_ptr<const AcceptedDocument> RevisionStore::findRecent(const std::string& digest) const
{
    std::lock_guard guard(m_lock);
    for (auto& candidate : m_recent) {
        if (candidate->digest == digest)
            return candidate;
    }
    return nullptr;
}

std::optional<RefusedDocument> RevisionStore::refused() const
{
    std::lock_guard guard(m_lock);
    return m_refused;
}

bool RevisionStore::replaceIfGreater(std::shared_ptr<const AcceptedDocument> candidate)
{
    std::lock_guard guard(m_lock);
    if (m_current && !isGreater(candidate->document.revision, candidate->digest, m_current->document.revision, m_current->digest))
        return false;
    m_current = std::move(candidate);
    m_recent.push_back(m_current);
    if (m_recent.size() > maximumRecent)
        m_recent.pop_front();
    m_refused.reset();
    return true;
}

void RevisionStore::recordRefused(RefusedDocument refused)
{
    std::lock_guard guard(m_lock);
    m_refused = std::move(refused);
}

} // namespace Lavenderloft::Configuration
