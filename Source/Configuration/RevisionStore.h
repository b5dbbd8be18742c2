#pragma once

#include "DesiredState/Document.h"

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

// Selects the active document, accepts newer ones, and schedules reads of the configuration service.
namespace Lavenderloft::Configuration {

// A valid document together with its bytes as published.
struct AcceptedDocument {
    DesiredState::Document document;
    std::string bytes;
    // SHA-256 of the bytes.
    std::string digest;
};

// A document that failed validation, as `lavenderloft status` shows it.
struct RefusedDocument {
    std::string digest;
    std::string reason;
};

// Holds the valid document with the greatest (revision, digest) seen so far, and never replaces it by a lower one.
class RevisionStore {
public:
    // The active document; null until the first one is accepted.
    std::shared_ptr<const AcceptedDocument> current() const;

    // Finds a recently active document, used as the base of a delta; null if it is no longer stored.
    std::shared_ptr<const AcceptedDocument> findRecent(const std::string& digest) const;

    // The last refused document; empty if a document was accepted after it.
    std::optional<RefusedDocument> refused() const;

    // Replaces the active document if the given one is greater, and returns whether it did.
    bool replaceIfGreater(std::shared_ptr<const AcceptedDocument>);

    void recordRefused(RefusedDocument);

private:
    // Documents kept as bases of deltas, each up to one megabyte.
    static constexpr size_t maximumRecent = 4;

    mutable std::mutex m_lock;
    std::shared_ptr<const AcceptedDocument> m_current;
    std::deque<std::shared_ptr<const AcceptedDocument>> m_recent;
    std::optional<RefusedDocument> m_refused;
};

// Compares (revision, digest) lexicographically.
bool isGreater(uint64_t revision, const std::string& digest, uint64_t otherRevision, const std::string& otherDigest);

} // namespace Lavenderloft::Configuration
