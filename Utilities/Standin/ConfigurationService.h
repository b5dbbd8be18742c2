#pragma once

#include "Http/HttpMessage.h"
#include "Standin/ConfigurationState.h"

#include <memory>
#include <optional>
#include <string>

namespace Lavenderloft::Standin {

struct ConfigurationOptions {
    Http::Endpoint listen { "127.0.0.1", 0 };
    // Desired-state file, read at startup and by POST /test/reload; none if empty.
    std::string file;
    // Calls above this rate are rejected with status 429.
    double callsPerSecond = 2000;
};

// Stand-in for the configuration service, with reads and long-poll watches.
class ConfigurationService {
public:
    // Throws std::runtime_error if the address cannot be bound or the file cannot be read.
    explicit ConfigurationService(ConfigurationOptions);
    ~ConfigurationService();

    uint16_t port() const;

    // Publishes a document, which need not be valid, and completes pending watches.
    void publish(std::string text);

    // Serves an older revision, like a stale service. Returns false if the revision was never published.
    bool freezeAt(uint64_t revision);
    void unfreeze();

    // While down, the service aborts every call, including pending watches.
    void setDown(bool);

    ConfigurationCounters counters() const;
    size_t pendingWatches() const;

private:
    class Server;
    std::shared_ptr<Server> m_server;
};

} // namespace Lavenderloft::Standin
