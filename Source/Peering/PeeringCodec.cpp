#include "Peering/PeeringCodec.h"

#include "Scheduling/Queries/ClampDemand.h"

#include "peering.pb.h"

#include <algorithm>
#include <cmath>

namespace Lavenderloft::Peering {

namespace protocol = lavenderloft::peering::v1;

namespace {

    void writeTimes(const MessageTimes& times, protocol::Heartbeat& encoded)
    {
        if (times.sentAt) {
            encoded.set_sent_at_ms(static_cast<uint64_t>(times.sentAt->time.count()));
            encoded.set_incarnation(times.sentAt->incarnation);
        }
        if (times.notSentBefore) {
            encoded.set_not_sent_before_ms(static_cast<uint64_t>(times.notSentBefore->time.count()));
            encoded.set_receiver_incarnation(times.notSentBefore->incarnation);
        }
    }

    // No monotonic clock reads more; sums with larger times could overflow.
    constexpr uint64_t maximumReadingMs = uint64_t(100) * 365 * 24 * 3600 * 1000;

    std::optional<ClockReading> readingOf(uint32_t incarnation, uint64_t milliseconds)
    {
        if (milliseconds > maximumReadingMs)
            return std::nullopt;
        return ClockReading { incarnation, std::chrono::milliseconds(milliseconds) };
    }

    MessageTimes readTimes(const protocol::Heartbeat& encoded)
    {
        MessageTimes times;
        if (encoded.has_sent_at_ms())
            times.sentAt = readingOf(encoded.incarnation(), encoded.sent_at_ms());
        if (encoded.has_not_sent_before_ms())
            times.notSentBefore = readingOf(encoded.receiver_incarnation(), encoded.not_sent_before_ms());
        return times;
    }

    void writeDemand(const Scheduling::DemandByUrgency& demand, protocol::Heartbeat& encoded)
    {
        for (size_t band = 0; band < demand.bands.size(); ++band) {
            auto& own = demand.bands[band];
            if (own.isEmpty())
                continue;
            auto* added = encoded.add_urgency_demands();
            added->set_urgency(static_cast<uint32_t>(band));
            added->set_requests_per_second(own.requestsPerSecond);
            added->set_waiting(own.waiting);
            added->set_starts_per_second(own.startsPerSecond);
        }
    }

    // The sender may be faulty, and a number without a bound would give it the slots of the other routers.
    void readDemand(const protocol::Heartbeat& encoded, NodeMessage& message)
    {
        message.demand = Scheduling::Queries::clampRate(encoded.demand());
        if (message.demand != encoded.demand())
            ++message.clampedDemands;
        for (auto& band : encoded.urgency_demands()) {
            Scheduling::UrgencyDemand demand { band.requests_per_second(), band.waiting(), band.starts_per_second() };
            if (band.urgency() >= Scheduling::DemandByUrgency::bandCount || Scheduling::Queries::isOutOfBounds(demand))
                ++message.clampedDemands;
            if (band.urgency() < Scheduling::DemandByUrgency::bandCount)
                message.urgencyDemand.bands[band.urgency()] = Scheduling::Queries::clampDemand(demand);
        }
    }

    void writeReuse(const std::optional<Scheduling::ReuseLimit>& reuse, protocol::EngineLoad& encoded)
    {
        if (!reuse)
            return;
        encoded.set_reuse_urgency(static_cast<uint32_t>(reuse->urgency));
        encoded.set_reuse_per_second(reuse->requestsPerSecond);
    }

    std::optional<Scheduling::ReuseLimit> readReuse(const protocol::EngineLoad& encoded)
    {
        if (!encoded.has_reuse_urgency() || encoded.reuse_urgency() >= Scheduling::DemandByUrgency::bandCount)
            return std::nullopt;
        return Scheduling::ReuseLimit { static_cast<int>(encoded.reuse_urgency()), Scheduling::Queries::clampRate(encoded.reuse_per_second()) };
    }

