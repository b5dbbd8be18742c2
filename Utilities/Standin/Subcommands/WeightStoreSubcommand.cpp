#include "Standin/Subcommands/WeightStoreSubcommand.h"

#include "Standin/ModelOptions.h"
#include "Standin/StopSignal.h"

#include <iostream>

namespace Lavenderloft::Standin::Subcommands {

void WeightStoreSubcommand::addOptions(OptionTable& options)
{
    options.text("listen", m_listen, "IP:port to serve on; port 0 picks a free one")
        .real("bytes-per-second", m_options.bytesPerSecond, "Rate of all chunk responses together")
        .texts("model", m_models, "MODEL:VERSION:SIZE:CHUNKSIZE[:SEED[:SHAREDPERCENT]], sizes in bytes; may be repeated");
}

ExitCode WeightStoreSubcommand::runWithOptions()
{
    StopSignal stop;
    m_options.listen = endpointOption("listen", m_listen);
    WeightStore store(m_options);
    for (auto& text : m_models) {
        auto model = store.addModel(modelSpecFromText(text));
        auto& description = model->spec().description;
        std::cout << "model " << description.model << ' ' << description.version << ' ' << model->digest() << ' ' << model->totalBytes() << std::endl;
    }
    announceReady(m_options.listen.host, store.port());
    stop.wait();
    return ExitCode::Success;
}

} // namespace Lavenderloft::Standin::Subcommands
