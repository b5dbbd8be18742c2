#include "Standin/EngineJson.h"

#include "Standin/TokenText.h"

#include <array>

namespace Lavenderloft::Standin {

namespace {

    constexpr unsigned defaultMaxTokens = 16;

    std::string modeName(EngineMode mode)
    {
        static constexpr std::array names { "empty", "loading", "cold", "ready", "empty" };
        return names.at(static_cast<size_t>(mode));
    }

    void readMember(const nlohmann::json& object, const char* name, auto& member)
    {
        if (object.contains(name))
            object.at(name).get_to(member);
    }

    void readDuration(const nlohmann::json& object, const char* name, std::chrono::milliseconds& member)
    {
        if (object.contains(name))
            member = std::chrono::milliseconds(object.at(name).get<uint32_t>());
    }

    int readPriority(const nlohmann::json& priority)
    {
        if (!priority.is_string())
            return priority.get<int>();
        if (priority == "hazard")
            return 2;
        return priority == "interactive" ? 1 : 0;
    }

} // namespace

nlohmann::json toJson(const EngineStatus& status)
{
    return { { "incarnation", status.incarnation }, { "state", modeName(status.mode) }, { "digest", status.digest }, { "adapters", status.adapters }, { "running", status.running },
        { "queued", status.queued }, { "memoryBytes", status.memoryBytes }, { "memoryLimitBytes", status.memoryLimitBytes },
        { "highestFence", status.highestFence }, { "checksFence", status.checksFence } };
}

nlohmann::json toJson(const EngineCounters& counters)
{
    return { { "started", counters.started }, { "completed", counters.completed }, { "crashes", counters.crashes }, { "loads", counters.loads },
        { "adapterLoads", counters.adapterLoads }, { "adapterUnloads", counters.adapterUnloads },
        { "staleFences", counters.staleFences }, { "peakHeld", counters.peakHeld }, { "peakHeldCold", counters.peakHeldCold } };
}

void readBehaviour(const nlohmann::json& object, EngineBehaviour& behaviour)
{
    readMember(object, "tokensPerSecond", behaviour.tokensPerSecond);
    readDuration(object, "stepMs", behaviour.stepTime);
    readMember(object, "maximumBatch", behaviour.maximumBatch);
    readDuration(object, "loadMs", behaviour.loadTime);
    readDuration(object, "coldMs", behaviour.coldTime);
    readMember(object, "coldLimit", behaviour.coldLimit);
    readDuration(object, "restartMs", behaviour.restartTime);
    readMember(object, "memoryLimitBytes", behaviour.memoryLimitBytes);
    readMember(object, "bytesPerToken", behaviour.bytesPerToken);
    readMember(object, "checksFence", behaviour.checksFence);
    readMember(object, "crashMarker", behaviour.crashMarker);
    readDuration(object, "statusLagMs", behaviour.statusLag);
}

GenerationRequest readGenerationRequest(const nlohmann::json& object, const std::string& crashMarker)
{
    auto prompt = object.at("prompt").get<std::string>();
    GenerationRequest request;
    request.identifier = promptIdentifier(prompt);
    request.promptBytes = prompt.size();
    request.maxTokens = object.value("maxTokens", defaultMaxTokens);
    request.priority = object.contains("priority") ? readPriority(object.at("priority")) : 0;
    request.crashesEngine = !crashMarker.empty() && prompt.find(crashMarker) != std::string::npos;
    return request;
}

} // namespace Lavenderloft::Standin