    // Zero, which says nothing, for a number that is none.
    double readPace(double pace)
    {
        constexpr double maximumPace = 20;
        return std::isfinite(pace) ? std::clamp(pace, 0.0, maximumPace) : 0;
    }

} // namespace

// Of concatenated messages, the receiver sees one with the fields of both.
std::string encodeTimes(const MessageTimes& times)
{
    protocol::Heartbeat encoded;
    writeTimes(times, encoded);
    return encoded.SerializeAsString();
}

std::string encodeMessage(const NodeMessage& message)
{
    protocol::Heartbeat encoded;
    encoded.set_sender(message.sender);
    encoded.set_data_centre(message.dataCentre);
    encoded.set_is_router(message.isRouter);
    encoded.set_leaving(message.leaving);
    encoded.set_revision(message.position.revision);
    encoded.set_store_era(message.position.era);
    encoded.set_retained_digest(message.retainedDigest);
    encoded.set_demand(message.demand);
    if (message.storeAge)
        encoded.set_store_age_ms(static_cast<uint32_t>(message.storeAge->count()));
    for (auto& router : message.routers) {
        auto* known = encoded.add_routers();
        known->set_address(router.address);
        known->set_data_centre(router.dataCentre);
        known->set_age_ms(static_cast<uint32_t>(router.age.count()));
    }
    if (message.load) {
        auto* load = encoded.mutable_load();
        load->set_service(message.load->service);
        load->set_engine_address(message.load->engineAddress);
        load->set_running(message.load->running);
        load->set_queued(message.load->queued);
        load->set_whole_version(message.load->wholeVersion);
        load->set_paused(message.load->paused);
        load->set_cold(message.load->cold);
        if (message.load->abortsIn)
            load->set_cuts_in_ms(static_cast<uint32_t>(message.load->abortsIn->count()));
        if (message.load->endedAgo)
            load->set_ended_ago_ms(static_cast<uint32_t>(message.load->endedAgo->count()));
        load->set_granted(message.load->granted);
        load->set_pace(message.load->pace);
        writeReuse(message.load->reuse, *load);
    }
    for (auto& crash : message.crashes) {
        auto* report = encoded.add_crashes();
        report->set_fingerprint(crash.fingerprint);
        report->set_target(crash.target);
        report->set_incarnation(crash.incarnation);
        report->set_age_ms(static_cast<uint32_t>(crash.age.count()));
    }
    for (auto& declaration : message.declarations) {
        auto* observed = encoded.add_declarations();
        observed->set_model(declaration.model);
        observed->set_version(declaration.version);
        observed->set_age_ms(static_cast<uint32_t>(declaration.age.count()));
    }
    for (auto& crash : message.parts.crashes) {
        auto* report = encoded.add_part_crashes();
        report->set_position(crash.position);
        report->set_part(crash.part);
        report->set_target(crash.target);
        report->set_age_ms(static_cast<uint32_t>(crash.age.count()));
    }
    for (auto& served : message.parts.served) {
        auto* report = encoded.add_parts_served();
        report->set_part(served.part);
        report->set_age_ms(static_cast<uint32_t>(served.age.count()));
    }
    for (auto& limit : message.limits) {
        auto* report = encoded.add_limits();
        report->set_service(limit.service);
        report->set_target(limit.target);
        report->set_incarnation(limit.incarnation);
        if (limit.requestsPerSecond)
            report->set_requests_per_second(*limit.requestsPerSecond);
        report->set_age_ms(static_cast<uint32_t>(limit.age.count()));
    }
    writeDemand(message.urgencyDemand, encoded);
    writeTimes(message.times, encoded);
    return encoded.SerializeAsString();
}

std::optional<NodeMessage> decodeMessage(const std::string& bytes)
{
    protocol::Heartbeat encoded;
    if (!encoded.ParseFromString(bytes) || encoded.sender().empty())
        return std::nullopt;
    NodeMessage message;
    message.sender = encoded.sender();
    message.dataCentre = encoded.data_centre();
    message.isRouter = encoded.is_router();
    message.leaving = encoded.leaving();
    message.position = { encoded.store_era(), encoded.revision() };
    message.retainedDigest = encoded.retained_digest();
    readDemand(encoded, message);
    if (encoded.has_store_age_ms())
        message.storeAge = std::chrono::milliseconds(encoded.store_age_ms());
    for (auto& router : encoded.routers())
        message.routers.push_back({ router.address(), router.data_centre(), std::chrono::milliseconds(router.age_ms()) });
    if (encoded.has_load()) {
        auto& load = encoded.load();
        message.load = EngineLoad { load.service(), load.engine_address(), load.running(), load.queued(), load.whole_version(), load.paused(), load.granted(), load.cold(), std::nullopt, std::nullopt, readPace(load.pace()) };
        if (load.has_cuts_in_ms())
            message.load->abortsIn = std::chrono::milliseconds(load.cuts_in_ms());
        if (load.has_ended_ago_ms())
            message.load->endedAgo = std::chrono::milliseconds(load.ended_ago_ms());
        message.load->reuse = readReuse(load);
    }
    for (auto& crash : encoded.crashes())
        message.crashes.push_back({ crash.fingerprint(), crash.target(), crash.incarnation(), std::chrono::milliseconds(crash.age_ms()) });
    for (auto& declaration : encoded.declarations())
        message.declarations.push_back({ declaration.model(), declaration.version(), std::chrono::milliseconds(declaration.age_ms()) });
    for (auto& crash : encoded.part_crashes())
        message.parts.crashes.push_back({ crash.part(), crash.target(), std::chrono::milliseconds(crash.age_ms()), crash.position() });
    for (auto& served : encoded.parts_served())
        message.parts.served.push_back({ served.part(), std::chrono::milliseconds(served.age_ms()) });
    for (auto& limit : encoded.limits()) {
        bool isValid = !limit.has_requests_per_second() || (limit.requests_per_second() >= 0 && std::isfinite(limit.requests_per_second()));
        if (!isValid)
            continue;
        auto rate = limit.has_requests_per_second() ? std::optional(limit.requests_per_second()) : std::nullopt;
        message.limits.push_back({ limit.service(), limit.target(), limit.incarnation(), rate, std::chrono::milliseconds(limit.age_ms()) });
    }
    message.times = readTimes(encoded);
    return message;
}

std::string encodeItems(const ItemBatch& batch)
{
    protocol::ItemBatch encoded;
    encoded.set_revision(batch.position.revision);
    encoded.set_era(batch.position.era);
    for (auto& item : batch.items) {
        auto* added = encoded.add_items();
        added->set_key(item.key);
        auto packed = batch.packedValues.find(item.key);
        if (packed == batch.packedValues.end()) {
            added->set_value(item.value);
        } else {
            added->set_packed_value(packed->second.bytes);
            added->set_base_revision(packed->second.basePosition.revision);
            added->set_base_era(packed->second.basePosition.era);
            added->set_value_digest(packed->second.digest);
        }
        added->set_revision(item.position.revision);
        added->set_era(item.position.era);
        added->set_deleted(item.deleted);
        added->set_age_ms(static_cast<uint64_t>(item.age.count()));
        added->set_age_is_bound(item.ageIsBound);
        added->set_deletion_delay_ms(static_cast<uint64_t>(item.deletionDelay.count()));
    }
    return encoded.SerializeAsString();
}

std::optional<ItemBatch> decodeItems(const std::string& bytes)
{
    protocol::ItemBatch encoded;
    if (!encoded.ParseFromString(bytes))
        return std::nullopt;
    ItemBatch batch;
    batch.position = { encoded.era(), encoded.revision() };
    for (auto& item : encoded.items()) {
        if (!item.packed_value().empty())
            batch.packedValues[item.key()] = { item.packed_value(), { item.base_era(), item.base_revision() }, item.value_digest() };
        batch.items.push_back({ item.key(), item.value(), { item.era(), item.revision() }, item.deleted(), std::chrono::milliseconds(item.age_ms()), item.age_is_bound(), std::chrono::milliseconds(item.deletion_delay_ms()) });
    }
    return batch;
}

} // namespace Lavenderloft::Peering
