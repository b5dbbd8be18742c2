#include "Bench/RolloutWorker.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Lavenderloft::Bench {

namespace {

    using Json = nlohmann::json;

    Json toJson(const Membership::Member& member)
    {
        return { { "vm", member.vm }, { "address", member.address }, { "dataCentre", member.dataCentre }, { "region", member.region } };
    }

    Membership::Member toMember(const Json& json)
    {
        Membership::Member member;
        json.at("vm").get_to(member.vm);
        json.at("address").get_to(member.address);
        json.at("dataCentre").get_to(member.dataCentre);
        json.at("region").get_to(member.region);
        member.role = Membership::Role::Agent;
        return member;
    }

    Json listMembers(const RolloutFleet& fleet)
    {
        auto members = Json::array();
        for (unsigned i = 0; i < fleet.size(); ++i)
            members.push_back(toJson(fleet.member(i)));
        return members;
    }

    unsigned countComplete(RolloutFleet& fleet, const std::string& digest)
    {
        unsigned count = 0;
        for (unsigned i = 0; i < fleet.size(); ++i)
            count += fleet.isAlive(i) && fleet.node(i).progress(digest).status == Weights::TransferStatus::Complete ? 1 : 0;
        return count;
    }

    Json collect(RolloutFleet& fleet, const Model& model)
    {
        uint64_t corruptChunks = 0;
        uint64_t stalledDownloads = 0;
        uint64_t failedDownloads = 0;
        uint64_t controlBytes = 0;
        uint64_t holdingsRequests = 0;
        uint64_t chunkRequests = 0;
        uint64_t busyRefusals = 0;
        unsigned wrongReplicas = 0;
        for (unsigned i = 0; i < fleet.size(); ++i) {
            auto& counters = fleet.node(i).counters();
            corruptChunks += counters.corruptChunks;
            stalledDownloads += counters.stalledDownloads;
            failedDownloads += counters.failedDownloads;
            controlBytes += counters.controlBytes;
            holdingsRequests += counters.holdingsRequests;
            chunkRequests += counters.chunkRequests;
            busyRefusals += counters.busyRefusals;
            wrongReplicas += fleet.isAlive(i) && !fleet.holdsExactly(i, model) ? 1 : 0;
        }
        auto roundTripsUs = Json::array();
        for (auto roundTrip : fleet.roundTrips().all())
            roundTripsUs.push_back(std::chrono::duration_cast<std::chrono::microseconds>(roundTrip).count());
        return {
            { "corruptChunks", corruptChunks },
            { "stalledDownloads", stalledDownloads },
            { "failedDownloads", failedDownloads },
            { "controlBytes", controlBytes },
            { "holdingsRequests", holdingsRequests },
            { "chunkRequests", chunkRequests },
            { "busyRefusals", busyRefusals },
            { "wrongReplicas", wrongReplicas },
            { "roundTripsUs", std::move(roundTripsUs) },
        };
    }

} // namespace

RolloutWorker::RolloutWorker(const FleetShape& shape, FleetPart part, const std::map<std::string, Model>& models)
    : m_shape(shape)
    , m_part(std::move(part))
    , m_models(models)
{
}

void RolloutWorker::run(ParentLink& parent)
{
    while (auto line = parent.readLine())
        parent.writeLine(respond(*line));
}

std::string RolloutWorker::respond(const std::string& line)
{
    auto request = Json::parse(line);
    auto command = request.at("command").get<std::string>();
    auto text = [&](const char* field) { return request.at(field).get<std::string>(); };
    Json response = Json::object();
    if (command == "start") {
        m_part.storeAddress = text("store");
        m_fleet = std::make_unique<RolloutFleet>(m_shape, m_part);
        response["members"] = listMembers(*m_fleet);
    } else if (command == "add-members") {
        std::vector<Membership::Member> others;
        for (auto& entry : request.at("members")) {
            auto member = toMember(entry);
            bool isOwn = false;
            for (unsigned i = 0; i < m_fleet->size(); ++i)
                isOwn |= m_fleet->vm(i) == member.vm;
            if (!isOwn)
                others.push_back(std::move(member));
        }
        m_fleet->addMembers(others);
    } else if (command == "set-wanted")
        m_fleet->setWanted(std::vector { text("digest") });
    else if (command == "count-complete")
        response["complete"] = countComplete(*m_fleet, text("digest"));
    else if (command == "corrupt")
        m_fleet->faults().corruptChunksFrom(text("vm"));
    else if (command == "stall")
        m_fleet->faults().stallChunksFrom(text("vm"));
    else if (command == "partition")
        m_fleet->faults().partitionRegion(text("region"));
    else if (command == "kill") {
        for (unsigned i = 0; i < m_fleet->size(); ++i) {
            if (m_fleet->vm(i) == text("vm"))
                m_fleet->kill(i);
        }
    } else if (command == "remove-member")
        m_fleet->removeMember(text("vm"));
    else if (command == "collect")
        response = collect(*m_fleet, m_models.at(text("digest")));
    else
        throw std::runtime_error("unknown command of the rollout benchmark: " + command);
    return response.dump();
}

} // namespace Lavenderloft::Bench
