#include "Process/DocumentExchange.h"

#include "Configuration/Commands/AcceptDocument.h"
#include "Configuration/Events.h"
#include "Configuration/Queries/DocumentDelta.h"
#include "DesiredState/Queries/ParseDocument.h"
#include "Membership/Commands/UpdateSelf.h"
#include "Observability/Log.h"

namespace Lavenderloft::Process {

using namespace std::chrono_literals;

namespace {

    constexpr auto documentTimeout = 3000ms;

} // namespace

DocumentExchange::DocumentExchange(ControlNodeDependencies dependencies, Membership::MemberTable& table, Configuration::RevisionStore& revisions, CallGate& gate, OfferHandler offerHandler)
    : m_dependencies(dependencies)
    , m_table(table)
    , m_revisions(revisions)
    , m_gate(gate)
    , m_offerHandler(std::move(offerHandler))
{
}

void DocumentExchange::fetchIfNewer(const std::string& address, const Membership::GossipMessage& message)
{
    auto current = m_revisions.current();
    auto revision = current ? current->document.revision : 0;
    auto digest = current ? current->digest : std::string();
    if (message.documentDigest.empty() || !Configuration::isGreater(message.revision, message.documentDigest, revision, digest))
        return;
    if (m_isFetching.exchange(true) || !m_gate.beginCall())
        return;
    m_dependencies.peers.fetchDocument(address, digest, documentTimeout, [this](std::optional<Membership::DocumentReply> reply) {
        m_isFetching = false;
        if (reply)
            acceptFromPeer(*reply);
        m_gate.endCall();
    });
}

void DocumentExchange::acceptFromPeer(const Membership::DocumentReply& reply)
{
    if (reply.delta.empty()) {
        if (!reply.document.empty())
            accept(reply.document, "peer");
        return;
    }
    auto current = m_revisions.current();
    if (!current)
        return;
    auto bytes = Configuration::Queries::applyDelta(current->bytes, reply.delta);
    if (!Base::succeeded(bytes) || DesiredState::Queries::documentDigest(Base::valueOf(bytes)) != reply.digest) {
        // The document in force may have changed during the fetch; the next exchange retries.
        Observability::logEvent(Configuration::deltaUnusable, { { "digest", reply.digest } });
        return;
    }
    accept(Base::valueOf(bytes), "peer");
}

void DocumentExchange::accept(const std::string& bytes, const char* origin)
{
    auto result = Configuration::Commands::AcceptDocument(m_revisions).execute(bytes, origin);
    auto refused = m_revisions.refused();
    auto current = m_revisions.current();
    auto change = [&](Membership::Member& self) {
        self.revision = current ? current->document.revision : 0;
        self.refusedDocument = refused ? refused->reason : std::string();
    };
    Membership::Commands::UpdateSelf(m_table).execute(change, m_dependencies.clock.now());
    m_offerHandler(Base::succeeded(result));
}

Membership::DocumentReply DocumentExchange::makeReply(const std::string& heldDigest) const
{
    auto current = m_revisions.current();
    if (!current)
        return {};
    Membership::DocumentReply reply;
    reply.digest = current->digest;
    if (auto base = m_revisions.findRecent(heldDigest))
        reply.delta = Configuration::Queries::makeDelta(base->bytes, current->bytes);
    if (reply.delta.empty())
        reply.document = current->bytes;
    return reply;
}

} // namespace Lavenderloft::Process
