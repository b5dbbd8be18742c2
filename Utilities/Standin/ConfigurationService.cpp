#include "Standin/ConfigurationService.h"

#include "Base/SystemClock.h"
#include "Base/TokenBucket.h"
#include "Standin/Commands/ConfigurationCommands.h"
#include "Standin/FileContent.h"
#include "Standin/Queries/ConfigurationQueries.h"
#include "Standin/StandinServer.h"

#include <algorithm>
#include <list>

namespace Lavenderloft::Standin {

namespace {

    constexpr std::chrono::milliseconds maximumWatchTime { 60000 };

    struct Watch {
        uint64_t after;
        std::shared_ptr<Http::ResponseStream> stream;
    };

    void respondDocument(const std::shared_ptr<Http::ResponseStream>& stream, const PublishedDocument& document)
    {
        stream->respond({ 200, { { "Content-Type", "application/json" }, { "X-Revision", std::to_string(document.revision) } }, document.text });
    }

} // namespace

class ConfigurationService::Server final : public StandinServer {
public:
    explicit Server(ConfigurationOptions options)
        : StandinServer(options.listen)
        , m_options(std::move(options))
        , m_rateLimiter(m_options.callsPerSecond, m_options.callsPerSecond)
    {
        if (!m_options.file.empty())
            Commands::publishDocument(m_state, readFile(m_options.file));
    }

    ConfigurationState& state() { return m_state; }

    void handleServiceRequest(const RequestPath& path, const Http::HttpRequest& request, const Stream& stream) override
    {
        if (request.method == "GET" && path.startsWith({ "v1", "config", "desired-state" }))
            return read(path, stream);
        respondNotFound(stream, request);
    }

    void publish(std::string text)
    {
        Commands::publishDocument(m_state, std::move(text));
        completeWatches();
    }

    void setDown(bool down)
    {
        Commands::setConfigurationDown(m_state, down);
        if (!down)
            return;
        for (auto& watch : extractWatches([](auto&) { return true; }))
            watch->stream->abort();
    }

    void unfreeze()
    {
        Commands::unfreezeConfiguration(m_state);
        completeWatches();
    }

    size_t pendingWatches() const
    {
        std::lock_guard guard(m_watchLock);
        return m_watches.size();
    }

private:
    void dropPendingResponses() override
    {
        extractWatches([](auto&) { return true; });
    }

    using Watches = std::list<std::shared_ptr<Watch>>;

    void read(const RequestPath& path, const Stream& stream)
    {
        auto after = path.queryNumber("after");
        if (Queries::isConfigurationDown(m_state)) {
            Commands::countCall(m_state, Commands::CallKind::CutOff);
            return stream->abort();
        }
        if (!m_rateLimiter.tryTake(1, m_clock.now())) {
            Commands::countCall(m_state, Commands::CallKind::Limited);
            return respondError(stream, 429, "rate_limited", "rate limit exceeded", "reduce the call rate");
        }
        Commands::countCall(m_state, after ? Commands::CallKind::Watch : Commands::CallKind::Read);
        auto document = Queries::visibleDocument(m_state);
        if (document && (!after || document->revision > *after))
            return respondDocument(stream, *document);
        if (!after)
            return respondError(stream, 404, "no_document", "no desired state has been published", "publish one with PUT /test/desired-state");
        auto wait = std::min(std::chrono::milliseconds(path.queryNumber("waitMs").value_or(0)), maximumWatchTime);
        addWatch(*after, wait, stream);
    }

    void addWatch(uint64_t after, std::chrono::milliseconds wait, const Stream& stream)
    {
        auto watch = std::make_shared<Watch>(Watch { after, stream });
        {
            std::lock_guard guard(m_watchLock);
            m_watches.push_back(watch);
        }
        auto weak = weakFrom(this);
        std::weak_ptr<Watch> weakWatch = watch;
        stream->onDisconnect([weak, weakWatch] {
            if (auto self = weak.lock())
                self->removeWatch(weakWatch.lock());
        });
        timer().runAfter(wait, [weak, weakWatch] {
            auto self = weak.lock();
            auto pending = weakWatch.lock();
            if (self && pending && self->removeWatch(pending))
                respondNoContent(pending->stream);
        });
        // A document may have been published after it was read and before the watch was added.
        completeWatches();
    }

