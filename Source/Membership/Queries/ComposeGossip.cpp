#include "Membership/Queries/ComposeGossip.h"

namespace Lavenderloft::Membership::Queries {

namespace {

    // Members in a page when the views differ by little; see maximumUpdates for the bound on traffic.
    constexpr size_t smallPage = 6;

    // A peer that knows less than this share of the members gets large pages.
    constexpr double newcomerShare = 0.99;

} // namespace

GossipMessage ComposeGossip::request(const std::string& peerDataCentre, const DocumentState& document, const PageState& page) const
{
    auto message = compose(document, peerDataCentre == m_table.dataCentre() ? Extent::Full : Extent::Shared);
    message.pageCursor = page.cursor;
    if (page.viewsDiffer)
        message.partHashes = message.isShared ? m_table.sharedPartHashes() : m_table.partHashes();
    return message;
}

GossipMessage ComposeGossip::response(const GossipMessage& request, const DocumentState& document) const
{
    auto extent = request.fromDataCentre == m_table.dataCentre() ? Extent::Full : Extent::Shared;
    auto message = compose(document, extent);
    auto ownHash = request.isShared ? m_table.sharedViewHash() : m_table.viewHash();
    if (request.viewHash == ownHash)
        return message;
    bool newcomer = static_cast<double>(request.memberCount) < newcomerShare * static_cast<double>(message.memberCount);
    auto page = SelectUpdates(m_table).page(request.pageCursor, newcomer ? maximumPage : smallPage, extent, differingParts(request));
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

GossipMessage ComposeGossip::compose(const DocumentState& document, Extent extent) const
{
    GossipMessage message;
    message.fromVm = m_table.selfVm();
    message.revision = document.revision;
    message.documentDigest = document.digest;
    message.confirmationAge = document.confirmationAge;
    message.fromDataCentre = m_table.dataCentre();
    message.isShared = extent == Extent::Shared;
    message.viewHash = message.isShared ? m_table.sharedViewHash() : m_table.viewHash();
    message.memberCount = m_table.entries().size();
    message.members = SelectUpdates(m_table).recent(extent);
    return message;
}

} // namespace Lavenderloft::Membership::Queries
