#pragma once

#include "Http/HttpMessage.h"
#include "Standin/ConfigurationState.h"

#include <memory>
#include <optional>
#include <string>

namespace Lavenderloft::Standin {

struct ConfigurationOptions {
    Http::Endpoint listen { "127.0.0.1", 0 };
    // File with the desired state, read at the start and by POST /test/reload; none if empty.
    std::string file;
    // Calls beyond this rate are answered with 429.
    double callsPerSecond = 2000;
};

// Stand-in for the configuration service: read, and watch by long poll.
class ConfigurationService {
public:
    // Throws std::runtime_error if the address cannot be bound or the file cannot be read.
    explicit ConfigurationService(ConfigurationOptions);
    ~ConfigurationService();

    uint16_t port() const;

    // Publishes a text, valid or not, and answers pending watches.
    void publish(std::string text);

    // Shows readers an older revision, as a stale service does; false if it was never published.
    bool freezeAt(uint64_t revision);
    void unfreeze();

    // While down, the service cuts off every call, pending watches included.
    void setDown(bool);

    ConfigurationCounters counters() const;
    size_t pendingWatches() const;

private:
    class Server;
    std::shared_ptr<Server> m_server;
};

} // namespace Lavenderloft::Standin
