#include "Transport/ControlCodec.h"

#include "lavenderloft.pb.h"

#include <algorithm>

namespace Lavenderloft::Transport {

namespace proto = ::lavenderloft::v1;

namespace {

    // The protobuf enumerations reserve 0 for UNSPECIFIED, so their values are offset by one.
    template <typename ProtoEnum, typename Enum>
    ProtoEnum toProto(Enum value)
    {
        return static_cast<ProtoEnum>(static_cast<int>(value) + 1);
    }

    template <typename Enum>
    Enum fromProto(int value, Enum last, Enum fallback)
    {
        if (value < 1 || value > static_cast<int>(last) + 1)
            return fallback;
        return static_cast<Enum>(value - 1);
    }

    uint32_t toMilliseconds(Base::Duration duration)
    {
        auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
        return static_cast<uint32_t>(std::clamp<int64_t>(count, 0, UINT32_MAX));
    }

    void encodeLoad(const Membership::TargetLoad& load, proto::TargetLoad& message)
    {
        message.set_running(load.running);
        message.set_limit(load.limit);
        message.set_queued(load.queued);
        message.set_held_bytes(load.heldBytes);
        message.set_accepting(load.accepting);
    }

    Membership::TargetLoad decodeLoad(const proto::TargetLoad& message)
    {
        Membership::TargetLoad load;
        load.running = message.running();
        load.limit = message.limit();
        load.queued = message.queued();
        load.heldBytes = message.held_bytes();
        load.accepting = message.accepting();
        return load;
    }

    void encodeReplica(const Membership::Replica& replica, proto::Replica& message)
    {
        message.set_pool(replica.pool);
        message.set_serving_digest(replica.servingDigest);
        message.set_wanted_digest(replica.wantedDigest);
        message.set_phase(toProto<proto::ReplicaPhase>(replica.phase));
        message.set_chunks_held(replica.chunksHeld);
        message.set_chunks_total(replica.chunksTotal);
        message.set_reason(replica.reason);
        message.mutable_adapters()->Assign(replica.adapters.begin(), replica.adapters.end());
    }

    Membership::Replica decodeReplica(const proto::Replica& message)
    {
        Membership::Replica replica;
        replica.pool = message.pool();
        replica.servingDigest = message.serving_digest();
        replica.wantedDigest = message.wanted_digest();
        replica.phase = fromProto(message.phase(), Membership::ReplicaPhase::Failed, Membership::ReplicaPhase::Failed);
        replica.chunksHeld = message.chunks_held();
        replica.chunksTotal = message.chunks_total();
        replica.reason = message.reason();
        replica.adapters.assign(message.adapters().begin(), message.adapters().end());
        return replica;
    }

    template <typename Message>
    void encodeCommon(const Membership::GossipMessage& gossip, Message& message)
    {
        message.set_revision(gossip.revision);
        message.set_document_digest(gossip.documentDigest);
        message.set_confirmation_age_ms(toMilliseconds(gossip.confirmationAge));
        message.set_view_hash(gossip.viewHash);
        message.set_shared(gossip.isShared);
        for (auto& member : gossip.members)
            encode(member, *message.add_members());
        for (auto& report : gossip.poolReports)
            encode(report, *message.add_pool_reports());
        for (auto& evidence : gossip.crashEvidence) {
            auto* entry = message.add_quarantines();
            entry->set_fingerprint(evidence.fingerprint);
            entry->set_target(evidence.target);
            entry->set_age_ms(toMilliseconds(evidence.age));
        }
    }

