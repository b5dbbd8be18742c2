#include "DesiredState/Queries/ParseDocument.h"

#include "Base/Digest.h"
#include "DesiredState/Queries/CheckDocument.h"
#include "Json/ObjectReader.h"
#include "Json/TextChecks.h"

namespace Lavenderloft::DesiredState::Queries {

namespace {

    using Json::ObjectReader;
    using Json::ParsedFile;
    using Json::Range;
    using Json::Value;
    using namespace std::chrono_literals;

    // Up to the greatest integer that a double represents exactly, as JSON libraries may store numbers as doubles.
    constexpr Range<uint64_t> revisionRange { 1, (1ULL << 53) - 1 };
    // Fifteen times the number of replicas in the two-year plan.
    constexpr Range<uint64_t> replicasRange { 0, 100000 };
    constexpr Range<uint64_t> unavailableRange { 1, 100000 };
    constexpr Range<uint64_t> priorityRange { 0, 1000000 };
    constexpr Range<uint64_t> limitRange { 1, 100000 };
    constexpr Range<uint64_t> shareRange { 1, 1000000 };
    constexpr Range<std::chrono::milliseconds> warmWindowRange { 1ms, 1h };
    // After its start, an agent refuses keys without an issue time for the length of this window.
    constexpr Range<std::chrono::milliseconds> resendWindowRange { 1s, 24h };

    unsigned toUnsigned(uint64_t value)
    {
        return static_cast<unsigned>(value);
    }

    Region readRegion(ObjectReader& reader)
    {
        return { reader.requiredString("name") };
    }

    DataCentre readDataCentre(ObjectReader& reader)
    {
        DataCentre dataCentre;
        dataCentre.name = reader.requiredString("name");
        dataCentre.region = reader.requiredString("region");
        dataCentre.state = reader.optionalChoice<DataCentreState>("state",
            { { "in", DataCentreState::In }, { "out", DataCentreState::Out } }, DataCentreState::In);
        return dataCentre;
    }

    // Reports a list that is present but empty: it may suggest "none" where it means "all".
    void checkListNotEmpty(ParsedFile& file, const ObjectReader& reader, std::string_view field, bool isEmpty, const std::string& remedy)
    {
        if (reader.has(field) && isEmpty)
            file.addProblem(Json::ProblemKind::OutOfRange, reader.pointerTo(field), "the list is empty", remedy);
    }

    Pool readPool(ParsedFile& file, ObjectReader& reader)
    {
        Pool pool;
        pool.name = reader.requiredString("name");
        pool.manifest = reader.requiredString("manifest");
        pool.adapters = reader.optionalStrings("adapters");
        pool.replicas = toUnsigned(reader.requiredUnsigned("replicas", replicasRange));
        pool.priority = toUnsigned(reader.optionalUnsigned("priority", priorityRange, pool.priority));
        pool.dataCentres = reader.optionalStrings("dataCentres");
        checkListNotEmpty(file, reader, "dataCentres", pool.dataCentres.empty(), "name data centres, or remove the field to allow all that are in");
        pool.maxUnavailable = toUnsigned(reader.optionalUnsigned("maxUnavailable", unavailableRange, pool.maxUnavailable));
        pool.coldLimit = toUnsigned(reader.optionalUnsigned("coldLimit", limitRange, pool.coldLimit));
        pool.fullLimit = toUnsigned(reader.optionalUnsigned("fullLimit", limitRange, pool.fullLimit));
        pool.warmWindow = reader.optionalMilliseconds("warmWindowMs", warmWindowRange, pool.warmWindow);
        pool.checksFence = reader.optionalBool("checksFence", pool.checksFence);
        return pool;
    }

    Service readService(ParsedFile& file, ObjectReader& reader)
    {
        Service service;
        service.name = reader.requiredString("name");
        service.vms = reader.requiredStrings("vms");
        checkListNotEmpty(file, reader, "vms", service.vms.empty(), "name the VMs that run the service");
        service.limit = toUnsigned(reader.optionalUnsigned("limit", limitRange, service.limit));
        service.paused = reader.optionalBool("paused", service.paused);
        service.resendWindow = reader.optionalMilliseconds("resendWindowMs", resendWindowRange, service.resendWindow);
        return service;
    }

