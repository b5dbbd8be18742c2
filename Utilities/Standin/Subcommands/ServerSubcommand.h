#pragma once

#include "Standin/StopSignal.h"
#include "Standin/Subcommands/Subcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// A subcommand that runs a stand-in until a stop signal.
template <typename Service, typename Options>
class ServerSubcommand : public Subcommand {
protected:
    void addOptions(OptionTable& options) final
    {
        options.text("listen", m_listen, "IP:port to serve on; port 0 picks a free one");
        addServerOptions(options);
    }

    // Adds the options beside --listen.
    virtual void addServerOptions(OptionTable&) = 0;

    // Takes over values that could not be read into the options of the stand-in directly.
    virtual void completeOptions() { }

    // Called before the stand-in is announced as ready.
    virtual void prepare(Service&) { }

    ExitCode runWithOptions() final
    {
        // Made before the stand-in starts its threads, which inherit the signal mask.
        StopSignal stop;
        m_options.listen = endpointOption("listen", m_listen);
        completeOptions();
        Service service(m_options);
        prepare(service);
        printReady(m_options.listen.host, service.port());
        stop.wait();
        return ExitCode::Success;
    }

    Options m_options;

private:
    std::string m_listen = "127.0.0.1:0";
};

} // namespace Lavenderloft::Standin::Subcommands
