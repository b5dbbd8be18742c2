#include "HostileCallers/Crowd.h"
#include "HostileCallers/RouterChecks.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::HostileCallers;

// Guards against bounds that end an upload of the largest body by a slow caller to make room for callers without a request.
Test(SlowCallers, finishAnUploadBesideACrowd)
{
    constexpr size_t bodyBytes = 4194304;
    constexpr unsigned parts = 32;
    RouterUnderAttack router;
    awaitReady(router);
    asio::io_context context;
    tcp::socket caller(context);
    caller.connect(router.callers());
    asio::write(caller, asio::buffer(RouterUnderAttack::requestHead("POST", "/ordinary", "Connection: close\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n")));
    Crowd crowd(router.callers(), manyConnections);
    boost::system::error_code error;
    for (unsigned i = 0; i < parts && !error; ++i) {
        asio::write(caller, asio::buffer(std::string(bodyBytes / parts, 'b')), error);
        std::this_thread::sleep_for(100ms);
    }
    cr_expect_not(error.failed(), "the connection was closed: %s", error.message().c_str());
    auto response = Proxy::TestRouter::readAll(caller);
    cr_expect(response.starts_with("HTTP/1.1 200") && response.ends_with("hello"), "%s", response.c_str());
    expectWithinBounds(router);
    expectServed(router);
}

// Guards against bounds that end a response which a caller reads slowly, to make room for callers without a request.
Test(SlowCallers, receiveALongResponseBesideACrowd)
{
    constexpr size_t partBytes = 256 * 1024;
    RouterUnderAttack router;
    awaitReady(router);
    asio::io_context context;
    tcp::socket caller(context);
    caller.connect(router.callers());
    asio::write(caller, asio::buffer(ordinaryRequest({}, "/long")));
    Crowd crowd(router.callers(), manyConnections);
    size_t received = 0;
    boost::system::error_code error;
    std::string part(partBytes, '\0');
    while (!error) {
        received += asio::read(caller, asio::buffer(part), error);
        std::this_thread::sleep_for(50ms);
    }
    cr_expect_geq(received, RouterUnderAttack::longResponseBytes);
    expectWithinBounds(router);
    expectServed(router);
}
