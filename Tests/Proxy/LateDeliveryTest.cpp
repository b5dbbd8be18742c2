#include "Proxy/TargetExchange.h"
#include "Proxy/TestRouter.h"

#include <criterion/criterion.h>
#include <optional>

using namespace Lavenderloft;
using namespace Lavenderloft::Proxy;
using boost::asio::ip::tcp;
using Dispatch::Queries::AttemptEnd;

namespace {

// Much less than the router's end of a connection holds, and more than the target's end.
constexpr size_t bodyBytes = 50'000;

// A target that accepts connections and reads nothing until it is told to. Little fits into its receive buffer, as on a
// link that is slow.
class SlowLinkTarget {
public:
    explicit SlowLinkTarget(boost::asio::io_context& context)
        : m_acceptor(context, tcp::v4())
        , m_socket(context)
    {
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        m_acceptor.bind(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        m_acceptor.listen();
    }

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void accept() { m_acceptor.accept(m_socket); }

    // All bytes up to the end of the connection.
    size_t read()
    {
        std::string bytes;
        boost::system::error_code error;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(bytes), error);
        return bytes.size();
    }

private:
    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
};

// Sends requests over exchanges of its own, without a router around them.
class Sender {
public:
    explicit Sender(uint16_t port)
        : m_caller(m_context)
        , m_monitor(std::make_shared<DisconnectMonitor>(m_caller))
        , m_target { Fleet::targetOf("1", "s").entry }
    {
        m_target.entry.address = { "127.0.0.1", port };
        m_exchange.emplace(m_router.context(), m_worker, *m_monitor, m_target, "id");
    }

    // Returns once the whole request has been handed to the kernel, or the attempt has failed.
    TargetExchange::Failure send(std::string_view body, std::chrono::milliseconds timeLeft)
    {
        std::optional<TargetExchange::Failure> failure;
        auto deadline = m_router.clock().now() + timeLeft;
        boost::asio::co_spawn(m_context, m_exchange->send({}, body, false, deadline), [&](std::exception_ptr, TargetExchange::Failure ended) { failure = ended; });
        while (!failure)
            m_context.run_one();
        return *failure;
    }

    void abandon() { m_exchange.reset(); }

private:
    TestRouter m_router;
    boost::asio::io_context m_context;
    ProxyWorker m_worker { m_context, {}, {} };
    tcp::socket m_caller;
    std::shared_ptr<DisconnectMonitor> m_monitor;
    Fleet::KnownTarget m_target;
    std::optional<TargetExchange> m_exchange;
};

} // namespace

// Guards against a request that reaches its target after its caller has left or its weights have expired: an ordinary close
// leaves what waits in the send buffer to the kernel, which goes on delivering it.
Test(LateDelivery, anAbandonedRequestIsNotDelivered)
{
    boost::asio::io_context context;
    SlowLinkTarget target(context);
    Sender sender(target.port());
    std::string body(bodyBytes, 'b');
    auto failure = sender.send(body, std::chrono::seconds(10));
    cr_assert_not(failure.has_value());
    target.accept();
    sender.abandon();
    auto received = target.read();
    cr_assert_lt(received, body.size(), "the target received the whole request, %zu bytes", received);
}

// Guards against a request that is written after its time has passed, because the process was suspended between the choice
// of the target and the write.
Test(LateDelivery, aRequestIsNotWrittenAfterItsTime)
{
    boost::asio::io_context context;
    SlowLinkTarget target(context);
    Sender sender(target.port());
    auto failure = sender.send("body", std::chrono::milliseconds(-1));
    cr_assert(failure == AttemptEnd::NotSent);
}

// Guards against a request that begins on expired weights because its target reads it slowly: the time limit of the weights
// applied to the response, not to the sending of the request.
Test(LateDelivery, aRequestThatIsStillBeingSentWhenItsWeightsExpireIsWithdrawn)
{
    constexpr size_t moreThanTheKernelHolds = 4'000'000;
    TestRouter router;
    boost::asio::io_context context;
    SlowLinkTarget target(context);
    router.setRoute(Fleet::RequestKind::Stream, 1, true);
    router.addTargetAt("1", target.port());
    // Routers choose engines with old weights until one second before the deadline.
    router.declareWeights(Fleet::FleetBounds().weights - std::chrono::milliseconds(2500));
    auto sentAt = std::chrono::steady_clock::now();
    auto caller = router.send(context, "POST", "Connection: close\r\nContent-Length: " + std::to_string(moreThanTheKernelHolds) + "\r\n");
    boost::asio::write(caller, boost::asio::buffer(std::string(moreThanTheKernelHolds, 'b')));
    target.accept();
    auto response = TestRouter::readAll(caller);
    auto elapsed = std::chrono::steady_clock::now() - sentAt;
    cr_assert(elapsed < std::chrono::milliseconds(2500), "the router ended the attempt after the deadline of the weights");
    cr_assert_not(contains(response, "HTTP/1.1 2"), "%s", response.c_str());
}
