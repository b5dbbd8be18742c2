#include "DesiredState/Queries/DiffDocuments.h"
#include "DesiredState/Queries/ParseDocument.h"
#include "Fuzzing/FuzzingChecks.h"

#include <cstddef>
#include <cstdint>

using namespace Lavenderloft;
using namespace Lavenderloft::DesiredState;
using namespace Lavenderloft::DesiredState::Queries;
using Fuzzing::require;

namespace {

// Checks the properties that the system relies on in an accepted document.
void checkAccepted(const Document& document)
{
    require(document.revision > 0 && !document.regions.empty() && !document.dataCentres.empty());
    for (auto& pool : document.pools) {
        require(Json::isName(pool.name) && Base::isDigest(pool.manifest));
        require(pool.maxUnavailable >= 1 && pool.coldLimit >= 1 && pool.coldLimit <= pool.fullLimit);
        for (auto& dataCentre : pool.dataCentres)
            require(document.findDataCentre(dataCentre));
    }
    for (auto& route : document.routes) {
        require(route.path.starts_with('/') && document.findRoute(route.path));
        if (route.kind == RouteKind::ToPool)
            require(route.repeatable && document.findPool(route.destination));
        else
            require(document.findService(route.destination));
    }
    for (auto& service : document.services)
        require(!service.vms.empty());
    // The difference of a document from itself holds no changes, but a refusal, as the revision does not increase.
    auto consequences = diffDocuments(document, document);
    require(!consequences.empty() && consequences.front().severity == Severity::Refusal);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    auto result = parseDocument(bytes);
    auto again = parseDocument(bytes);
    require(Base::succeeded(result) == Base::succeeded(again));
    if (Base::succeeded(result)) {
        checkAccepted(Base::valueOf(result));
        return 0;
    }
    Fuzzing::checkError(Base::errorOf(result));
    require(Base::errorOf(result).describe() == Base::errorOf(again).describe());
    return 0;
}
