#include "Http/EngineHttpClient.h"
#include "Http/HttpClient.h"
#include "Http/PersistentHttpClient.h"
#include "Proxy/ScriptedTarget.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Http;
using namespace std::chrono_literals;

namespace {

constexpr std::array outOfRange { "000", "099", "600", "999", "20", "2000", "101" };

std::string statusResponse(const std::string& status) { return "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody"; }

const std::string interimResponses = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

using Result = Base::Result<HttpResponse, HttpError>;

Result fetch(const std::string& bytes)
{
    Proxy::ScriptedTarget server([&](const std::string&, unsigned) { return Proxy::ScriptedReply { bytes }; });
    HttpClient client;
    return client.fetch({ "127.0.0.1", server.port() }, {}, 2s);
}

Result callPersistently(const std::string& bytes)
{
    Proxy::ScriptedTarget server([&](const std::string&, unsigned) { return Proxy::ScriptedReply { bytes }; });
    boost::asio::io_context context;
    PersistentHttpClient client(context.get_executor(), { "127.0.0.1", server.port() });
    auto result = boost::asio::co_spawn(context, client.call({}, 2s), boost::asio::use_future);
    context.run();
    return result.get();
}

} // namespace

// Guards against a status that is none and is taken for a response: parsers take any three digits.
Test(ResponseStatus, outOfRangeIsABrokenResponse)
{
    for (auto* status : outOfRange) {
        for (auto& result : { fetch(statusResponse(status)), callPersistently(statusResponse(status)) }) {
            cr_expect(!Base::succeeded(result) && Base::errorOf(result).kind == HttpErrorKind::Broken, "status %s was accepted", status);
        }
    }
}

// Guards against an interim response that is taken for the response.
Test(ResponseStatus, interimResponsesAreSkipped)
{
    for (auto& result : { fetch(interimResponses + statusResponse("200")), callPersistently(interimResponses + statusResponse("200")) }) {
        cr_assert(Base::succeeded(result));
        cr_expect_eq(Base::valueOf(result).status, 200);
        cr_expect_eq(Base::valueOf(result).body, "body");
    }
}

// Guards against interim responses without end.
Test(ResponseStatus, interimResponsesWithoutEndAreABrokenResponse)
{
    std::string bytes;
    for (unsigned i = 0; i < 100; ++i)
        bytes += interimResponses;
    for (auto& result : { fetch(bytes), callPersistently(bytes) })
        cr_expect(!Base::succeeded(result) && Base::errorOf(result).kind == HttpErrorKind::Broken);
}

// Guards against an engine that counts as having refused, or accepted, what it did not answer.
Test(ResponseStatus, outOfRangeOfAnEngineIsNoAnswer)
{
    for (auto* status : outOfRange) {
        Proxy::ScriptedTarget engine([&](const std::string&, unsigned) { return Proxy::ScriptedReply { statusResponse(status) }; });
        EngineHttpClient client({ "127.0.0.1", engine.port() });
        auto result = client.load("d", 1);
        cr_expect(!Base::succeeded(result) && Base::errorOf(result).kind == Placement::EngineErrorKind::Unreachable, "status %s", status);
    }
}
