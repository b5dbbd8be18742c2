#include "Standin/VmList.h"

#include "Base/SystemClock.h"
#include "Standin/Commands/VmListCommands.h"
#include "Standin/FileContent.h"
#include "Standin/Queries/VmListQueries.h"
#include "Standin/StandinServer.h"

#include <stdexcept>

namespace Lavenderloft::Standin {

namespace {

    nlohmann::json toJson(const std::vector<VmEntry>& entries)
    {
        auto vms = nlohmann::json::array();
        for (auto& vm : entries)
            vms.push_back({ { "name", vm.name }, { "address", vm.address }, { "dataCentre", vm.dataCentre }, { "region", vm.region }, { "role", vm.role }, { "state", vm.state } });
        return { { "vms", vms } };
    }

    std::vector<VmEntry> fromJson(const nlohmann::json& list)
    {
        std::vector<VmEntry> entries;
        for (auto& vm : list.at("vms"))
            entries.push_back({ vm.at("name"), vm.at("address"), vm.at("dataCentre"), vm.at("region"), vm.at("role"), vm.at("state") });
        return entries;
    }

} // namespace

class VmList::Server final : public StandinServer {
public:
    explicit Server(VmListOptions options)
        : StandinServer(options.listen)
        , m_options(std::move(options))
    {
        Commands::setVmListLag(m_state, m_options.lag);
        if (!m_options.file.empty())
            Commands::replaceVms(m_state, readEntries(m_options.file), m_clock.now());
    }

    VmListState& state() { return m_state; }

    void replace(std::vector<VmEntry> entries) { Commands::replaceVms(m_state, std::move(entries), m_clock.now()); }

    Base::Result<Base::Done, Commands::VmListError> setState(const std::string& name, const std::string& state)
    {
        return Commands::setVmState(m_state, name, state, m_clock.now());
    }

    void handleServiceRequest(const RequestPath& path, const Http::HttpRequest& request, const Stream& stream) override
    {
        if (Queries::isVmListDown(m_state))
            return stream->abort();
        if (request.method == "GET" && path.startsWith({ "v1", "vms" }))
            return respondJson(stream, 200, toJson(Queries::visibleVms(m_state, m_clock.now())));
        respondNotFound(stream, request);
    }

private:
    static std::vector<VmEntry> readEntries(const std::string& file)
    {
        try {
            return fromJson(nlohmann::json::parse(readFile(file)));
        } catch (const nlohmann::json::exception& error) {
            throw std::runtime_error("file \"" + file + "\" is not a list of VMs: " + error.what());
        }
    }

    void handleTestRequest(const RequestPath& path, const Http::HttpRequest& request, const Stream& stream) override
    {
        auto body = parseObject(request.body);
        if (request.method != "PUT" || !body)
            return respondNotFound(stream, request);
        if (path.segments.size() == 2 && path.segment(1) == "vms") {
            replace(fromJson(*body));
            return respondNoContent(stream);
        }
        if (path.segments.size() == 3 && path.segment(1) == "vms")
            return changeState(path.segment(2), body->at("state"), stream);
        if (path.segment(1) == "faults")
            return setFaults(*body, stream);
        respondNotFound(stream, request);
    }

    void changeState(const std::string& name, const std::string& state, const Stream& stream)
    {
        auto changed = setState(name, state);
        if (!Base::succeeded(changed))
            return respondError(stream, 404, "unknown_vm", Base::errorOf(changed).message, Base::errorOf(changed).remedy);
        respondNoContent(stream);
    }

    void setFaults(const nlohmann::json& body, const Stream& stream)
    {
        if (body.contains("down"))
            Commands::setVmListDown(m_state, body.at("down"));
        if (body.contains("lagMs"))
            Commands::setVmListLag(m_state, std::chrono::milliseconds(body.at("lagMs").get<uint32_t>()));
        respondNoContent(stream);
    }

    VmListOptions m_options;
    VmListState m_state;
    Base::SystemClock m_clock;
};

VmList::VmList(VmListOptions options)
    : m_server(std::make_shared<Server>(std::move(options)))
{
    m_server->start();
}

VmList::~VmList()
{
    m_server->stop();
}

uint16_t VmList::port() const
{
    return m_server->port();
}

void VmList::replace(std::vector<VmEntry> entries)
{
    m_server->replace(std::move(entries));
}

bool VmList::setState(const std::string& name, const std::string& state)
{
    return Base::succeeded(m_server->setState(name, state));
}

void VmList::setLag(std::chrono::milliseconds lag)
{
    Commands::setVmListLag(m_server->state(), lag);
}

void VmList::setDown(bool down)
{
    Commands::setVmListDown(m_server->state(), down);
}

} // namespace Lavenderloft::Standin
