#include "Standin/Subcommands/WeightStoreSubcommand.h"

#include "Standin/ModelOptions.h"

#include <iostream>

namespace Lavenderloft::Standin::Subcommands {

void WeightStoreSubcommand::addServerOptions(OptionTable& options)
{
    options.real("bytes-per-second", m_options.bytesPerSecond, "Total rate of all chunk responses")
        .texts("model", m_models, "MODEL:VERSION:SIZE:CHUNKSIZE[:SEED[:SHAREDPERCENT]], sizes in bytes; may be repeated");
}

void WeightStoreSubcommand::prepare(WeightStore& store)
{
    for (auto& text : m_models) {
        auto model = store.addModel(modelSpecFromText(text));
        auto& description = model->spec().description;
        std::cout << "model " << description.model << ' ' << description.version << ' ' << model->digest() << ' ' << model->totalBytes() << std::endl;
    }
}

} // namespace Lavenderloft::Standin::Subcommands
