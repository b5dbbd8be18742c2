#include "Proxy/TargetExchange.h"
#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>
#include <cstring>
#include <optional>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using boost::asio::ip::tcp;

namespace {

// The connection of a caller, with the router's end of it monitored.
struct MonitoredCaller {
    explicit MonitoredCaller(boost::asio::io_context& context)
        : socket(context)
        , accepted(context)
    {
        tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        socket.connect(acceptor.local_endpoint());
        acceptor.accept(accepted);
        monitor = std::make_shared<DisconnectMonitor>(accepted);
        monitor->start();
    }

    tcp::socket socket;
    tcp::socket accepted;
    std::shared_ptr<DisconnectMonitor> monitor;
};

// Holds one exchange, and overwrites its memory after its end, so that any later use of it ends the test.
class ExchangeStorage {
public:
    template <typename... Arguments>
    TargetExchange& construct(Arguments&&... arguments)
    {
        m_exchange = new (m_memory) TargetExchange(std::forward<Arguments>(arguments)...);
        return *m_exchange;
    }

    void destroy()
    {
        std::destroy_at(m_exchange);
        std::memset(m_memory, 0, sizeof(m_memory));
    }

private:
    alignas(TargetExchange) std::byte m_memory[sizeof(TargetExchange)];
    TargetExchange* m_exchange = nullptr;
};

Fleet::KnownTarget unreachableTarget(boost::asio::io_context& context)
{
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    auto entry = Fleet::targetOf("1", "s").entry;
    entry.address.port = acceptor.local_endpoint().port();
    return { entry };
}

} // namespace

// Guards against a router that crashes when a caller leaves after the connection to a target could not be made, and before
// its refusal has been written.
Test(Disconnect, aCallerMayLeaveAfterItsTargetWasUnreachable)
{
    TestRouter router;
    boost::asio::io_context context;
    ProxyWorker worker { context, {}, {} };
    MonitoredCaller caller(context);
    auto target = unreachableTarget(context);
    ExchangeStorage storage;
    auto& exchange = storage.construct(router.context(), worker, *caller.monitor, target, "id");
    std::optional<TargetExchange::Failure> failure;
    boost::asio::co_spawn(context, exchange.send({}, {}, false, router.clock().now() + std::chrono::seconds(1)), [&](std::exception_ptr, TargetExchange::Failure ended) { failure = ended; });
    while (!failure)
        context.run_one();
    cr_assert(*failure == Dispatch::Queries::AttemptEnd::NotSent);
    storage.destroy();
    caller.socket.close();
    while (!caller.monitor->callerDisconnected())
        context.run_one();
}
