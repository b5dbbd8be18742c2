#include "Settings/Queries/ParseSettings.h"

#include "Settings/Queries/CheckSettings.h"
#include "Json/ObjectReader.h"

#include <limits>

namespace Lavenderloft::Settings::Queries {

namespace {

    using Json::ObjectReader;
    using Json::ParsedFile;
    using Json::Value;
    using Observability::Layout;
    using Observability::Level;

    // checkSettings checks the ranges.
    constexpr Json::Range<uint64_t> unboundedCount { 0, std::numeric_limits<uint64_t>::max() };

    // Maximum value of std::chrono::seconds.
    constexpr uint64_t maxSeconds = std::numeric_limits<int64_t>::max();

    TargetSettings readTarget(ParsedFile& file, const Value& value, const std::string& pointer)
    {
        TargetSettings target;
        ObjectReader reader(file, value, pointer);
        if (!value.asObject())
            return target;
        target.kind = reader.requiredChoice<TargetKind>("kind", { { "model", TargetKind::Model }, { "service", TargetKind::Service } }, TargetKind::Model);
        target.endpoint = reader.requiredString("endpoint");
        target.service = reader.optionalString("name");
        reader.reportUnknownFields();
        return target;
    }

    TlsSettings readTls(ParsedFile& file, const Value& value, const std::string& pointer)
    {
        TlsSettings tls;
        ObjectReader reader(file, value, pointer);
        if (!value.asObject())
            return tls;
        tls.certificateFile = reader.requiredString("certificateFile");
        tls.keyFile = reader.requiredString("keyFile");
        tls.authorityFile = reader.requiredString("authorityFile");
        auto seconds = reader.optionalUnsigned("reloadSeconds", { 0, maxSeconds }, static_cast<uint64_t>(tls.reloadInterval.count()));
        tls.reloadInterval = std::chrono::seconds(seconds);
        reader.reportUnknownFields();
        return tls;
    }

    LogSettings readLog(ParsedFile& file, const Value& value, const std::string& pointer)
    {
        LogSettings log;
        ObjectReader reader(file, value, pointer);
        if (!value.asObject())
            return log;
        log.level = reader.optionalChoice<Level>("level",
            { { "debug", Level::Debug }, { "info", Level::Info }, { "warning", Level::Warning }, { "error", Level::Error } }, log.level);
        log.layout = reader.optionalChoice<Layout>("layout", { { "plain", Layout::Plain }, { "json", Layout::Json } }, log.layout);
        reader.reportUnknownFields();
        return log;
    }

    void readAddresses(ObjectReader& reader, ProcessSettings& settings)
    {
        settings.inner = reader.requiredString("inner");
        settings.admin = reader.requiredString("admin");
        settings.callers = reader.optionalString("callers");
        settings.configurationService = reader.requiredString("configurationService");
        settings.vmList = reader.requiredString("vmList");
        settings.weightStore = reader.optionalString("weightStore");
        settings.weightStoreRegion = reader.optionalString("weightStoreRegion");
        settings.peers = reader.optionalStrings("peers");
    }

    void readSizes(ObjectReader& reader, ProcessSettings& settings)
    {
        settings.weightMemoryBytes = reader.optionalUnsigned("weightMemoryBytes", unboundedCount, settings.weightMemoryBytes);
        settings.streamBudgetBytes = reader.optionalUnsigned("streamBudgetBytes", unboundedCount, settings.streamBudgetBytes);
        settings.interRegionLinkBitsPerSecond = reader.optionalUnsigned("interRegionLinkBitsPerSecond", unboundedCount, settings.interRegionLinkBitsPerSecond);
        settings.rolloutShareOfLink = reader.optionalNumber("rolloutShareOfLink", settings.rolloutShareOfLink);
    }

    ProcessSettings readSettings(ParsedFile& file)
    {
        ProcessSettings settings;
        ObjectReader reader(file, file.root(), "");
        settings.vm = reader.requiredString("vm");
        settings.region = reader.requiredString("region");
        settings.dataCentre = reader.requiredString("dataCentre");
        readAddresses(reader, settings);
        reader.optionalObject("target", [&](const Value& value, const std::string& pointer) { settings.target = readTarget(file, value, pointer); });
        reader.optionalObject("tls", [&](const Value& value, const std::string& pointer) { settings.tls = readTls(file, value, pointer); });
        settings.plainTextOnLoopback = reader.optionalBool("plainTextOnLoopback", settings.plainTextOnLoopback);
        readSizes(reader, settings);
        reader.optionalObject("log", [&](const Value& value, const std::string& pointer) { settings.log = readLog(file, value, pointer); });
        reader.reportUnknownFields();
        return settings;
    }

} // namespace

Base::Result<ProcessSettings, Json::CheckError> parseSettings(std::string_view bytes)
{
    ParsedFile file(bytes);
    if (!file.isReadable())
        return file.takeProblems();
    auto settings = readSettings(file);
    if (file.root().asObject())
        checkSettings(settings, file);
    if (file.hasProblems())
        return file.takeProblems();
    return settings;
}

} // namespace Lavenderloft::Settings::Queries
