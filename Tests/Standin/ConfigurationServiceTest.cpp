#include "Standin/ConfigurationService.h"
#include "Http/HttpClient.h"

#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace Lavenderloft;
using namespace std::chrono_literals;

namespace {

constexpr auto requestTimeout = 20s;

Base::Result<Http::HttpResponse, Http::HttpError> get(Http::HttpClient& client, uint16_t port, const std::string& target)
{
    Http::HttpRequest request;
    request.target = target;
    return client.fetch({ "127.0.0.1", port }, request, requestTimeout);
}

} // namespace

// Guards against a watch that misses a document or returns one that is not newer.
Test(ConfigurationService, completesWatchWithNextDocument)
{
    Standin::ConfigurationService service({});
    Http::HttpClient client;
    service.publish(R"({"revision":4})");
    auto watch = std::async(std::launch::async, [&] { return get(client, service.port(), "/v1/config/desired-state?after=4&waitMs=15000"); });
    while (service.pendingWatches() == 0)
        std::this_thread::sleep_for(1ms);
    service.publish(R"({"revision":5})");
    auto response = watch.get();
    cr_assert(Base::succeeded(response));
    cr_assert(Http::headerValue(Base::valueOf(response).headers, "X-Revision") == "5");
    auto unchanged = get(client, service.port(), "/v1/config/desired-state?after=5&waitMs=1");
    cr_assert_eq(Base::valueOf(unchanged).status, 204);
    cr_assert_eq(service.counters().watches, 2);
}

// Guards against fault switches without effect, with which tests of a stale or unavailable service would use a healthy
// one.
Test(ConfigurationService, servesStaleRevisionAndAbortsCallsWhileDown)
{
    Standin::ConfigurationService service({});
    Http::HttpClient client;
    service.publish(R"({"revision":1})");
    service.publish("not a document");
    cr_assert(service.freezeAt(1));
    cr_assert_not(service.freezeAt(9));
    cr_assert(Base::valueOf(get(client, service.port(), "/v1/config/desired-state")).body == R"({"revision":1})");
    service.unfreeze();
    cr_assert(Base::valueOf(get(client, service.port(), "/v1/config/desired-state")).body == "not a document");
    service.setDown(true);
    cr_assert_not(Base::succeeded(get(client, service.port(), "/v1/config/desired-state")));
    cr_assert_eq(service.counters().cutOff, 1);
}
