#include "Process/CallerHandler.h"

#include "Routing/Queries/ReadRequest.h"
#include "Routing/RequestCoordinator.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <strings.h>

namespace Lavenderloft::Process {

namespace {

    using Routing::ErrorCode;

    // Headers that apply to a single connection (RFC 9110, section 7.6.1) or that the next hop sets itself.
    constexpr std::array hopByHopHeaders { "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect" };

    bool isHopByHopHeader(const std::string& name)
    {
        return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), [&](auto* header) { return !strcasecmp(header, name.c_str()); });
    }

    // Response headers that the router sets itself.
    constexpr std::array routerHeaders { "X-Adapter-Digest", "X-Request-Id", "X-Weights-Digest" };

    bool isRouterHeader(const std::string& name)
    {
        return std::any_of(routerHeaders.begin(), routerHeaders.end(), [&](auto* header) { return !strcasecmp(header, name.c_str()); });
    }

    Routing::CallerRequest decodeRequest(Http::HttpRequest&& request)
    {
        Routing::CallerRequest decoded;
        decoded.method = std::move(request.method);
        decoded.path = std::move(request.target);
        decoded.body = std::move(request.body);
        for (auto& header : request.headers) {
            if (!isHopByHopHeader(header.name))
                decoded.headers.push_back({ std::move(header.name), std::move(header.value) });
        }
        return decoded;
    }

    unsigned httpStatus(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::MalformedHeader:
            return 400;
        case ErrorCode::NoRoute:
            return 404;
        case ErrorCode::KeyNotVouched:
        case ErrorCode::KeyRunning:
            return 409;
        case ErrorCode::TooLarge:
            return 413;
        case ErrorCode::Quarantined:
            return 422;
        case ErrorCode::OutcomeUnknown:
            return 502;
        case ErrorCode::DeadlineExceeded:
            return 504;
        default:
            return 503;
        }
    }

    Http::HttpResponse encodeError(const std::string& requestId, const Routing::RoutingError& error)
    {
        nlohmann::ordered_json fields;
        fields["code"] = Routing::codeName(error.code);
        fields["message"] = error.message;
        fields["remedy"] = error.remedy;
        fields["outcome"] = Routing::outcomeName(error.outcome);
        fields["retryAfterMs"] = error.retryAfter.count();
        Http::HttpResponse response;
        response.status = httpStatus(error.code);
        response.headers = { { "Content-Type", "application/json" } };
        if (!requestId.empty())
            response.headers.push_back({ "X-Request-Id", requestId });
        if (error.retryAfter.count())
            response.headers.push_back({ "Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(error.retryAfter).count()) });
        response.body = nlohmann::ordered_json { { "error", std::move(fields) } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return response;
    }

    Http::HttpHeaders encodeHeaders(const std::string& requestId, const Routing::ResponseHead& head)
    {
        Http::HttpHeaders headers;
        for (auto& header : head.headers) {
            if (!isHopByHopHeader(header.name) && !isRouterHeader(header.name))
                headers.push_back({ header.name, header.value });
        }
        headers.push_back({ "X-Request-Id", requestId });
        if (!head.weightsDigest.empty())
            headers.push_back({ "X-Weights-Digest", head.weightsDigest });
        if (!head.adapterDigest.empty())
            headers.push_back({ "X-Adapter-Digest", head.adapterDigest });
        if (head.replayed)
            headers.push_back({ "Idempotency-Replayed", "true" });
        return headers;
    }

    // Encodes one response as HTTP.
    class HttpResponseWriter final : public Routing::ResponseWriter {
    public:
        HttpResponseWriter(std::shared_ptr<Http::ResponseStream> stream, bool isHeadRequest)
            : m_stream(std::move(stream))
            , m_isHeadRequest(isHeadRequest)
        {
        }

        void reject(const std::string& requestId, const Routing::RoutingError& error) override { m_stream->respond(encodeError(requestId, error)); }

        void head(const std::string& requestId, const Routing::ResponseHead& head) override
        {
            // These responses have no body; a client would parse chunks as the next response (RFC 9112, section 6.3).
            m_isBodiless = m_isHeadRequest || head.status == 204 || head.status == 304;
            if (m_isBodiless)
                m_bodiless = { head.status, encodeHeaders(requestId, head), {} };
            else
                m_stream->start(head.status, encodeHeaders(requestId, head));
        }

        void data(std::string bytes, std::function<void(bool)> written) override
        {
            if (m_isBodiless)
                written(true);
            else
                m_stream->write(std::move(bytes), std::move(written));
        }

        void complete() override
        {
            if (m_isBodiless)
                m_stream->respond(std::move(m_bodiless));
            else
                m_stream->finish();
        }

        void abort() override { m_stream->abort(); }

    private:
        std::shared_ptr<Http::ResponseStream> m_stream;
        const bool m_isHeadRequest;
        bool m_isBodiless = false;
        Http::HttpResponse m_bodiless;
    };

    Routing::RoutingError notSynchronisedError()
    {
        return { ErrorCode::NotSynchronised, "this router has not synchronised the desired state yet", "retry; the load balancer should check /readyz on the admin port", Routing::Outcome::NotRun, std::chrono::seconds(1) };
    }

} // namespace

CallerHandler::CallerHandler(std::weak_ptr<Routing::RoutingContext> context, const ControlView& control)
    : m_context(std::move(context))
    , m_control(control)
{
}

void CallerHandler::handle(Http::HttpRequest request, std::shared_ptr<Http::ResponseStream> stream)
{
    auto context = m_context.lock();
    bool isHeadRequest = request.method == "HEAD";
    // Asked first: the process may pause and synchronise in between, and a document from before the pause may be outdated.
    bool isSynchronised = m_control.isSynchronised();
    auto document = m_control.document();
    if (!context || !document || !isSynchronised)
        return stream->respond(encodeError({}, notSynchronisedError()));
    auto read = Routing::Queries::readRequest(decodeRequest(std::move(request)), *document, { context->clock.now(), context->clock.wallTime() }, context->random);
    if (!Base::succeeded(read)) {
        context->metrics.count("errors_total", { { "code", std::string(Routing::codeName(Base::errorOf(read).code)) }, { "outcome", "not_run" } });
        return stream->respond(encodeError({}, Base::errorOf(read)));
    }
    auto coordinator = std::make_shared<Routing::RequestCoordinator>(context, Base::takeValue(std::move(read)), std::make_shared<HttpResponseWriter>(stream, isHeadRequest));
    stream->onDisconnect([weak = std::weak_ptr(coordinator)] {
        if (auto running = weak.lock())
            running->callerDisconnected();
    });
    coordinator->start();
}

} // namespace Lavenderloft::Process
