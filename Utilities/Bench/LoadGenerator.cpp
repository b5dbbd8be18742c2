#include "Bench/LoadGenerator.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <memory>
#include <optional>

namespace Lavenderloft::Bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

namespace {

    // Aborts a hung call; far above every latency bound.
    constexpr std::chrono::seconds callTimeout { 60 };

    constexpr size_t errorPrefixBytes = 400;

    // A keep-alive connection that carries one call at a time.
    class Caller : public std::enable_shared_from_this<Caller> {
    public:
        using Done = std::function<void(unsigned status, const std::string& body)>;

        Caller(asio::io_context& context, Http::Endpoint endpoint)
            : m_stream(context)
            , m_endpoint(std::move(endpoint))
        {
        }

        void call(const Http::HttpRequest& request, Done done)
        {
            m_done = std::move(done);
            m_request = {};
            m_request.method_string(request.method);
            m_request.target(request.target);
            m_request.version(11);
            for (auto& header : request.headers)
                m_request.set(header.name, header.value);
            m_request.set(http::field::host, "router");
            m_request.body() = request.body;
            m_request.prepare_payload();
            m_stream.expires_after(callTimeout);
            if (m_stream.socket().is_open())
                return send();
            tcp::endpoint address(asio::ip::make_address(m_endpoint.host), m_endpoint.port);
            m_stream.async_connect(address, [self = shared_from_this()](beast::error_code error) {
                if (error)
                    return self->finish(0, error.message());
                self->m_stream.socket().set_option(tcp::no_delay(true));
                self->send();
            });
        }

    private:
        void send()
        {
            http::async_write(m_stream, m_request, [self = shared_from_this()](beast::error_code error, size_t) {
                if (error)
                    return self->finish(0, error.message());
                self->receive();
            });
        }

        void receive()
        {
            m_parser.emplace();
            m_parser->body_limit(std::numeric_limits<uint64_t>::max());
            http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, size_t) {
                if (error)
                    return self->finish(0, error.message());
                auto message = self->m_parser->release();
                if (!message.keep_alive())
                    self->m_stream.close();
                self->finish(message.result_int(), message.body());
            });
        }

        void finish(unsigned status, const std::string& body)
        {
            if (!status) {
                m_stream.close();
                m_buffer.clear();
            }
            auto done = std::move(m_done);
            done(status, body);
        }

        beast::tcp_stream m_stream;
        Http::Endpoint m_endpoint;
        beast::flat_buffer m_buffer;
        http::request<http::string_body> m_request;
        std::optional<http::response_parser<http::string_body>> m_parser;
        Done m_done;
    };

    // State of one run; used only by the thread that runs the context.
    class Run {
    public:
        Run(const std::vector<Http::Endpoint>& endpoints, const Plan& plan)
            : m_endpoints(endpoints)
            , m_plan(plan)
            , m_idle(endpoints.size())
            , m_startedAt(SteadyClock::now())
        {
        }

        void sendNext(SteadyClock::time_point due, const std::function<void()>& next)
        {
            auto planned = m_plan(m_index++);
            auto caller = takeCaller(planned.endpoint);
            caller->call(planned.request, [this, caller, group = planned.group, endpoint = planned.endpoint, due, next](unsigned status, const std::string& body) {
                CallResult result { group, due - m_startedAt, SteadyClock::now() - due, status, body.size(), {} };
                if (status != 200)
                    result.error = body.substr(0, errorPrefixBytes);
                m_results.push_back(std::move(result));
                m_idle[endpoint].push_back(caller);
                if (next)
                    next();
            });
        }

        SteadyClock::time_point startedAt() const { return m_startedAt; }
        asio::io_context& context() { return m_context; }
        std::vector<CallResult> takeResults() { return std::move(m_results); }

    private:
        std::shared_ptr<Caller> takeCaller(size_t endpoint)
        {
            auto& idle = m_idle[endpoint];
            if (idle.empty())
                return std::make_shared<Caller>(m_context, m_endpoints[endpoint]);
            auto caller = idle.back();
            idle.pop_back();
            return caller;
        }

        asio::io_context m_context { 1 };
        const std::vector<Http::Endpoint>& m_endpoints;
        const Plan& m_plan;
        std::vector<std::vector<std::shared_ptr<Caller>>> m_idle;
        SteadyClock::time_point m_startedAt;
        size_t m_index = 0;
        std::vector<CallResult> m_results;
    };

} // namespace

LoadGenerator::LoadGenerator(std::vector<Http::Endpoint> endpoints)
    : m_endpoints(std::move(endpoints))
{
}

std::vector<CallResult> LoadGenerator::runClosed(size_t connections, std::chrono::milliseconds duration, const Plan& plan)
{
    Run run(m_endpoints, plan);
    auto until = run.startedAt() + duration;
    std::function<void()> next = [&] {
        auto now = SteadyClock::now();
        if (now < until)
            run.sendNext(now, next);
    };
    for (size_t i = 0; i < connections; ++i)
        next();
    run.context().run();
    return run.takeResults();
}

std::vector<CallResult> LoadGenerator::runPaced(double callsPerSecond, std::chrono::milliseconds duration, const Plan& plan)
{
    Run run(m_endpoints, plan);
    auto interval = std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(1 / callsPerSecond));
    auto until = run.startedAt() + duration;
    auto due = run.startedAt();
    asio::steady_timer timer(run.context());
    std::function<void()> schedule = [&] {
        for (auto now = SteadyClock::now(); due <= now && due < until; due += interval)
            run.sendNext(due, nullptr);
        if (due >= until)
            return;
        timer.expires_at(due);
        timer.async_wait([&](beast::error_code) { schedule(); });
    };
    schedule();
    run.context().run();
    return run.takeResults();
}

double percentile(const std::vector<CallResult>& results, double share, const std::function<bool(const CallResult&)>& isIncluded)
{
    std::vector<double> milliseconds;
    for (auto& result : results) {
        if (result.status == 200 && isIncluded(result))
            milliseconds.push_back(std::chrono::duration<double, std::milli>(result.latency).count());
    }
    if (milliseconds.empty())
        return 0;
    auto rank = static_cast<size_t>(share * static_cast<double>(milliseconds.size() - 1));
    std::nth_element(milliseconds.begin(), milliseconds.begin() + static_cast<std::ptrdiff_t>(rank), milliseconds.end());
    return milliseconds[rank];
}

} // namespace Lavenderloft::Bench
