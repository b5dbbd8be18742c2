#pragma once

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace Lavenderloft::Observability {

using Labels = std::map<std::string, std::string>;

// The metrics of one process, registered with prometheus-cpp on first use.
class Metrics {
public:
    Metrics();
    ~Metrics();

    // Increments a counter; its name ends with _total.
    void count(const std::string& name, const Labels& labels = {}, double amount = 1);

    // Sets a gauge.
    void set(const std::string& name, const Labels& labels, double value);

    // Adds a duration in seconds, or another positive value, to a histogram.
    void observe(const std::string& name, const Labels& labels, double value);

    // All metrics in the Prometheus text exposition format.
    std::string serialize() const;

private:
    struct Families;
    std::shared_ptr<prometheus::Registry> m_registry;
    std::unique_ptr<Families> m_families;
};

} // namespace Lavenderloft::Observability
