#include "Http/HttpClient.h"
#include "Http/HttpServer.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Http;
using namespace std::chrono_literals;

namespace {

// Responds to /stream in chunks, to /cut with a truncated response, and to other paths with the request body.
class EchoHandler final : public HttpHandler {
public:
    void handle(HttpRequest request, std::shared_ptr<ResponseStream> stream) override
    {
        if (request.target == "/stream" || request.target == "/cut") {
            stream->start(200, {});
            writeChunks(stream, 100, request.target == "/cut");
            return;
        }
        stream->respond({ 200, {}, request.body });
    }

private:
    static void writeChunks(const std::shared_ptr<ResponseStream>& stream, int left, bool cut)
    {
        if (left == 0)
            return cut ? stream->abort() : stream->finish();
        stream->write(std::string(1000, 'x'), [stream, left, cut](bool ok) {
            if (ok)
                writeChunks(stream, left - 1, cut);
        });
    }
};

HttpRequest makeRequest(std::string target, std::string body = {})
{
    HttpRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.target = std::move(target);
    request.body = std::move(body);
    return request;
}

} // namespace

// Guards against lost or duplicated bytes in complete and in chunked responses.
Test(Http, transfersCompleteAndChunkedResponses)
{
    HttpServer server({}, std::make_shared<EchoHandler>());
    HttpClient client;
    Endpoint endpoint { "127.0.0.1", server.port() };
    auto echo = client.fetch(endpoint, makeRequest("/echo", "hello"), 5s);
    cr_assert(Base::succeeded(echo));
    cr_assert(Base::valueOf(echo).body == "hello");
    auto streamed = client.fetch(endpoint, makeRequest("/stream"), 5s);
    cr_assert(Base::succeeded(streamed));
    cr_assert_eq(Base::valueOf(streamed).body.size(), 100000);
}

// Guards against a truncated response being reported as complete.
Test(Http, reportsTruncatedResponse)
{
    HttpServer server({}, std::make_shared<EchoHandler>());
    HttpClient client;
    auto cut = client.fetch({ "127.0.0.1", server.port() }, makeRequest("/cut"), 5s);
    cr_assert_not(Base::succeeded(cut));
    cr_assert(Base::errorOf(cut).kind == HttpErrorKind::Broken);
}

// Guards against a request body above the limit being buffered.
Test(Http, rejectsBodyAboveLimit)
{
    HttpServerOptions options;
    options.maximumBodyBytes = 1000;
    HttpServer server(options, std::make_shared<EchoHandler>());
    HttpClient client;
    auto refused = client.fetch({ "127.0.0.1", server.port() }, makeRequest("/echo", std::string(2000, 'x')), 5s);
    cr_assert(Base::succeeded(refused));
    cr_assert_eq(Base::valueOf(refused).status, 413);
}

// Guards against a failure to connect being reported as if the server might have run the request.
Test(Http, reportsThatRequestWasNotSent)
{
    uint16_t port = 0;
    {
        HttpServer server({}, std::make_shared<EchoHandler>());
        port = server.port();
    }
    HttpClient client;
    auto refused = client.fetch({ "127.0.0.1", port }, makeRequest("/echo"), 5s);
    cr_assert_not(Base::succeeded(refused));
    cr_assert(Base::errorOf(refused).kind == HttpErrorKind::NotSent);
}

// Guards against accepting host names, or addresses without a valid port.
Test(Http, parsesOnlyIpAddressesWithPorts)
{
    cr_assert(Base::succeeded(parseEndpoint("127.0.0.1:80")));
    cr_assert_not(Base::succeeded(parseEndpoint("localhost:80")));
    cr_assert_not(Base::succeeded(parseEndpoint("127.0.0.1:99999")));
    cr_assert_not(Base::succeeded(parseEndpoint("127.0.0.1")));
}