    template <typename Message>
    Membership::GossipMessage decodeCommon(const Message& message)
    {
        Membership::GossipMessage gossip;
        gossip.revision = message.revision();
        gossip.documentDigest = message.document_digest();
        gossip.confirmationAge = std::chrono::milliseconds(message.confirmation_age_ms());
        gossip.viewHash = message.view_hash();
        gossip.isShared = message.shared();
        for (auto& member : message.members())
            gossip.members.push_back(decode(member));
        for (auto& report : message.pool_reports())
            gossip.poolReports.push_back(decode(report));
        for (auto& entry : message.quarantines())
            gossip.crashEvidence.push_back({ entry.fingerprint(), entry.target(), std::chrono::milliseconds(entry.age_ms()) });
        return gossip;
    }

} // namespace

void encode(const Membership::Member& member, proto::Member& message)
{
    message.set_vm(member.vm);
    message.set_address(member.address);
    message.set_data_centre(member.dataCentre);
    message.set_region(member.region);
    message.set_role(toProto<proto::MemberRole>(member.role));
    message.set_status(toProto<proto::MemberStatus>(member.status));
    message.set_incarnation(member.incarnation);
    message.set_version(member.version);
    message.set_shared_version(member.sharedVersion);
    message.set_revision(member.revision);
    message.set_refused_document(member.refusedDocument);
    if (member.role == Membership::Role::Agent && member.hasDetail)
        encodeLoad(member.load, *message.mutable_load());
    for (auto& replica : member.replicas)
        encodeReplica(replica, *message.add_replicas());
}

Membership::Member decode(const proto::Member& message)
{
    Membership::Member member;
    member.vm = message.vm();
    member.address = message.address();
    member.dataCentre = message.data_centre();
    member.region = message.region();
    member.role = fromProto(message.role(), Membership::Role::Agent, Membership::Role::Router);
    member.status = fromProto(message.status(), Membership::Status::Dead, Membership::Status::Suspect);
    member.incarnation = message.incarnation();
    member.version = message.version();
    member.hasDetail = member.version > 0;
    member.sharedVersion = message.shared_version();
    member.revision = message.revision();
    member.refusedDocument = message.refused_document();
    member.load = decodeLoad(message.load());
    for (auto& replica : message.replicas())
        member.replicas.push_back(decodeReplica(replica));
    return member;
}

void encode(const Membership::PoolReport& report, proto::PoolReport& message)
{
    message.set_data_centre(report.dataCentre);
    message.set_pool(report.pool);
    message.set_wanted(report.wanted);
    message.set_ready(report.ready);
    message.set_loading(report.loading);
    message.set_fetching(report.fetching);
    message.set_late(report.late);
    message.set_oldest_revision(report.oldestRevision);
    message.set_age_ms(toMilliseconds(report.age));
}

Membership::PoolReport decode(const proto::PoolReport& message)
{
    Membership::PoolReport report;
    report.dataCentre = message.data_centre();
    report.pool = message.pool();
    report.wanted = message.wanted();
    report.ready = message.ready();
    report.loading = message.loading();
    report.fetching = message.fetching();
    report.late = message.late();
    report.oldestRevision = message.oldest_revision();
    report.age = std::chrono::milliseconds(message.age_ms());
    return report;
}

void encode(const Membership::GossipMessage& gossip, proto::ExchangeRequest& message)
{
    encodeCommon(gossip, message);
    message.set_from_vm(gossip.fromVm);
    message.set_from_data_centre(gossip.fromDataCentre);
    message.set_member_count(static_cast<uint32_t>(gossip.memberCount));
    message.set_page_cursor(gossip.pageCursor);
    message.mutable_part_hashes()->Assign(gossip.partHashes.begin(), gossip.partHashes.end());
}

void encode(const Membership::GossipMessage& gossip, proto::ExchangeResponse& message)
{
    encodeCommon(gossip, message);
    message.set_next_cursor(gossip.pageCursor);
}

Membership::GossipMessage decode(const proto::ExchangeRequest& message)
{
    auto gossip = decodeCommon(message);
    gossip.fromVm = message.from_vm();
    gossip.fromDataCentre = message.from_data_centre();
    gossip.memberCount = message.member_count();
    gossip.pageCursor = message.page_cursor();
    gossip.partHashes.assign(message.part_hashes().begin(), message.part_hashes().end());
    return gossip;
}

Membership::GossipMessage decode(const proto::ExchangeResponse& message, const std::string& fromVm)
{
    auto gossip = decodeCommon(message);
    gossip.fromVm = fromVm;
    gossip.pageCursor = message.next_cursor();
    return gossip;
}

} // namespace Lavenderloft::Transport
