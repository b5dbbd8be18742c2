#include "Streaming/Commands/ChargeStream.h"

namespace Lavenderloft::Streaming::Commands {

namespace {

    // Charges the bytes unless the sum would exceed the limit.
    bool reserve(ByteBudget& budget, uint64_t bytes)
    {
        auto held = budget.held().load();
        do {
            if (held + bytes > budget.limitBytes())
                return false;
        } while (!budget.held().compare_exchange_weak(held, held + bytes));
        auto peak = budget.peak().load();
        while (peak < held + bytes && !budget.peak().compare_exchange_weak(peak, held + bytes)) { }
        return true;
    }

    // Charges an open stream to the share of open streams unless that share would be exceeded.
    bool reserveOpen(ByteBudget& budget)
    {
        auto open = budget.open().load();
        do {
            if (open + openStreamBytes > budget.openLimitBytes())
                return false;
        } while (!budget.open().compare_exchange_weak(open, open + openStreamBytes));
        return true;
    }

    void resumeFirst(WaitingStreams& streams)
    {
        auto retry = streams.takeFirst();
        while (retry && !retry())
            retry = streams.takeFirst();
    }

} // namespace

Base::Result<Base::Done, ChargeError> openStream(ByteBudget& budget)
{
    ChargeError overBudget { ChargeErrorKind::OverBudget, "streamBudgetBytes is exhausted", "abort the stream that has been blocked longest, or wait" };
    if (!reserveOpen(budget))
        return overBudget;
    if (reserve(budget, openStreamBytes))
        return Base::Done {};
    budget.open() -= openStreamBytes;
    return overBudget;
}

void closeStream(ByteBudget& budget)
{
    budget.open() -= openStreamBytes;
    budget.held() -= openStreamBytes;
}

Base::Result<Base::Done, ChargeError> chargeStream(ByteBudget& budget, const std::string& stream, uint64_t bytes, Base::TimePoint now)
{
    if (!reserve(budget, bytes))
        return ChargeError { ChargeErrorKind::OverBudget, "streamBudgetBytes is exhausted", "abort the stream that has been blocked longest" };
    budget.streams().withShard(stream, [&](ByteBudget::Streams::Entries& entries) {
        auto [entry, isNew] = entries.try_emplace(stream, BlockedStream { now, 0 });
        entry->second.bytes += bytes;
    });
    return Base::Done {};
}

void releaseStream(ByteBudget& budget, const std::string& stream)
{
    auto bytes = budget.streams().withShard(stream, [&](ByteBudget::Streams::Entries& entries) -> uint64_t {
        auto entry = entries.find(stream);
        if (entry == entries.end())
            return 0;
        auto held = entry->second.bytes;
        entries.erase(entry);
        return held;
    });
    budget.held() -= bytes;
}

void resumeWaitingStream(ByteBudget& budget)
{
    resumeFirst(budget.waiting());
    resumeFirst(budget.waitingToOpen());
}

} // namespace Lavenderloft::Streaming::Commands
