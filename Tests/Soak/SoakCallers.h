#pragma once

#include "Http/PersistentHttpClient.h"
#include "Soak/SoakFleet.h"

namespace Lavenderloft::Soak {

using namespace std::chrono_literals;

// Which requests must be answered.
enum class Expectation {
    None,
    // All that a target runs, if it always responds in time.
    Answers,
    // All that a router accepts, until their deadline, if a target may be silent for longer. Targets do not fail.
    AnswersInTime,
    // No target gets more than the limit that it names. Routers run throughout.
    Limits,
};

// Callers that keep using open connections until these are closed, and the load balancer in front of the routers.
class SoakCallers {
public:
    SoakCallers(SoakFleet& fleet, Expectation expectation, unsigned seed)
        : m_fleet(fleet)
        , m_expectation(expectation)
        , m_random(seed)
    {
    }

    std::chrono::milliseconds deadline { 2000 };

    void start(unsigned callersPerKind)
    {
        for (size_t i = 0; i < m_fleet.routers.size(); ++i)
            asio::co_spawn(m_fleet.context, probe(i), asio::detached);
        for (auto kind : { RequestKind::Idempotent, RequestKind::AtMostOnce, RequestKind::Stream }) {
            for (unsigned i = 0; i < callersPerKind; ++i)
                asio::co_spawn(m_fleet.context, call(kind), asio::detached);
        }
    }

    void stop() { m_isStopping = true; }
    bool haveAllStopped() const { return m_running == 0; }
    bool isAnyRouterReady() const
    {
        return std::any_of(m_fleet.routers.begin(), m_fleet.routers.end(), [](auto& router) { return router.isReady; });
    }

private:
    using Response = http::response<http::string_body>;

    struct Connection {
        beast::tcp_stream stream;
        const SoakRouter& router;
    };

    // The balancer takes a router out after two checks in a row without a 200.
    asio::awaitable<void> probe(size_t index)
    {
        unsigned failures = 0;
        while (!m_isStopping) {
            Http::PersistentHttpClient client(m_fleet.context.get_executor(), { m_fleet.routers[index].address, m_fleet.readyPort() });
            Http::HttpRequest request;
            request.target = "/api/readyz";
            auto result = co_await client.call(std::move(request), std::chrono::milliseconds(300));
            bool isReady = Base::succeeded(result) && Base::valueOf(result).status == 200;
            failures = isReady ? 0 : failures + 1;
            m_fleet.routers[index].isReady = isReady || (m_fleet.routers[index].isReady && failures < 2);
            co_await pause(std::chrono::milliseconds(400));
        }
    }

    const SoakRouter* chooseRouter()
    {
        std::vector<const SoakRouter*> ready;
        for (auto& router : m_fleet.routers) {
            if (router.isReady)
                ready.push_back(&router);
        }
        return ready.empty() ? nullptr : ready[m_random() % ready.size()];
    }

    asio::awaitable<void> call(RequestKind kind)
    {
        ++m_running;
        std::unique_ptr<Connection> connection;
        while (!m_isStopping) {
            co_await pause(std::chrono::milliseconds(20 + m_random() % 100));
            if (!connection)
                connection = co_await connect();
            if (!connection)
                continue;
            bool isOpen = co_await sendRequest(connection->stream, connection->router, kind);
            if (!isOpen)
                connection.reset();
        }
        --m_running;
    }

    asio::awaitable<std::unique_ptr<Connection>> connect()
    {
        auto* router = chooseRouter();
        if (!router)
            co_return nullptr;
        auto connection = std::make_unique<Connection>(Connection { beast::tcp_stream(m_fleet.context), *router });
        boost::system::error_code error;
        connection->stream.expires_after(std::chrono::milliseconds(500));
        co_await connection->stream.async_connect(tcp::endpoint(asio::ip::make_address(router->address), m_fleet.callerPort()), asio::redirect_error(asio::use_awaitable, error));
        if (error)
            connection.reset();
        co_return connection;
    }

    // The body of every third request has no length. Every seventh head has a field that is longer than a message of Beast
    // can hold and that is not forwarded.
    std::string serialize(RequestKind kind, const std::string& id) const
    {
        auto line = kind == RequestKind::Idempotent ? "GET /stock/1" : kind == RequestKind::AtMostOnce ? "POST /loan/1"
                                                                                                       : "POST /draft/1";
        auto body = RequestLedger::bodyOf(id);
        return std::string(line) + " HTTP/1.1\r\nHost: soak.example\r\nLavenderloft-Request-Id: " + id + "\r\nLavenderloft-Model: " + SoakWeights::model + "\r\nLavenderloft-Token-Usage: 60,30\r\nLavenderloft-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n" + oddFields() + frame(body);
    }

    std::string oddFields() const
    {
        constexpr size_t longFieldBytes = 70000;
        if (m_fleet.ledger.requestCount() % 7 > 0)
            return {};
        return "Connection: X-Note, X-Other\r\nX-Note: " + std::string(longFieldBytes, 'n') + "\r\n";
    }

    std::string frame(const std::string& body) const
    {
        if (m_fleet.ledger.requestCount() % 3 > 0)
            return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        return "Transfer-Encoding: chunked\r\n\r\n" + SoakTarget::chunkOf(body) + "0;end=1\r\nX-Late: 1\r\n\r\n";
    }

