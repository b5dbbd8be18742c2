#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"

#include <string>
#include <vector>

namespace Lavenderloft::Testing {

inline DesiredState::Pool makePool(const std::string& name, unsigned replicas, unsigned priority = 100)
{
    DesiredState::Pool pool;
    pool.name = name;
    pool.manifest = name + "-v1";
    pool.replicas = replicas;
    pool.priority = priority;
    pool.maxUnavailable = 1;
    return pool;
}

inline Membership::Member makeAgent(const std::string& vm, const std::string& dataCentre)
{
    Membership::Member member;
    member.vm = vm;
    member.dataCentre = dataCentre;
    member.role = Membership::Role::Agent;
    return member;
}

// Three data centres with the same number of agents.
struct Fleet {
    explicit Fleet(unsigned agentsPerDataCentre)
    {
        for (const char* dataCentre : { "dc-1", "dc-2", "dc-3" }) {
            document.dataCentres.push_back({ dataCentre, "region", DesiredState::DataCentreState::In });
            for (unsigned i = 0; i < agentsPerDataCentre; ++i)
                members.push_back(makeAgent(std::string(dataCentre) + "-vm-" + std::to_string(i), dataCentre));
        }
    }

    DesiredState::Document document;
    std::vector<Membership::Member> members;
};

} // namespace Lavenderloft::Testing
