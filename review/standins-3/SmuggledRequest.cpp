// A client sends one POST whose body is announced by a transfer coding that is neither a length nor chunks. The body of that
// request holds the text of another request.

#include "Harness.h"

using namespace Review;

namespace {

struct Run {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
};

std::mutex s_lock;
std::vector<Run> s_runs;

bool work(Replica& replica, int socket, const Message& request)
{
    if (request.target == "/healthz")
        return Replica::answer(socket, request, 200, "ok", "Lavenderloft-Instance-Id: " + replica.id() + "\r\n");
    auto id = request.header("Lavenderloft-Request-Id");
    {
        std::lock_guard guard(s_lock);
        s_runs.push_back({ id, request.method, request.target, request.body });
    }
    RECORD("replica %s: runs %s %s, id %s, %zu bytes of body", replica.id().c_str(), request.method.c_str(), request.target.c_str(), id.c_str(), request.body.size());
    std::this_thread::sleep_for(30ms);
    return Replica::answer(socket, request, 200, "booked " + id);
}

} // namespace

int main(int, char** arguments)
{
    Record::instance().open(std::string(arguments[1]) + "/record.txt");
    auto deployment = std::make_unique<Deployment>();
    for (auto* id : { "i-1a", "i-1b", "i-1c" })
        deployment->addReplica({ id, "loan-ledger", "makedonia-a", 6 }, work);
    deployment->store->put("op/config", configurationText(7, { { "ledger.example", "/bookings/", "unsafe", "loan-ledger" } }));
    if (!deployment->start(1))
        endCase(std::move(deployment), couldNotRun, "COULD NOT RUN: the deployment did not start");
    std::this_thread::sleep_for(2s);

    // By id, what the clients sent.
    std::map<std::string, std::string> sent;
    for (unsigned i = 0; i < 10; ++i) {
        auto id = newRequestId();
        sent[id] = "instrument=" + std::to_string(i);
        auto response = attempt(deployment->routerIp(0), "POST", "ledger.example", "/bookings/", id, sent[id], 1500);
        RECORD("client: id %s, %zu bytes of body, answered %d", id.c_str(), sent[id].size(), response ? response->status : 0);
        std::this_thread::sleep_for(50ms);
    }

    // The text of a request as a part of another one's body: data that the client means to store.
    auto innerId = std::string("5afe5afe5afe5afe");
    auto inner = requestHead("POST", "ledger.example", "/bookings/inner", innerId, 1500) + "Content-Length: 12\r\n\r\nviolin=twice";
    const char* coding = "chunked, identity";
    for (unsigned i = 0; i < 5; ++i) {
        auto id = newRequestId();
        sent[id] = inner;
        auto framing = hasTrouble() ? "Transfer-Encoding: " + std::string(coding) + "\r\n" : "Content-Length: " + std::to_string(inner.size()) + "\r\n";
        int socket = connectTo(deployment->routerIp(0), Deployment::frontPort);
        if (socket < 0)
            endCase(std::move(deployment), couldNotRun, "COULD NOT RUN: the router accepts no connection");
        RECORD("client: sends id %s, framed by \"%s\", %zu bytes after the head", id.c_str(), framing.substr(0, framing.size() - 2).c_str(), inner.size());
        sendAll(socket, requestHead("POST", "ledger.example", "/bookings/", id, 1500) + framing + "\r\n" + inner);
        Reader reader(socket);
        while (auto response = reader.read(true, Clock::now() + 1s))
            RECORD("client: id %s, receives %d for id %s", id.c_str(), response->status, response->header("Lavenderloft-Request-Id").c_str());
        ::close(socket);
    }
    std::this_thread::sleep_for(500ms);

    unsigned smuggled = 0;
    unsigned changed = 0;
    std::lock_guard guard(s_lock);
    for (auto& run : s_runs) {
        auto known = sent.find(run.id);
        if (known == sent.end())
            ++smuggled;
        else if (known->second != run.body)
            ++changed;
    }
    auto verdict = std::to_string(smuggled) + " runs of a request that stood inside another one, " + std::to_string(changed) + " runs with a changed body";
    bool isBroken = smuggled + changed > 0;
    endCase(std::move(deployment), isBroken ? broken : held, (isBroken ? "BROKEN UNASKED: " : "HELD: ") + verdict);
}
