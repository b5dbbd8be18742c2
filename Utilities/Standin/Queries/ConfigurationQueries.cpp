#include "Standin/Queries/ConfigurationQueries.h"

namespace Lavenderloft::Standin::Queries {

std::optional<PublishedDocument> visibleDocument(const ConfigurationState& state)
{
    std::lock_guard guard(state.lock);
    if (state.history.empty())
        return std::nullopt;
    return state.frozenAt ? state.history[*state.frozenAt] : state.history.back();
}

bool isConfigurationDown(const ConfigurationState& state)
{
    std::lock_guard guard(state.lock);
    return state.down;
}

ConfigurationCounters configurationCounters(const ConfigurationState& state)
{
    std::lock_guard guard(state.lock);
    return state.counters;
}

} // namespace Lavenderloft::Standin::Queries
