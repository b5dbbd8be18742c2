#include "Http/WaitingConnections.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <optional>

using namespace Lavenderloft;
using namespace Lavenderloft::Http;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using Admission = WaitingConnections::Admission;

namespace {

constexpr Base::TimePoint start { 1h };

// A server with room for two connections, and both sides of each.
struct Server {
    boost::asio::io_context context;
    tcp::acceptor acceptor { context, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    WaitingConnections connections { 2 };
};

struct Pair {
    explicit Pair(Server& server)
        : caller(server.context)
        , stream(server.context)
    {
        caller.connect(server.acceptor.local_endpoint());
        stream.socket() = server.acceptor.accept();
        registration.emplace(server.connections, stream);
    }

    tcp::socket caller;
    boost::beast::tcp_stream stream;
    std::optional<WaitingConnections::Registration> registration;
};

} // namespace

// Guards against a connection that is closed although a request has arrived on it and others only wait.
Test(WaitingConnections, keepsAConnectionWithAnUnreadRequest)
{
    Server server;
    Pair first(server);
    Pair second(server);
    first.registration->startWaiting(start);
    second.registration->startWaiting(start + 1s);
    boost::asio::write(first.caller, boost::asio::buffer("GET", 3));
    first.stream.socket().wait(tcp::socket::wait_read);
    cr_assert(server.connections.makeRoom(start + 2s) == Admission::Replaced);
    cr_assert_not(first.registration->isClosed());
    cr_assert(second.registration->isClosed());
}

// Guards against a caller whose connection is closed before those that never had a response, and against closing a
// connection whose request is complete.
Test(WaitingConnections, closesTheLongestWaitingWithoutAResponse)
{
    Server server;
    Pair served(server);
    Pair silent(server);
    served.registration->recordResponse();
    served.registration->startWaiting(start);
    silent.registration->startWaiting(start + 1s);
    cr_assert(server.connections.makeRoom(start + 2s) == Admission::Replaced);
    cr_assert(silent.registration->isClosed());
    silent.registration.reset();
    cr_assert(server.connections.makeRoom(start + 2s) == Admission::Free);
    Pair busy(server);
    served.registration->stopWaiting();
    cr_assert(server.connections.makeRoom(start + 3s) == Admission::Refused);
    cr_assert_not(busy.registration->isClosed() || served.registration->isClosed());
}
