#include "Standin/ConfigurationService.h"

#include "Base/SystemClock.h"
#include "Base/TokenBucket.h"
#include "Standin/Commands/ConfigurationCommands.h"
#include "Standin/FileContent.h"
#include "Standin/Queries/ConfigurationQueries.h"
#include "Standin/StandinFront.h"

#include <algorithm>
#include <list>

namespace Lavenderloft::Standin {

namespace {

    constexpr std::chrono::milliseconds maximumWait { 60000 };

    struct Watch {
        uint64_t after;
        std::shared_ptr<Http::ResponseStream> stream;
    };

    void respondDocument(const std::shared_ptr<Http::ResponseStream>& stream, const PublishedDocument& document)
    {
        stream->respond({ 200, { { "Content-Type", "application/json" }, { "X-Revision", std::to_string(document.revision) } }, document.text });
    }

} // namespace

class ConfigurationService::Front final : public StandinFront {
public:
    explicit Front(ConfigurationOptions options)
        : StandinFront(options.listen)
        , m_options(std::move(options))
        , m_calls(m_options.callsPerSecond, m_options.callsPerSecond)
    {
        if (!m_options.file.empty())
            Commands::publishDocument(m_state, readFile(m_options.file));
    }

    ConfigurationState& state() { return m_state; }

    void serve(const RequestPath& path, const Http::HttpRequest& request, const Stream& stream) override
    {
        if (request.method == "GET" && path.startsWith({ "v1", "config", "desired-state" }))
            return read(path, stream);
        respondNotFound(stream, request);
    }

    void publish(std::string text)
    {
        Commands::publishDocument(m_state, std::move(text));
        answerWatches();
    }

    void setDown(bool down)
    {
        Commands::setConfigurationDown(m_state, down);
        if (!down)
            return;
        for (auto& watch : takeWatches([](auto&) { return true; }))
            watch->stream->abort();
    }

    void unfreeze()
    {
        Commands::unfreezeConfiguration(m_state);
        answerWatches();
    }

    size_t pendingWatches() const
    {
        std::lock_guard guard(m_watchLock);
        return m_watches.size();
    }

private:
    void dropWaiting() override
    {
        takeWatches([](auto&) { return true; });
    }

    using Watches = std::list<std::shared_ptr<Watch>>;

    void read(const RequestPath& path, const Stream& stream)
    {
        auto after = path.queryNumber("after");
        if (Queries::isConfigurationDown(m_state)) {
            Commands::countCall(m_state, Commands::CallKind::CutOff);
            return stream->abort();
        }
        if (!m_calls.tryTake(1, m_clock.now())) {
            Commands::countCall(m_state, Commands::CallKind::Limited);
            return respondError(stream, 429, "rate_limited", "more calls a second than the service allows", "call less often");
        }
        Commands::countCall(m_state, after ? Commands::CallKind::Watch : Commands::CallKind::Read);
        auto document = Queries::visibleDocument(m_state);
        if (document && (!after || document->revision > *after))
            return respondDocument(stream, *document);
        if (!after)
            return respondError(stream, 404, "no_document", "no desired state was published", "publish one with PUT /test/desired-state");
        auto wait = std::min(std::chrono::milliseconds(path.queryNumber("waitMs").value_or(0)), maximumWait);
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
            auto due = weakWatch.lock();
            if (self && due && self->removeWatch(due))
                respondDone(due->stream);
        });
        // A document may have been published between the look and the entry in the list.
        answerWatches();
    }

    bool removeWatch(const std::shared_ptr<Watch>& watch)
    {
        return watch && !takeWatches([&](auto& candidate) { return candidate == watch; }).empty();
    }

    template <typename Predicate>
    Watches takeWatches(Predicate predicate)
    {
        Watches taken;
        std::lock_guard guard(m_watchLock);
        for (auto watch = m_watches.begin(); watch != m_watches.end();) {
            auto next = std::next(watch);
            if (predicate(*watch))
                taken.splice(taken.end(), m_watches, watch);
            watch = next;
        }
        return taken;
    }

    void answerWatches()
    {
        auto document = Queries::visibleDocument(m_state);
        if (!document)
            return;
        for (auto& watch : takeWatches([&](auto& candidate) { return candidate->after < document->revision; }))
            respondDocument(watch->stream, *document);
    }

    void control(const RequestPath& path, const Http::HttpRequest& request, const Stream& stream) override
    {
        auto name = path.segment(1);
        if (name == "counters")
            return respondCounters(stream);
        if (name == "desired-state" && request.method == "PUT") {
            publish(request.body);
            return respondDone(stream);
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
        respondDone(stream);
    }

    void setFaults(const std::string& body, const Stream& stream)
    {
        auto faults = parseObject(body);
        if (!faults)
            return respondError(stream, 400, "malformed_body", "the body is not a JSON object", R"(send {"down": true} or {"frozenAt": 3})");
        if (faults->contains("down"))
            setDown((*faults)["down"] == true);
        if (!faults->contains("frozenAt"))
            return respondDone(stream);
        auto& revision = (*faults)["frozenAt"];
        if (!revision.is_number_unsigned()) {
            unfreeze();
            return respondDone(stream);
        }
        auto frozen = Commands::freezeConfiguration(m_state, revision.get<uint64_t>());
        if (!Base::succeeded(frozen))
            return respondError(stream, 409, "unknown_revision", Base::errorOf(frozen).message, Base::errorOf(frozen).remedy);
        respondDone(stream);
    }

    void respondCounters(const Stream& stream)
    {
        auto counters = Queries::configurationCounters(m_state);
        respondJson(stream, 200, { { "reads", counters.reads }, { "watches", counters.watches }, { "limited", counters.limited }, { "cutOff", counters.cutOff }, { "pendingWatches", pendingWatches() } });
    }

    ConfigurationOptions m_options;
    ConfigurationState m_state;
    Base::SystemClock m_clock;
    Base::TokenBucket m_calls;
    mutable std::mutex m_watchLock;
    Watches m_watches;
};

ConfigurationService::ConfigurationService(ConfigurationOptions options)
    : m_front(std::make_shared<Front>(std::move(options)))
{
    m_front->start();
}

ConfigurationService::~ConfigurationService()
{
    m_front->stop();
}

uint16_t ConfigurationService::port() const
{
    return m_front->port();
}

void ConfigurationService::publish(std::string text)
{
    m_front->publish(std::move(text));
}

bool ConfigurationService::freezeAt(uint64_t revision)
{
    return Base::succeeded(Commands::freezeConfiguration(m_front->state(), revision));
}

void ConfigurationService::unfreeze()
{
    m_front->unfreeze();
}

void ConfigurationService::setDown(bool down)
{
    m_front->setDown(down);
}

ConfigurationCounters ConfigurationService::counters() const
{
    return Queries::configurationCounters(m_front->state());
}

size_t ConfigurationService::pendingWatches() const
{
    return m_front->pendingWatches();
}

} // namespace Lavenderloft::Standin
