// Responses that have no body by their kind (to HEAD, and with status 204), on connections that the client goes on using.

#include "Harness.h"

using namespace Review;

namespace {

std::mutex s_lock;
std::set<std::string> s_runs;

// A service of streams and of bookings. It answers HEAD without a body, and a resume behind the last event with 204, which
// tells a client of an event stream that there is nothing more.
bool serve(Replica& replica, int socket, const Message& request)
{
    if (request.target == "/healthz")
        return Replica::answer(socket, request, 200, "ok", "Lavenderloft-Instance-Id: " + replica.id() + "\r\n");
    auto id = request.header("Lavenderloft-Request-Id");
    {
        std::lock_guard guard(s_lock);
        s_runs.insert(id);
    }
    RECORD("replica %s: runs %s %s, id %s", replica.id().c_str(), request.method.c_str(), request.target.c_str(), id.c_str());
    std::this_thread::sleep_for(20ms);
    auto head = "Lavenderloft-Request-Id: " + id + "\r\nLavenderloft-Response-Seal: seal." + id + "\r\nKeep-Alive: timeout=10\r\n";
    if (!request.target.starts_with("/drafts/"))
        return Replica::answer(socket, request, 200, "booked " + id);
    if (request.method == "HEAD")
        return sendAll(socket, "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\n\r\n");
    if (request.header("Last-Event-Id") == "6")
        return sendAll(socket, "HTTP/1.1 204 No Content\r\n" + head + "\r\n");
    std::string body;
    for (unsigned event = 1; event <= 6; ++event)
        body += "id: " + std::to_string(event) + "\ndata: word\n\n";
    return sendAll(socket, "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

// A client's connection, read byte by byte as HTTP/1.1 says.
class Connection {
public:
    explicit Connection(const std::string& ip)
        : m_socket(connectTo(ip, Deployment::frontPort))
    {
    }

    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { ::close(m_socket); }

    bool isOpen() const { return m_socket >= 0; }

    void send(const std::string& bytes) { sendAll(m_socket, bytes); }

    // The status line and the fields of the next response; empty if the connection ended.
    std::string readHead()
    {
        std::string head;
        char byte = 0;
        while (!head.ends_with("\r\n\r\n")) {
            pollfd wanted { m_socket, POLLIN, 0 };
            if (::poll(&wanted, 1, 2000) <= 0 || ::recv(m_socket, &byte, 1, 0) != 1)
                return {};
            head.push_back(byte);
        }
        return head;
    }

    std::string readBody(size_t size)
    {
        std::string body;
        char byte = 0;
        while (body.size() < size && ::recv(m_socket, &byte, 1, 0) == 1)
            body.push_back(byte);
        return body;
    }

    // What arrives while no request is waiting.
    std::string readUnasked()
    {
        std::string bytes;
        pollfd wanted { m_socket, POLLIN, 0 };
        char byte = 0;
        while (::poll(&wanted, 1, 300) > 0 && ::recv(m_socket, &byte, 1, MSG_PEEK) == 1 && bytes.size() < 1000) {
            ::recv(m_socket, &byte, 1, 0);
            bytes.push_back(byte);
        }
        return bytes;
    }

private:
    int m_socket;
};

std::string printable(std::string text)
{
    std::string shown;
    for (char character : text)
        shown += character == '\r' ? "\\r" : character == '\n' ? "\\n"
                                                               : std::string(1, character);
    return shown;
}

std::string statusLineOf(const std::string& head)
{
    return head.substr(0, head.find("\r\n"));
}

struct Trial {
    const char* name;
    std::string method;
    std::string path;
    std::string fields;
};

} // namespace

int main(int, char** arguments)
{
    Record::instance().open(std::string(arguments[1]) + "/record.txt");
    auto deployment = std::make_unique<Deployment>();
    for (auto* id : { "i-1a", "i-1b", "i-1c" })
        deployment->addReplica({ id, "assistant", "makedonia-a", 16 }, serve);
    deployment->store->put("op/config",
        configurationText(7, { { "assistant.example", "/drafts/", "streaming", "assistant", 6000, 400, 2, ",\"session_affinity\":true,\"resumable\":true,\"gap_aim_ms\":300" }, { "assistant.example", "/bookings/", "unsafe", "assistant" } }));
    if (!deployment->start(1))
        endCase(std::move(deployment), couldNotRun, "COULD NOT RUN: the deployment did not start");
    std::this_thread::sleep_for(2s);
    auto router = deployment->routerIp(0);

    const std::array<Trial, 3> trials { {
        { "HEAD of a stream", "HEAD", "/drafts/", "" },
        { "HEAD on a route that there is not", "HEAD", "/none/", "" },
        { "resume behind the last event, answered 204", "POST", "/drafts/", "Last-Event-Id: 6\r\nContent-Length: 0\r\n" },
    } };
    unsigned stray = 0;
    unsigned unreadable = 0;
    unsigned lostBookings = 0;
    unsigned sent = 0;
    for (unsigned round = 0; round < 4; ++round) {
        for (auto& trial : trials) {
            Connection connection(router);
            if (!connection.isOpen())
                endCase(std::move(deployment), couldNotRun, "COULD NOT RUN: the router accepts no connection");
            auto id = newRequestId();
            ++sent;
            if (hasTrouble()) {
                connection.send(requestHead(trial.method, "assistant.example", trial.path, id, 3000, trial.fields) + "\r\n");
                auto head = connection.readHead();
                RECORD("client: %s, id %s, receives \"%s\"", trial.name, id.c_str(), statusLineOf(head).c_str());
                // The first half of the trials waits for what comes unasked, the other goes on at once.
                auto unasked = round % 2 == 0 ? connection.readUnasked() : std::string();
                if (!unasked.empty()) {
                    ++stray;
                    RECORD("client: while no request is waiting, receives \"%s\"", printable(unasked).c_str());
                    continue;
                }
            }
            auto bookingId = newRequestId();
            connection.send(requestHead("POST", "assistant.example", "/bookings/", bookingId, 1500) + "Content-Length: 4\r\n\r\nbook");
            auto head = connection.readHead();
            auto expected = "booked " + bookingId;
            bool isAnswer = head.starts_with("HTTP/1.1 200 ");
            auto body = isAnswer ? connection.readBody(expected.size()) : std::string();
            RECORD("client: booking id %s on the same connection receives \"%s\", body \"%s\"", bookingId.c_str(), printable(statusLineOf(head)).c_str(), body.c_str());
            if (isAnswer && body == expected)
                continue;
            ++unreadable;
            std::this_thread::sleep_for(100ms);
            std::lock_guard guard(s_lock);
            lostBookings += s_runs.contains(bookingId);
        }
    }
    auto verdict = "of " + std::to_string(sent) + " connections, " + std::to_string(stray) + " got bytes while no request was waiting, " + std::to_string(unreadable) + " got bytes that are no answer in the place of the next answer (" + std::to_string(lostBookings) + " bookings that had run)";
    bool isBroken = stray + unreadable > 0;
    endCase(std::move(deployment), isBroken ? broken : held, (isBroken ? "BROKEN MIXED: " : "HELD: ") + verdict);
}
