#include "Fleet/Commands/RecordDeclaration.h"

#include <algorithm>

namespace Lavenderloft::Fleet::Commands {

namespace {

    constexpr size_t maximumDeclarations = 8;
    // In force before the first declaration.
    constexpr uint64_t initialVersion = 1;

    // A smaller difference to an observed time is not worth a new snapshot at every node.
    constexpr std::chrono::milliseconds minimumRefinement { 25 };

    // Whether the received time is more accurate than the known one. A node that observed the declaration knows its time,
    // one that listed it later only a lower bound. What delays the news of an observation, a slow store or a datagram that
    // waits on a link, makes the time look too late, never too early: the earliest observed time is the most accurate.
    bool isMoreAccurate(const DeclaredWeights& received, const DeclaredWeights& known)
    {
        if (known.publishedAtIsLowerBound)
            return !received.publishedAtIsLowerBound || received.publishedAt > known.publishedAt;
        return !received.publishedAtIsLowerBound && known.publishedAt - received.publishedAt >= minimumRefinement;
    }

    // Returns whether the known time changed.
    bool refineTime(DeclaredWeights& known, const DeclaredWeights& received)
    {
        if (!isMoreAccurate(received, known))
            return false;
        known.publishedAt = received.publishedAt;
        known.publishedAtIsLowerBound = received.publishedAtIsLowerBound;
        return true;
    }

    void removeOldest(DeclarationHistory& history)
    {
        if (history.size() > maximumDeclarations)
            history.erase(history.begin(), history.end() - maximumDeclarations);
    }

    // First entry that is not older than the version.
    DeclarationHistory::iterator findPosition(DeclarationHistory& history, uint64_t version)
    {
        return std::lower_bound(history.begin(), history.end(), version, [](const DeclaredWeights& known, uint64_t sought) { return known.version < sought; });
    }

} // namespace

std::vector<DeclaredWeights> recordDeclaration(DeclarationHistory& history, const DeclaredWeights& received, Base::TimePoint missedSince)
{
    auto position = findPosition(history, received.version);
    if (position != history.end()) {
        bool isRefined = position->version == received.version && refineTime(*position, received);
        return isRefined ? std::vector<DeclaredWeights> { *position } : std::vector<DeclaredWeights> {};
    }
    std::vector<DeclaredWeights> added;
    auto lastVersion = history.empty() ? initialVersion : history.back().version;
    if (received.version > lastVersion + 1)
        added.push_back({ received.version - 1, missedSince, true });
    added.push_back(received);
    history.insert(history.end(), added.begin(), added.end());
    removeOldest(history);
    return added;
}

std::vector<DeclaredWeights> recordObservedDeclaration(DeclarationHistory& history, const DeclaredWeights& observed)
{
    auto position = findPosition(history, observed.version);
    // The published item has not arrived yet.
    if (position == history.end())
        return {};
    if (position->version == observed.version)
        return refineTime(*position, observed) ? std::vector<DeclaredWeights> { *position } : std::vector<DeclaredWeights> {};
    history.insert(position, observed);
    removeOldest(history);
    return { observed };
}

} // namespace Lavenderloft::Fleet::Commands
