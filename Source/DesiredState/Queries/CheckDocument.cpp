#include "DesiredState/Queries/CheckDocument.h"

#include "Base/Digest.h"
#include "Json/TextChecks.h"

#include <algorithm>

namespace Lavenderloft::DesiredState::Queries {

namespace {

    using Json::childPointer;
    using Json::ProblemKind;
    using Json::ProblemSink;
    using Json::UniquenessCheck;

    // Longest path prefix of a route, in bytes.
    constexpr size_t maxPathLength = 1024;

    std::string entryPointer(const std::string& list, size_t index, std::string_view field)
    {
        return childPointer(childPointer("/" + list, index), field);
    }

    // Checks that the names in a list are valid and unique.
    template <typename Entry>
    void checkNames(ProblemSink& problems, const std::string& list, const std::string& what, const std::vector<Entry>& entries)
    {
        UniquenessCheck unique(problems, what);
        for (size_t i = 0; i < entries.size(); ++i) {
            auto pointer = entryPointer(list, i, "name");
            Json::checkName(problems, pointer, entries[i].name);
            unique.add(pointer, entries[i].name);
        }
    }

    void checkReference(ProblemSink& problems, const std::string& pointer, const std::string& name, bool exists, const std::string& what)
    {
        Json::checkName(problems, pointer, name);
        if (exists || !Json::isName(name))
            return;
        problems.addProblem(ProblemKind::DanglingReference, pointer, "no " + what + " has this name", "declare the " + what + " or correct the name");
    }

    void checkDataCentres(ProblemSink& problems, const Document& document)
    {
        checkNames(problems, "regions", "region", document.regions);
        checkNames(problems, "dataCentres", "data centre", document.dataCentres);
        for (size_t i = 0; i < document.dataCentres.size(); ++i) {
            auto& name = document.dataCentres[i].region;
            bool exists = std::any_of(document.regions.begin(), document.regions.end(), [&](const Region& region) { return region.name == name; });
            checkReference(problems, entryPointer("dataCentres", i, "region"), name, exists, "region");
        }
    }

    void checkAdapters(ProblemSink& problems, const Pool& pool, const std::string& pointer)
    {
        UniquenessCheck unique(problems, "adapter");
        for (size_t i = 0; i < pool.adapters.size(); ++i) {
            auto adapterPointer = childPointer(pointer, i);
            Json::checkDigest(problems, adapterPointer, pool.adapters[i]);
            unique.add(adapterPointer, pool.adapters[i]);
        }
    }

    void checkPoolDataCentres(ProblemSink& problems, const Document& document, const Pool& pool, const std::string& pointer)
    {
        UniquenessCheck unique(problems, "data centre");
        for (size_t i = 0; i < pool.dataCentres.size(); ++i) {
            auto& name = pool.dataCentres[i];
            auto namePointer = childPointer(pointer, i);
            checkReference(problems, namePointer, name, document.findDataCentre(name), "data centre");
            unique.add(namePointer, name);
        }
    }

    void checkPools(ProblemSink& problems, const Document& document)
    {
        checkNames(problems, "pools", "pool", document.pools);
        for (size_t i = 0; i < document.pools.size(); ++i) {
            auto& pool = document.pools[i];
            Json::checkDigest(problems, entryPointer("pools", i, "manifest"), pool.manifest);
            checkAdapters(problems, pool, entryPointer("pools", i, "adapters"));
            checkPoolDataCentres(problems, document, pool, entryPointer("pools", i, "dataCentres"));
            if (pool.coldLimit > pool.fullLimit) {
                problems.addProblem(ProblemKind::Contradiction, entryPointer("pools", i, "coldLimit"),
                    "coldLimit " + std::to_string(pool.coldLimit) + " is greater than fullLimit " + std::to_string(pool.fullLimit),
                    "lower coldLimit or raise fullLimit");
            }
        }
    }

    void checkServices(ProblemSink& problems, const Document& document)
    {
        checkNames(problems, "services", "service", document.services);
        // Each VM runs at most one service, since two services on one VM would share a key home.
        UniquenessCheck unique(problems, "VM");
        for (size_t i = 0; i < document.services.size(); ++i) {
            auto pointer = entryPointer("services", i, "vms");
            auto& vms = document.services[i].vms;
            for (size_t j = 0; j < vms.size(); ++j) {
                Json::checkName(problems, childPointer(pointer, j), vms[j]);
                unique.add(childPointer(pointer, j), vms[j]);
            }
        }
    }

    bool isPathCharacter(char c)
    {
        return c > ' ' && c < 0x7f && c != '?' && c != '#';
    }

    void checkPath(ProblemSink& problems, const std::string& pointer, const std::string& path)
    {
        if (path.empty())
            return;
        bool isValid = path.front() == '/' && path.size() <= maxPathLength && std::all_of(path.begin(), path.end(), isPathCharacter);
        if (isValid)
            return;
        problems.addProblem(ProblemKind::Malformed, pointer, "the path prefix is invalid",
            "start with '/' and use at most " + std::to_string(maxPathLength) + " ASCII characters without spaces, '?' and '#'");
    }

    // Replicas load only the adapters of their pool, so a route can use no others.
    void checkRouteAdapter(ProblemSink& problems, const Document& document, const Route& route, const std::string& pointer)
    {
        Json::checkDigest(problems, pointer, route.adapter);
        auto* pool = document.findPool(route.destination);
        if (!pool || !Base::isDigest(route.adapter))
            return;
        if (std::find(pool->adapters.begin(), pool->adapters.end(), route.adapter) != pool->adapters.end())
            return;
        problems.addProblem(ProblemKind::DanglingReference, pointer, "pool " + pool->name + " has no adapter with this digest",
            "add it to the pool's \"adapters\" or correct the digest");
    }

    void checkRoutes(ProblemSink& problems, const Document& document)
    {
        UniquenessCheck unique(problems, "path");
        for (size_t i = 0; i < document.routes.size(); ++i) {
            auto& route = document.routes[i];
            auto pointer = entryPointer("routes", i, "path");
            checkPath(problems, pointer, route.path);
            unique.add(pointer, route.path);
            if (route.kind == RouteKind::ToPool) {
                checkReference(problems, entryPointer("routes", i, "pool"), route.destination, document.findPool(route.destination), "pool");
                checkRouteAdapter(problems, document, route, entryPointer("routes", i, "adapter"));
            } else
                checkReference(problems, entryPointer("routes", i, "service"), route.destination, document.findService(route.destination), "service");
        }
    }

    // Drained VMs are in the platform's VM list and not in the document, so references cannot be checked.
    void checkDrains(ProblemSink& problems, const Document& document)
    {
        UniquenessCheck unique(problems, "VM");
        for (size_t i = 0; i < document.drains.size(); ++i) {
            auto pointer = childPointer("/drains", i);
            Json::checkName(problems, pointer, document.drains[i]);
            unique.add(pointer, document.drains[i]);
        }
    }

} // namespace

void checkDocument(const Document& document, Json::ProblemSink& problems)
{
    checkDataCentres(problems, document);
    checkPools(problems, document);
    checkServices(problems, document);
    checkRoutes(problems, document);
    checkNames(problems, "organisations", "organisation", document.organisations);
    checkDrains(problems, document);
}

} // namespace Lavenderloft::DesiredState::Queries