    bool removeWatch(const std::shared_ptr<Watch>& watch)
    {
        return watch && !extractWatches([&](auto& candidate) { return candidate == watch; }).empty();
    }

    template <typename Predicate>
    Watches extractWatches(Predicate predicate)
    {
        Watches extracted;
        std::lock_guard guard(m_watchLock);
        for (auto watch = m_watches.begin(); watch != m_watches.end();) {
            auto next = std::next(watch);
            if (predicate(*watch))
                extracted.splice(extracted.end(), m_watches, watch);
            watch = next;
        }
        return extracted;
    }

    void completeWatches()
    {
        auto document = Queries::visibleDocument(m_state);
        if (!document)
            return;
        for (auto& watch : extractWatches([&](auto& candidate) { return candidate->after < document->revision; }))
            respondDocument(watch->stream, *document);
    }

    void handleTestRequest(const RequestPath& path, const Http::HttpRequest& request, const Stream& stream) override
    {
        auto name = path.segment(1);
        if (name == "counters")
            return respondCounters(stream);
        if (name == "desired-state" && request.method == "PUT") {
            publish(request.body);
            return respondNoContent(stream);
        }
        if (name == "reload" && request.method == "POST")
            return reload(stream);
        if (name == "faults" && request.method == "PUT")
            return setFaults(request.body, stream);
        respondNotFound(stream, request);
    }

    void reload(const Stream& stream)
    {
        try {
            publish(readFile(m_options.file));
        } catch (const std::runtime_error& error) {
            return respondError(stream, 409, "no_file", error.what(), "start the service with --file");
        }
        respondNoContent(stream);
    }

    void setFaults(const std::string& body, const Stream& stream)
    {
        auto faults = parseObject(body);
        if (!faults)
            return respondError(stream, 400, "malformed_body", "the body is not a JSON object", R"(send {"down": true} or {"frozenAt": 3})");
        if (faults->contains("down"))
            setDown((*faults)["down"] == true);
        if (!faults->contains("frozenAt"))
            return respondNoContent(stream);
        auto& revision = (*faults)["frozenAt"];
        if (!revision.is_number_unsigned()) {
            unfreeze();
            return respondNoContent(stream);
        }
        auto frozen = Commands::freezeConfiguration(m_state, revision.get<uint64_t>());
        if (!Base::succeeded(frozen))
            return respondError(stream, 409, "unknown_revision", Base::errorOf(frozen).message, Base::errorOf(frozen).remedy);
        respondNoContent(stream);
    }

    void respondCounters(const Stream& stream)
    {
        auto counters = Queries::configurationCounters(m_state);
        respondJson(stream, 200, { { "reads", counters.reads }, { "watches", counters.watches }, { "limited", counters.limited }, { "cutOff", counters.cutOff }, { "pendingWatches", pendingWatches() } });
    }

    ConfigurationOptions m_options;
    ConfigurationState m_state;
    Base::SystemClock m_clock;
    Base::TokenBucket m_rateLimiter;
    mutable std::mutex m_watchLock;
    Watches m_watches;
};

ConfigurationService::ConfigurationService(ConfigurationOptions options)
    : m_server(std::make_shared<Server>(std::move(options)))
{
    m_server->start();
}

ConfigurationService::~ConfigurationService()
{
    m_server->stop();
}

uint16_t ConfigurationService::port() const
{
    return m_server->port();
}

void ConfigurationService::publish(std::string text)
{
    m_server->publish(std::move(text));
}

bool ConfigurationService::freezeAt(uint64_t revision)
{
    return Base::succeeded(Commands::freezeConfiguration(m_server->state(), revision));
}

void ConfigurationService::unfreeze()
{
    m_server->unfreeze();
}

void ConfigurationService::setDown(bool down)
{
    m_server->setDown(down);
}

ConfigurationCounters ConfigurationService::counters() const
{
    return Queries::configurationCounters(m_server->state());
}

size_t ConfigurationService::pendingWatches() const
{
    return m_server->pendingWatches();
}

} // namespace Lavenderloft::Standin