    // Returns whether the connection can be used again.
    asio::awaitable<bool> sendRequest(beast::tcp_stream& stream, const SoakRouter& router, RequestKind kind)
    {
        auto id = m_fleet.ledger.open(kind);
        auto bytes = serialize(kind, id);
        boost::system::error_code error;
        auto sentAt = SteadyClock::now();
        stream.expires_after(deadline + answerSlack);
        co_await asio::async_write(stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        beast::flat_buffer buffer;
        if (!error)
            co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            recordMissingAnswer(id, kind, error, parser);
            checkLoss(id, sentAt, router, error.message());
            co_return false;
        }
        bool isServed = checkAnswer(id, kind, parser.get());
        checkFailure(id, sentAt, router, parser.get().result_int());
        m_fleet.ledger.recordEnd(id, isServed);
        if (buffer.size() > 0)
            m_fleet.ledger.addViolation("MIXED", id + " got bytes behind its answer");
        co_return parser.get().keep_alive();
    }

    void recordMissingAnswer(const std::string& id, RequestKind kind, const boost::system::error_code& error, const http::response_parser<http::string_body>& parser)
    {
        auto& ledger = m_fleet.ledger;
        ledger.recordEnd(id, false);
        if (error.category() == beast::error_code(http::error::bad_method).category() && error != http::error::end_of_stream && error != http::error::partial_message)
            ledger.addViolation("MIXED", id + " got bytes that are no answer: " + error.message());
        if (parser.is_header_done() && parser.get().result_int() / 100 == 2)
            checkEvents(id, kind, parser.get().body(), false);
        if (m_expectation == Expectation::Answers && ledger.hasRun(id))
            ledger.addViolation("LOST", id + " was run and its connection ended without a complete answer: " + error.message());
        if (m_expectation != Expectation::None && error == beast::error::timeout)
            ledger.addViolation("HELD", id + " had no answer after its deadline");
    }

    // Whether a request may remain without a response: it is due, or a target still works on it at the end of a stop.
    bool mayFail(const std::string& id, SteadyClock::time_point sentAt, const SoakRouter& router)
    {
        auto now = SteadyClock::now();
        bool wasAtWork = m_fleet.ledger.lastWorkAt(id) >= router.stoppedAt + SoakFleet::grace * 5 / 6;
        bool isStopped = wasAtWork && sentAt <= router.stoppedAt + 3s && now <= router.stoppedAt + SoakFleet::grace + 1s;
        return isStopped || now >= sentAt + deadline - deadlineTolerance;
    }

    // A connection ended without a complete answer. A request counts once a target runs it, or once it was certainly read.
    void checkLoss(const std::string& id, SteadyClock::time_point sentAt, const SoakRouter& router, const std::string& error)
    {
        bool isAccepted = m_fleet.ledger.hasRun(id) || SteadyClock::now() > sentAt + readTime;
        if (m_expectation == Expectation::AnswersInTime && isAccepted && !mayFail(id, sentAt, router))
            m_fleet.ledger.addViolation("LOST", id + " ended without a complete answer " + describeTimes(sentAt, router) + ": " + error);
    }

    // A target runs the request, does not fail and has time left.
    void checkFailure(const std::string& id, SteadyClock::time_point sentAt, const SoakRouter& router, unsigned status)
    {
        bool isFailure = status >= 500 && status != 503;
        if (m_expectation == Expectation::AnswersInTime && isFailure && m_fleet.ledger.hasRun(id) && !mayFail(id, sentAt, router))
            m_fleet.ledger.addViolation("EARLY", id + " got " + std::to_string(status) + " " + describeTimes(sentAt, router));
    }

    static std::string describeTimes(SteadyClock::time_point sentAt, const SoakRouter& router)
    {
        auto now = SteadyClock::now();
        auto stop = router.stoppedAt == SteadyClock::time_point() ? "" : ", " + std::to_string((now - router.stoppedAt) / 1ms) + " ms after its last SIGTERM";
        return std::to_string((now - sentAt) / 1ms) + " ms after it was sent to " + router.address + stop;
    }

    bool checkAnswer(const std::string& id, RequestKind kind, const Response& response)
    {
        auto status = response.result_int();
        auto& ledger = m_fleet.ledger;
        if (status / 100 == 2) {
            bool isOwn = response["Lavenderloft-Response-Seal"] == "seal." + id;
            if (!isOwn || (kind != RequestKind::Stream && response.body() != RequestLedger::answerTo(id)))
                ledger.addViolation("MIXED", id + " got another answer: " + response.body());
            if (kind == RequestKind::Stream)
                checkEvents(id, kind, response.body(), true);
            return true;
        }
        if (status == 408 || status == 421 || status == 429 || status == 503)
            ledger.recordRefusal(id, status);
        else if (status < 500)
            ledger.addViolation("DENIED", id + " got " + std::to_string(status));
        return false;
    }

    // The events of a stream must follow each other; one that ends as complete must have all of them.
    void checkEvents(const std::string& id, RequestKind kind, const std::string& body, bool isComplete)
    {
        if (kind != RequestKind::Stream)
            return;
        std::string expected;
        for (unsigned number = 1; number <= streamEvents; ++number)
            expected += eventOf(id, number);
        if (isComplete ? body != expected : !expected.starts_with(body))
            m_fleet.ledger.addViolation("ORDER", id + " got the events: " + body);
    }

    // How much later than its deadline a caller waits for an answer.
    static constexpr std::chrono::milliseconds answerSlack { 1500 };
    // The deadline of a router begins when it has read the request, its last response arrives before the deadline.
    static constexpr std::chrono::milliseconds deadlineTolerance { 50 };
    // In which a router has read a request that does not cross the close of its connection.
    static constexpr std::chrono::milliseconds readTime { 500 };

    SoakFleet& m_fleet;
    Expectation m_expectation;
    std::mt19937 m_random;
    bool m_isStopping = false;
    unsigned m_running = 0;
};

} // namespace Lavenderloft::Soak
