#include "Standin/PlainService.h"
#include "Http/HttpClient.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace std::chrono_literals;

namespace {

constexpr auto requestTimeout = 20s;

bool call(Http::HttpClient& client, uint16_t port, const std::string& callId)
{
    Http::HttpRequest request;
    request.method = "POST";
    request.target = "/bookings";
    request.headers = { { "X-Call-Id", callId } };
    request.body = "violin";
    return Base::succeeded(client.fetch({ "127.0.0.1", port }, request, requestTimeout));
}

} // namespace

// Guards against a service that does not count a second execution of the same call.
Test(PlainService, countsExecutionsWithoutResponse)
{
    Standin::PlainService service({});
    Http::HttpClient client;
    service.dropBeforeRun(1);
    cr_assert_not(call(client, service.port(), "a"));
    cr_assert_eq(service.executionsOf("a"), 0);
    service.dropAfterRun(1);
    cr_assert_not(call(client, service.port(), "a"));
    cr_assert_eq(service.executionsOf("a"), 1);
    cr_assert(call(client, service.port(), "a"));
    cr_assert(call(client, service.port(), "b"));
    cr_assert_eq(service.executions().maximum, 2);
    cr_assert_eq(service.executions().total, 3);
}
