#include "Settings/Queries/CheckSettings.h"

#include "Json/TextChecks.h"

namespace Lavenderloft::Settings::Queries {

namespace {

    using Json::PortRule;
    using Json::ProblemKind;
    using Json::ProblemSink;

    // Half of the budget must fit the largest part (64 KiB) plus the 56 KiB that its blocked stream already holds;
    // with a smaller budget the part would wait indefinitely.
    constexpr uint64_t minStreamBudgetBytes = 256 * 1024;
    constexpr uint64_t minWeightMemoryBytes = 64 * 1024;
    constexpr uint64_t maxBytes = 1ULL << 44;
    constexpr uint64_t minReloadSeconds = 1;
    constexpr uint64_t maxReloadSeconds = 86400;
    constexpr uint64_t maxBitsPerSecond = 1000000000000;

    void checkRange(ProblemSink& problems, const std::string& pointer, uint64_t value, uint64_t minimum, uint64_t maximum)
    {
        if (value >= minimum && value <= maximum)
            return;
        problems.addProblem(ProblemKind::OutOfRange, pointer, "the value is out of range",
            "use an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }

    void checkSizes(const ProcessSettings& settings, ProblemSink& problems)
    {
        checkRange(problems, "/weightMemoryBytes", settings.weightMemoryBytes, minWeightMemoryBytes, maxBytes);
        checkRange(problems, "/streamBudgetBytes", settings.streamBudgetBytes, minStreamBudgetBytes, maxBytes);
        checkRange(problems, "/interRegionLinkBitsPerSecond", settings.interRegionLinkBitsPerSecond, 1000, maxBitsPerSecond);
        bool isShare = settings.rolloutShareOfLink > 0 && settings.rolloutShareOfLink <= 1;
        if (!isShare) {
            problems.addProblem(ProblemKind::OutOfRange, "/rolloutShareOfLink", "the value is out of range",
                "use a number greater than 0 and at most 1");
        }
    }

    void checkPeers(const ProcessSettings& settings, ProblemSink& problems)
    {
        Json::UniquenessCheck unique(problems, "peer");
        for (size_t i = 0; i < settings.peers.size(); ++i) {
            auto pointer = Json::childPointer("/peers", i);
            Json::checkAddress(problems, pointer, settings.peers[i], PortRule::MustBeNonZero);
            unique.add(pointer, settings.peers[i]);
        }
    }

    void checkTarget(const TargetSettings& target, const ProcessSettings& settings, ProblemSink& problems)
    {
        Json::checkAddress(problems, "/target/endpoint", target.endpoint, PortRule::MustBeNonZero);
        Json::checkName(problems, "/target/name", target.service);
        if (target.kind == TargetKind::Service && target.service.empty())
            problems.addProblem(ProblemKind::MissingField, "/target/name", "\"name\" is required for a target of kind \"service\"", "set it to the name of the service in the desired state");
        if (target.kind == TargetKind::Model && !target.service.empty())
            problems.addProblem(ProblemKind::Contradiction, "/target/name", "\"name\" is not allowed for a target of kind \"model\"", "remove it or set \"kind\" to \"service\"");
        if (target.kind == TargetKind::Model && settings.weightStore.empty())
            problems.addProblem(ProblemKind::MissingField, "/weightStore", "\"weightStore\" is required for a target of kind \"model\"", "set it to the IP:port of the weight store");
    }

    void checkLoopback(ProblemSink& problems, const std::string& pointer, const std::string& address)
    {
        // Malformed addresses are reported by checkAddress.
        if (!Json::isAddress(address, PortRule::MayBeZero) || Json::isLoopbackAddress(address))
            return;
        problems.addProblem(ProblemKind::Contradiction, pointer, "\"plainTextOnLoopback\" is true, but " + address + " is not a loopback address",
            "use \"tls\" instead of \"plainTextOnLoopback\", or a loopback address");
    }

    // Connections between processes must use TLS or stay on the local host.
    void checkConnections(const ProcessSettings& settings, ProblemSink& problems)
    {
        if (settings.tls) {
            checkRange(problems, "/tls/reloadSeconds", static_cast<uint64_t>(settings.tls->reloadInterval.count()), minReloadSeconds, maxReloadSeconds);
            if (settings.plainTextOnLoopback)
                problems.addProblem(ProblemKind::Contradiction, "/plainTextOnLoopback", "both \"tls\" and \"plainTextOnLoopback\" are set", "remove one of them");
            return;
        }
        if (!settings.plainTextOnLoopback) {
            problems.addProblem(ProblemKind::MissingField, "/tls", "\"tls\" is required unless \"plainTextOnLoopback\" is true",
                "add \"tls\" with \"certificateFile\", \"keyFile\" and \"authorityFile\"; or, if every inner address is a loopback address, set \"plainTextOnLoopback\": true");
            return;
        }
        checkLoopback(problems, "/inner", settings.inner);
        for (size_t i = 0; i < settings.peers.size(); ++i)
            checkLoopback(problems, Json::childPointer("/peers", i), settings.peers[i]);
    }

    // A process is either a router or an agent.
    void checkRole(const ProcessSettings& settings, ProblemSink& problems)
    {
        if (settings.callers.empty() && !settings.target) {
            problems.addProblem(ProblemKind::MissingField, "", "neither \"callers\" nor \"target\" is set",
                "set \"callers\" for a router or \"target\" for an agent");
        }
        if (!settings.callers.empty() && settings.target) {
            problems.addProblem(ProblemKind::Contradiction, "/callers", "both \"callers\" and \"target\" are set",
                "remove \"target\" for a router or \"callers\" for an agent");
        }
    }

} // namespace

void checkSettings(const ProcessSettings& settings, ProblemSink& problems)
{
    Json::checkName(problems, "/vm", settings.vm);
    Json::checkName(problems, "/region", settings.region);
    Json::checkName(problems, "/dataCentre", settings.dataCentre);
    // Port 0 selects a free port, which tests use; it is valid only for listening addresses.
    Json::checkAddress(problems, "/inner", settings.inner, PortRule::MayBeZero);
    Json::checkAddress(problems, "/admin", settings.admin, PortRule::MayBeZero);
    Json::checkAddress(problems, "/callers", settings.callers, PortRule::MayBeZero);
    Json::checkAddress(problems, "/configurationService", settings.configurationService, PortRule::MustBeNonZero);
    Json::checkAddress(problems, "/vmList", settings.vmList, PortRule::MustBeNonZero);
    Json::checkAddress(problems, "/weightStore", settings.weightStore, PortRule::MustBeNonZero);
    checkPeers(settings, problems);
    checkRole(settings, problems);
    if (settings.target)
        checkTarget(*settings.target, settings, problems);
    checkConnections(settings, problems);
    checkSizes(settings, problems);
}

} // namespace Lavenderloft::Settings::Queries
