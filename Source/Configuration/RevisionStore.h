#pragma once

#include "DesiredState/Document.h"

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

// Which document is in force, how a newer one is accepted, and who reads the configuration service.
namespace Lavenderloft::Configuration {

// A document that passed every check, with the bytes as published.
struct AcceptedDocument {
    DesiredState::Document document;
    std::string bytes;
    // SHA-256 of the bytes.
    std::string digest;
};

// A document that was refused, for `status`.
struct RefusedDocument {
    std::string digest;
    std::string reason;
};

// Holds the greatest valid document seen, by (revision, digest). It never goes back.
class RevisionStore {
public:
    // The document in force; null until the first one is accepted.
    std::shared_ptr<const AcceptedDocument> current() const;

    // A recent document by its digest, as the base of a delta; null if it is not held.
    std::shared_ptr<const AcceptedDocument> findRecent(const std::string& digest) const;

    // The newest refused document; empty once a later one was accepted.
    std::optional<RefusedDocument> refused() const;

    // Replaces the document in force if the given one is greater; returns whether it did.
    bool replaceIfGreater(std::shared_ptr<const AcceptedDocument>);

    void recordRefused(RefusedDocument);

private:
    // Documents kept as bases of deltas. Of a megabyte each at most.
    static constexpr size_t maximumRecent = 4;

    mutable std::mutex m_lock;
    std::shared_ptr<const AcceptedDocument> m_current;
    std::deque<std::shared_ptr<const AcceptedDocument>> m_recent;
    std::optional<RefusedDocument> m_refused;
};

// Whether the pair (revision, digest) orders after the other one.
bool isGreater(uint64_t revision, const std::string& digest, uint64_t otherRevision, const std::string& otherDigest);

} // namespace Lavenderloft::Configuration