    PriorityClass readClass(ObjectReader& reader)
    {
        return reader.optionalChoice<PriorityClass>("class",
            { { "hazard", PriorityClass::Hazard }, { "interactive", PriorityClass::Interactive }, { "summary", PriorityClass::Summary } },
            PriorityClass::Interactive);
    }

    Route readRoute(ParsedFile& file, ObjectReader& reader)
    {
        Route route;
        route.path = reader.requiredString("path");
        auto pool = reader.optionalString("pool");
        auto service = reader.optionalString("service");
        if (reader.has("pool") == reader.has("service")) {
            file.addProblem(Json::ProblemKind::Contradiction, reader.pointer(),
                "a route must have exactly one destination", "set either \"pool\" or \"service\"");
            // If both are set, only the pool is stored and checked later.
            Json::checkName(file, reader.pointerTo("service"), service);
        }
        route.kind = reader.has("pool") ? RouteKind::ToPool : RouteKind::ToService;
        route.destination = reader.has("pool") ? pool : service;
        bool isToPool = route.kind == RouteKind::ToPool;
        route.adapter = reader.optionalString("adapter");
        if (!isToPool && reader.has("adapter")) {
            file.addProblem(Json::ProblemKind::Contradiction, reader.pointerTo("adapter"),
                "\"adapter\" is set on a route to a service", "remove \"adapter\" or route to a pool");
        }
        route.repeatable = reader.optionalBool("repeatable", isToPool);
        if (isToPool && !route.repeatable) {
            file.addProblem(Json::ProblemKind::Contradiction, reader.pointerTo("repeatable"),
                "\"repeatable\" is false on a route to a pool", "remove \"repeatable\" or route to a service");
        }
        route.priorityClass = readClass(reader);
        return route;
    }

    Organisation readOrganisation(ObjectReader& reader)
    {
        Organisation organisation;
        organisation.name = reader.requiredString("name");
        organisation.share = toUnsigned(reader.optionalUnsigned("share", shareRange, organisation.share));
        return organisation;
    }

    // Returns a function that appends one object of a list to `entries`. Invalid objects are appended as well, so
    // that the indices equal those of the file.
    template <typename Entry, typename ReadEntry>
    ObjectReader::ReadElement readInto(ParsedFile& file, std::vector<Entry>& entries, ReadEntry readEntry)
    {
        return [&file, &entries, readEntry](const Value& value, const std::string& pointer) {
            ObjectReader reader(file, value, pointer);
            if (!value.asObject()) {
                entries.emplace_back();
                return;
            }
            entries.push_back(readEntry(reader));
            reader.reportUnknownFields();
        };
    }

    Document readDocument(ParsedFile& file)
    {
        Document document;
        ObjectReader reader(file, file.root(), "");
        if (!file.root().asObject())
            return document;
        document.revision = reader.requiredUnsigned("revision", revisionRange);
        reader.requiredArray("regions", readInto(file, document.regions, readRegion));
        checkListNotEmpty(file, reader, "regions", document.regions.empty(), "name at least one region");
        reader.requiredArray("dataCentres", readInto(file, document.dataCentres, readDataCentre));
        checkListNotEmpty(file, reader, "dataCentres", document.dataCentres.empty(), "name at least one data centre");
        reader.requiredArray("pools", readInto(file, document.pools, [&](ObjectReader& entry) { return readPool(file, entry); }));
        reader.requiredArray("services", readInto(file, document.services, [&](ObjectReader& entry) { return readService(file, entry); }));
        reader.requiredArray("routes", readInto(file, document.routes, [&](ObjectReader& entry) { return readRoute(file, entry); }));
        reader.optionalArray("organisations", readInto(file, document.organisations, readOrganisation));
        document.drains = reader.optionalStrings("drains");
        reader.reportUnknownFields();
        return document;
    }

} // namespace

Base::Result<Document, Json::CheckError> parseDocument(std::string_view bytes)
{
    ParsedFile file(bytes);
    if (!file.isReadable())
        return file.takeProblems();
    auto document = readDocument(file);
    checkDocument(document, file);
    if (file.hasProblems())
        return file.takeProblems();
    return document;
}

std::string documentDigest(std::string_view bytes)
{
    return Base::sha256(bytes);
}

} // namespace Lavenderloft::DesiredState::Queries
