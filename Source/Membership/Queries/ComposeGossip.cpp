#include "Membership/Queries/ComposeGossip.h"

namespace Lavenderloft::Membership::Queries {

namespace {

    // Members in a page for a peer that knows most members; see maximumUpdatesPerMessage for the traffic limit.
    constexpr size_t incrementalPageSize = 6;

    // A peer that knows less than this ratio of the members receives pages of fullPageSize.
    constexpr double newPeerRatio = 0.99;

} // namespace

GossipMessage ComposeGossip::request(const std::string& peerDataCentre, const DocumentState& document, const PageState& page) const
{
    auto message = compose(document, peerDataCentre == m_table.dataCentre() ? RecordScope::Full : RecordScope::Shared);
    message.pageCursor = page.cursor;
    if (page.viewsDiffer)
        message.partHashes = message.isShared ? m_table.sharedPartHashes() : m_table.partHashes();
    return message;
}

GossipMessage ComposeGossip::response(const GossipMessage& request, const DocumentState& document) const
{
    auto scope = request.fromDataCentre == m_table.dataCentre() ? RecordScope::Full : RecordScope::Shared;
    auto message = compose(document, scope);
    auto ownHash = request.isShared ? m_table.sharedViewHash() : m_table.viewHash();
    if (request.viewHash == ownHash)
        return message;
    bool isNewPeer = static_cast<double>(request.memberCount) < newPeerRatio * static_cast<double>(message.memberCount);
    auto page = SelectUpdates(m_table).page(request.pageCursor, isNewPeer ? fullPageSize : incrementalPageSize, scope, differingParts(request));
    for (auto& member : page.members)
        message.members.push_back(std::move(member));
    message.pageCursor = page.nextCursor;
    return message;
}

PartSet ComposeGossip::differingParts(const GossipMessage& request) const
{
    PartSet differing;
    if (request.partHashes.size() != MemberTable::partCount)
        return differing.set();
    auto own = request.isShared ? m_table.sharedPartHashes() : m_table.partHashes();
    for (size_t part = 0; part < MemberTable::partCount; ++part)
        differing[part] = own[part] != request.partHashes[part];
    return differing;
}

GossipMessage ComposeGossip::compose(const DocumentState& document, RecordScope scope) const
{
    GossipMessage message;
    message.fromVm = m_table.selfVm();
    message.revision = document.revision;
    message.documentDigest = document.digest;
    message.confirmationAge = document.confirmationAge;
    message.fromDataCentre = m_table.dataCentre();
    message.isShared = scope == RecordScope::Shared;
    message.viewHash = message.isShared ? m_table.sharedViewHash() : m_table.viewHash();
    message.memberCount = m_table.entries().size();
    message.members = SelectUpdates(m_table).recent(scope);
    return message;
}

} // namespace Lavenderloft::Membership::Queries
