#pragma once

#include "Soak/FaultyLink.h"
#include "Soak/RequestLedger.h"

#include <cstdlib>
#include <functional>
#include <random>

namespace Lavenderloft::Soak {

// Reads a number from the environment.
inline unsigned numberFromEnvironment(const char* name, unsigned standard)
{
    auto* value = std::getenv(name);
    return value ? static_cast<unsigned>(std::stoul(value)) : standard;
}

// Runs an event loop while faults begin and end on it at times that are drawn from a seed.
class FaultSeries {
public:
    using Fault = std::function<asio::awaitable<void>()>;

    FaultSeries(asio::io_context& context, unsigned seed)
        : m_context(context)
        , m_random(seed)
    {
    }

    std::mt19937& random() { return m_random; }

    std::chrono::milliseconds drawDuration(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum)
    {
        return minimum + std::chrono::milliseconds(m_random() % static_cast<unsigned>((maximum - minimum).count()));
    }

    // Begins faults of the given kinds within a time.
    void start(const std::vector<Fault>& kinds, unsigned count, std::chrono::milliseconds time)
    {
        for (unsigned i = 0; i < count; ++i)
            asio::co_spawn(m_context, run(kinds[m_random() % kinds.size()], drawDuration(std::chrono::milliseconds(0), time)), asio::detached);
    }

    unsigned begun() const { return m_begun; }
    bool areOver() const { return m_faults == 0; }

    void runWhile(const std::function<bool()>& condition)
    {
        while (condition())
            m_context.run_one_for(std::chrono::milliseconds(20));
    }

    void runFor(std::chrono::milliseconds duration)
    {
        auto until = SteadyClock::now() + duration;
        runWhile([&] { return SteadyClock::now() < until; });
    }

private:
    asio::awaitable<void> run(Fault fault, std::chrono::milliseconds start)
    {
        ++m_faults;
        ++m_begun;
        co_await pause(start);
        co_await fault();
        --m_faults;
    }

    asio::io_context& m_context;
    std::mt19937 m_random;
    unsigned m_faults = 0;
    unsigned m_begun = 0;
};

} // namespace Lavenderloft::Soak
