#include "Standin/Commands/ConfigurationCommands.h"

#include <nlohmann/json.hpp>

namespace Lavenderloft::Standin::Commands {

namespace {

    std::optional<uint64_t> revisionOf(const std::string& text)
    {
        auto document = nlohmann::json::parse(text, nullptr, false);
        if (!document.is_object() || !document.contains("revision") || !document["revision"].is_number_unsigned())
            return std::nullopt;
        return document["revision"].get<uint64_t>();
    }

} // namespace

void publishDocument(ConfigurationState& state, std::string text)
{
    auto revision = revisionOf(text);
    std::lock_guard guard(state.lock);
    auto next = state.history.empty() ? 1 : state.history.back().revision + 1;
    state.history.push_back({ revision.value_or(next), std::move(text) });
}

Base::Result<Base::Done, ConfigurationError> freezeConfiguration(ConfigurationState& state, uint64_t revision)
{
    std::lock_guard guard(state.lock);
    for (size_t i = state.history.size(); i > 0; --i) {
        if (state.history[i - 1].revision != revision)
            continue;
        state.frozenAt = i - 1;
        return Base::Done {};
    }
    return ConfigurationError { ConfigurationErrorKind::UnknownRevision, "revision " + std::to_string(revision) + " was never published", "publish it first" };
}

void unfreezeConfiguration(ConfigurationState& state)
{
    std::lock_guard guard(state.lock);
    state.frozenAt.reset();
}

void setConfigurationDown(ConfigurationState& state, bool down)
{
    std::lock_guard guard(state.lock);
    state.down = down;
}

void countCall(ConfigurationState& state, CallKind kind)
{
    std::lock_guard guard(state.lock);
    switch (kind) {
    case CallKind::Read:
        ++state.counters.reads;
        break;
    case CallKind::Watch:
        ++state.counters.watches;
        break;
    case CallKind::Limited:
        ++state.counters.limited;
        break;
    case CallKind::CutOff:
        ++state.counters.cutOff;
        break;
    }
}

} // namespace Lavenderloft::Standin::Commands
