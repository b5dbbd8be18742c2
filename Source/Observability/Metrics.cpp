#include "Observability/Metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <unordered_map>

namespace Lavenderloft::Observability {

struct Metrics::Families {
    std::mutex lock;
    std::unordered_map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::unordered_map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    std::unordered_map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
};

namespace {

    constexpr auto namePrefix = "lavenderloft_";

    // From 0.5 ms to 32 s, which covers routing decisions as well as long responses.
    const prometheus::Histogram::BucketBoundaries durationBuckets { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16, 32 };

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_families(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string& name, const Labels& labels, double amount)
{
    std::lock_guard guard(m_families->lock);
    auto& family = m_families->counters[name];
    if (!family)
        family = &prometheus::BuildCounter().Name(namePrefix + name).Register(*m_registry);
    family->Add(labels).Increment(amount);
}

void Metrics::set(const std::string& name, const Labels& labels, double value)
{
    std::lock_guard guard(m_families->lock);
    auto& family = m_families->gauges[name];
    if (!family)
        family = &prometheus::BuildGauge().Name(namePrefix + name).Register(*m_registry);
    family->Add(labels).Set(value);
}

void Metrics::observe(const std::string& name, const Labels& labels, double value)
{
    std::lock_guard guard(m_families->lock);
    auto& family = m_families->histograms[name];
    if (!family)
        family = &prometheus::BuildHistogram().Name(namePrefix + name).Register(*m_registry);
    family->Add(labels, durationBuckets).Observe(value);
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace Lavenderloft::Observability
