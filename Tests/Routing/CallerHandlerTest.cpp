#include "Process/CallerHandler.h"
#include "Routing/RoutingFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Routing;

namespace {

// A control plane that synchronises between two queries of a request, as it does after a pause of the process.
class ResumingControl final : public Process::ControlView {
public:
    explicit ResumingControl(DesiredState::Document newer)
        : m_document(std::make_shared<DesiredState::Document>())
        , m_newer(std::make_shared<DesiredState::Document>(std::move(newer)))
    {
    }

    std::shared_ptr<const DesiredState::Document> document() const override { return m_document; }

    bool isSynchronised() const override
    {
        m_document = m_newer;
        return true;
    }

    std::vector<Membership::Member> members() const override { return {}; }
    Membership::Member self() const override { return {}; }
    void publish(const Membership::TargetLoad&, const std::vector<Membership::Replica>&) override { }
    void publishLeaving() override { }
    void onChange(std::function<void()>) override { }

private:
    mutable std::shared_ptr<const DesiredState::Document> m_document;
    std::shared_ptr<const DesiredState::Document> m_newer;
};

// Keeps the status of a response.
class StatusStream final : public Http::ResponseStream {
public:
    std::optional<unsigned> status;

    void respond(Http::HttpResponse response) override { status = response.status; }
    void start(unsigned started, Http::HttpHeaders) override { status = started; }
    void write(std::string, WriteCallback callback) override { callback(true); }
    void finish() override { }
    void abort() override { }
    void onDisconnect(std::function<void()>) override { }
};

} // namespace

// Guards against a request that is denied by an outdated document after a pause: the router read the document first, and
// whether it had synchronised since its last pause afterwards.
Test(CallerHandler, deniesNothingByADocumentFromBeforeAPause)
{
    RoutingFixture fixture;
    DesiredState::Route route;
    route.path = "/p";
    route.destination = "pool";
    fixture.document.routes = { route };
    ResumingControl control(fixture.document);
    Process::CallerHandler handler(fixture.context, control);
    auto stream = std::make_shared<StatusStream>();
    Http::HttpRequest request;
    request.method = "POST";
    request.target = "/p";
    request.headers = { { "X-Organisation", "school-1" } };
    handler.handle(std::move(request), stream);
    cr_expect_neq(stream->status.value_or(0), 404);
}
