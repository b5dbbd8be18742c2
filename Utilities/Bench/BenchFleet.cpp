#include "Bench/BenchFleet.h"

namespace Lavenderloft::Bench {

Membership::Member makeRouterMember(const std::string& vm, const std::string& dataCentre)
{
    Membership::Member member;
    member.vm = vm;
    member.dataCentre = dataCentre;
    member.region = dataCentre;
    return member;
}

Membership::Member makeAgentMember(const std::string& vm, const std::string& address, const std::string& dataCentre, const std::string& pool, const Membership::TargetLoad& load)
{
    auto member = makeRouterMember(vm, dataCentre);
    member.address = address;
    member.role = Membership::Role::Agent;
    member.load = load;
    member.replicas.resize(1);
    member.replicas[0].pool = pool;
    member.replicas[0].servingDigest = benchDigest;
    return member;
}

DesiredState::Document makeDocument(const std::vector<std::string>& dataCentres, const std::vector<std::string>& pools)
{
    DesiredState::Document document;
    document.revision = 1;
    for (auto& name : dataCentres) {
        document.regions.push_back({ name });
        document.dataCentres.push_back({ name, name, DesiredState::DataCentreState::In });
    }
    for (auto& name : pools) {
        DesiredState::Pool pool;
        pool.name = name;
        pool.manifest = benchDigest;
        document.pools.push_back(pool);
        document.routes.push_back({ "/" + name, DesiredState::RouteKind::ToPool, name, true, DesiredState::PriorityClass::Interactive });
    }
    return document;
}

Settings::ProcessSettings makeRouterSettings(const std::string& vm, uint64_t streamBudgetBytes)
{
    Settings::ProcessSettings settings;
    settings.vm = vm;
    settings.callers = "127.0.0.1:0";
    settings.plainTextOnLoopback = true;
    settings.admin = "127.0.0.1:0";
    settings.streamBudgetBytes = streamBudgetBytes;
    return settings;
}

} // namespace Lavenderloft::Bench
