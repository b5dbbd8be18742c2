#include "DesiredState/Queries/ParseDocument.h"
#include "Schemas/SchemaWalker.h"
#include "Settings/Queries/ParseSettings.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <fstream>

using namespace Lavenderloft;
using nlohmann::json;

namespace {

const std::string sourceFolder = LAVENDERLOFT_SOURCE_DIR;

std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    cr_assert(file.good(), "%s", path.c_str());
    return { std::istreambuf_iterator<char>(file), {} };
}

std::vector<Json::Problem> documentProblems(const std::string& bytes)
{
    auto result = DesiredState::Queries::parseDocument(bytes);
    return Base::succeeded(result) ? std::vector<Json::Problem> {} : Base::errorOf(result).problems;
}

std::vector<Json::Problem> settingsProblems(const std::string& bytes)
{
    auto result = Settings::Queries::parseSettings(bytes);
    return Base::succeeded(result) ? std::vector<Json::Problem> {} : Base::errorOf(result).problems;
}

// Expects that schema and parser agree and that `fieldCount` fields were compared.
void expectAgreement(Testing::SchemaWalker& walker, size_t fieldCount)
{
    auto differences = walker.differences();
    for (auto& difference : differences)
        cr_log_error("%s", difference.c_str());
    cr_assert(differences.empty());
    cr_assert_eq(walker.fieldCount(), fieldCount, "%zu fields", walker.fieldCount());
}

} // namespace

// Guards against a field, range or enumeration value that the published schema and the parser treat differently.
Test(Schemas, desiredStateAgreesWithTheParser)
{
    auto sample = json::parse(readFile(sourceFolder + "/Examples/kalamos/desired-state.json"));
    sample["pools"][0]["dataCentres"] = { "mak-1" };
    sample["pools"][0]["adapters"] = { std::string(64, 'a') };
    sample["routes"][0]["adapter"] = std::string(64, 'a');
    sample["routes"][1].erase("adapter");
    sample["drains"] = { "mak-t3" };
    Testing::SchemaWalker walker(json::parse(readFile(sourceFolder + "/docs/desired-state.schema.json")), sample, documentProblems);
    expectAgreement(walker, 36);
}

// The same for the settings.
Test(Schemas, settingsAgreeWithTheParser)
{
    auto sample = json::parse(readFile(sourceFolder + "/Examples/hatkeshwar/agent.json"));
    Testing::SchemaWalker walker(json::parse(readFile(sourceFolder + "/docs/settings.schema.json")), sample, settingsProblems);
    expectAgreement(walker, 28);
}

// Guards against examples that the parsers reject.
Test(Examples, passTheChecks)
{
    for (std::string deployment : { "kalamos", "hatkeshwar" }) {
        auto folder = sourceFolder + "/Examples/" + deployment;
        cr_assert(documentProblems(readFile(folder + "/desired-state.json")).empty());
        for (std::string role : { "router", "agent" }) {
            auto settings = Settings::Queries::parseSettings(readFile(folder + "/" + role + ".json"));
            cr_assert(Base::succeeded(settings), "%s %s", deployment.c_str(), role.c_str());
            cr_assert_eq(Base::valueOf(settings).target.has_value(), role == "agent");
        }
    }
}

// Guards against examples whose sizes differ from those of the deployments: three regions with one data centre each,
// ten model replicas, two services on three VMs and one VM, and about ten organisations.
Test(Examples, haveTheSizesOfTheDeployments)
{
    for (std::string deployment : { "kalamos", "hatkeshwar" }) {
        auto result = DesiredState::Queries::parseDocument(readFile(sourceFolder + "/Examples/" + deployment + "/desired-state.json"));
        auto& document = Base::valueOf(result);
        cr_assert(document.regions.size() == 3 && document.dataCentres.size() == 3 && document.organisations.size() == 10);
        cr_assert(document.pools.size() == 1 && document.pools[0].replicas == 10);
        cr_assert(document.services.size() == 2 && document.services[0].vms.size() == 3 && document.services[1].vms.size() == 1);
    }
}

// Guards against a document format in which the fleet of the two-year plan exceeds one megabyte.
Test(Examples, plannedFleetFitsInOneMegabyte)
{
    json document = { { "revision", 1 }, { "services", json::array() } };
    for (int i = 0; i < 6; ++i)
        document["regions"].push_back({ { "name", "region-" + std::to_string(i) } });
    json dataCentres;
    for (int i = 0; i < 20; ++i) {
        dataCentres.push_back("data-centre-" + std::to_string(i));
        document["dataCentres"].push_back({ { "name", dataCentres.back() }, { "region", "region-" + std::to_string(i % 6) }, { "state", "in" } });
    }
    // Small pools make the largest document; ten replicas is the size of the pools in use today.
    for (int i = 0; i < 670; ++i) {
        auto name = "pool-of-one-model-" + std::to_string(i);
        document["pools"].push_back({ { "name", name }, { "manifest", DesiredState::Queries::documentDigest(name) }, { "adapters", { DesiredState::Queries::documentDigest(name + "a") } },
            { "replicas", 10 }, { "priority", 100 }, { "dataCentres", dataCentres }, { "maxUnavailable", 2 }, { "coldLimit", 2 },
            { "fullLimit", 16 }, { "warmWindowMs", 1000 }, { "checksFence", true } });
        document["routes"].push_back({ { "path", "/v1/models/" + name }, { "pool", name }, { "class", "interactive" } });
    }
    // All VMs of one data centre are drained individually.
    for (int i = 0; i < 380; ++i)
        document["drains"].push_back("data-centre-1-vm-" + std::to_string(i));
    for (int i = 0; i < 1000; ++i)
        document["organisations"].push_back({ { "name", "organisation-" + std::to_string(i) }, { "share", 10 } });
    auto bytes = document.dump();
    std::printf("planned fleet: %zu bytes\n", bytes.size());
    cr_assert_leq(bytes.size(), 1000000);
    auto result = DesiredState::Queries::parseDocument(bytes);
    cr_assert(Base::succeeded(result));
    uint64_t replicas = 0;
    for (auto& pool : Base::valueOf(result).pools)
        replicas += pool.replicas;
    cr_assert_eq(replicas, 6700);
}
