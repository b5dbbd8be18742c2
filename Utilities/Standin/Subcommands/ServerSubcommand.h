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
        options.text("listen", m_listen, "IP:port to listen on; port 0 selects a free port");
        addServerOptions(options);
    }

    // Adds the options other than --listen.
    virtual void addServerOptions(OptionTable&) = 0;

    // Copies parsed values whose type differs from that of the stand-in's option.
    virtual void completeOptions() { }

    // Called before the stand-in is reported as ready.
    virtual void prepare(Service&) { }

    ExitCode runWithOptions() final
    {
        // Constructed before the stand-in starts its threads, which inherit the signal mask.
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
