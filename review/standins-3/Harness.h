#pragma once

// Stand-ins for the review: the platform's store, replicas, clients, and the processes under test. Everything runs on
// loopback addresses and on the real clock, with one thread for each connection.

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

inline Clock::time_point startOfCase = Clock::now();

inline double secondsNow()
{
    return std::chrono::duration<double>(Clock::now() - startOfCase).count();
}

inline void sleepUntil(double second)
{
    std::this_thread::sleep_until(startOfCase + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(second)));
}

inline uint64_t unixMilliseconds()
{
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// What was sent, answered and run.
class Record {
public:
    static Record& instance()
    {
        static Record record;
        return record;
    }

    void open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }

    void write(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard guard(m_lock);
        if (!m_file)
            return;
        std::fprintf(m_file, "%8.3f  ", secondsNow());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_lock;
    std::FILE* m_file = nullptr;
};

#define RECORD(...) ::Review::Record::instance().write(__VA_ARGS__)

inline sockaddr_in socketAddress(const std::string& ip, uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenAt(const std::string& ip, uint16_t port)
{
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = socketAddress(ip, port);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(listener, 256) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

inline int connectTo(const std::string& ip, uint16_t port)
{
    int client = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = socketAddress(ip, port);
    if (::connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(client);
        return -1;
    }
    int on = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return client;
}

inline bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        auto count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(count));
    }
    return true;
}

inline std::string lowerCase(std::string text)
{
    for (auto& character : text)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    return text;
}

struct Message {
    // Method and target of a request, or the status of a response.
    std::string method;
    std::string target;
    int status = 0;
    // By lower-case name.
    std::map<std::string, std::string> headers;
    std::string body;
    // The body ended as its framing says.
    bool isWhole = false;

    std::string header(const std::string& name) const
    {
        auto found = headers.find(lowerCase(name));
        return found == headers.end() ? std::string() : found->second;
    }
};

// Reads messages from a socket, one after the other.
class Reader {
public:
    explicit Reader(int socket)
        : m_socket(socket)
    {
    }

    // Nothing if the connection ended, or nothing came before the deadline.
    std::optional<Message> read(bool isResponse, Clock::time_point deadline = Clock::time_point::max())
    {
        size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(deadline))
                return std::nullopt;
        }
        Message message = parseHead(m_bytes.substr(0, end), isResponse);
        m_bytes.erase(0, end + 4);
        readBody(message, isResponse, deadline);
        return message;
    }

private:
    bool receive(Clock::time_point deadline)
    {
        int timeout = -1;
        if (deadline != Clock::time_point::max()) {
            auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
            timeout = left > 0 ? static_cast<int>(left) : 0;
        }
        pollfd wanted { m_socket, POLLIN, 0 };
        if (::poll(&wanted, 1, timeout) <= 0)
            return false;
        std::array<char, 65536> buffer;
        auto count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return false;
        m_bytes.append(buffer.data(), static_cast<size_t>(count));
        return true;
    }

    static Message parseHead(const std::string& head, bool isResponse)
    {
        Message message;
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, line);
        std::istringstream words(line);
        if (isResponse) {
            std::string version;
            words >> version >> message.status;
        } else {
            words >> message.method >> message.target;
        }
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            while (!value.empty() && value.front() == ' ')
                value.erase(0, 1);
            message.headers[lowerCase(line.substr(0, colon))] = value;
        }
        return message;
    }

    bool take(std::string& target, size_t count, Clock::time_point deadline)
    {
        while (m_bytes.size() < count) {
            if (!receive(deadline))
                return false;
        }
        target.append(m_bytes, 0, count);
        m_bytes.erase(0, count);
        return true;
    }

    std::optional<std::string> takeLine(Clock::time_point deadline)
    {
        size_t end = 0;
        while ((end = m_bytes.find("\r\n")) == std::string::npos) {
            if (!receive(deadline))
                return std::nullopt;
        }
        auto line = m_bytes.substr(0, end);
        m_bytes.erase(0, end + 2);
        return line;
    }

    void readBody(Message& message, bool isResponse, Clock::time_point deadline)
    {
        if (lowerCase(message.header("Transfer-Encoding")) == "chunked") {
            while (true) {
                auto line = takeLine(deadline);
                if (!line)
                    return;
                auto size = std::strtoul(line->c_str(), nullptr, 16);
                if (size > 0 && !take(message.body, size, deadline))
                    return;
                if (!takeLine(deadline))
                    return;
                if (size == 0)
                    break;
            }
            message.isWhole = true;
            return;
        }
        auto length = message.header("Content-Length");
        if (!length.empty()) {
            message.isWhole = take(message.body, std::strtoul(length.c_str(), nullptr, 10), deadline);
            return;
        }
        if (isResponse && message.status != 204 && message.status != 304 && message.status >= 200) {
            while (receive(deadline)) { }
            message.body = std::exchange(m_bytes, {});
        }
        message.isWhole = true;
    }

    int m_socket;
    std::string m_bytes;
};

// Accepts connections at an address, each served on a thread of its own. Can be taken down, which resets all connections and
// refuses new ones, and brought up again at the same address.
class Server {
public:
    // Returns false to close the connection.
    using Handler = std::function<bool(int socket, const Message&)>;

    Server(std::string ip, uint16_t port, Handler handler)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_handler(std::move(handler))
    {
    }

    ~Server() { takeDown(); }

    bool bringUp()
    {
        std::lock_guard guard(m_lock);
        m_listener = listenAt(m_ip, m_port);
        if (m_listener < 0)
            return false;
        m_isUp = true;
        auto generation = ++m_generation;
        m_threads.emplace_back([this, listener = m_listener, generation] { accept(listener, generation); });
        return true;
    }

    // Ends as a process does that crashes: the listener is closed and all connections are reset.
    void takeDown()
    {
        std::lock_guard guard(m_lock);
        if (!m_isUp)
            return;
        m_isUp = false;
        ++m_generation;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        // Disconnecting a socket resets its connection at once.
        sockaddr none {};
        none.sa_family = AF_UNSPEC;
        for (int socket : m_connections)
            ::connect(socket, &none, sizeof(none));
    }

    bool isUp() const { return m_isUp; }
    const std::string& ip() const { return m_ip; }
    uint16_t port() const { return m_port; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }

private:
    void accept(int listener, unsigned generation)
    {
        while (true) {
            int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            std::lock_guard guard(m_lock);
            if (generation != m_generation) {
                ::close(socket);
                return;
            }
            m_connections.insert(socket);
            std::thread([this, socket, generation] { serve(socket, generation); }).detach();
        }
    }

    void serve(int socket, unsigned generation)
    {
        int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        Reader reader(socket);
        while (auto message = reader.read(false)) {
            if (generation != m_generation || !m_handler(socket, *message) || generation != m_generation)
                break;
        }
        std::lock_guard guard(m_lock);
        m_connections.erase(socket);
        ::close(socket);
    }

    std::string m_ip;
    uint16_t m_port;
    Handler m_handler;
    std::mutex m_lock;
    int m_listener = -1;
    std::atomic<bool> m_isUp { false };
    std::atomic<unsigned> m_generation { 0 };
    std::set<int> m_connections;
    // Never joined: the program ends by _exit.
    std::vector<std::thread> m_threads;
};

inline std::string encodeBase64(const std::string& bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = static_cast<unsigned char>(bytes[i]) << 16;
        if (i + 1 < bytes.size())
            group |= static_cast<unsigned>(static_cast<unsigned char>(bytes[i + 1])) << 8;
        if (i + 2 < bytes.size())
            group |= static_cast<unsigned char>(bytes[i + 2]);
        text.push_back(digits[group >> 18]);
        text.push_back(digits[(group >> 12) & 63]);
        text.push_back(i + 1 < bytes.size() ? digits[(group >> 6) & 63] : '=');
        text.push_back(i + 2 < bytes.size() ? digits[group & 63] : '=');
    }
    return text;
}

// The platform's store. Entries of replicas are leased: they are removed after three heartbeat intervals of silence.
class Store {
public:
    static constexpr std::chrono::milliseconds heartbeat { 1200 };

    Store(std::string ip, uint16_t port)
        : m_server(std::move(ip), port, [this](int socket, const Message& request) { return respond(socket, request); })
    {
    }

    bool start()
    {
        std::thread([this] { expire(); }).detach();
        return m_server.bringUp();
    }

    std::string address() const { return m_server.address(); }

    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard guard(m_lock);
        write(key, value, false);
    }

    void remove(const std::string& key)
    {
        std::lock_guard guard(m_lock);
        if (m_items.contains(key) && !m_items[key].deleted)
            write(key, {}, true);
    }

    // A heartbeat of a replica.
    void beat(const std::string& key, const std::string& value)
    {
        std::lock_guard guard(m_lock);
        m_leases[key] = Clock::now() + 3 * heartbeat;
        auto known = m_items.find(key);
        if (known == m_items.end() || known->second.deleted || known->second.value != value) {
            RECORD("store: %s is written", key.c_str());
            write(key, value, false);
        }
    }

    // The store is down without a sign, from the next watch on: it answers nothing, and connections on which an answer is lost
    // return nothing any more. Returns when it began.
    double fallSilentAtWatch()
    {
        std::unique_lock guard(m_lock);
        m_isSilenceDue = true;
        m_changed.wait(guard, [this] { return m_isSilent; });
        return secondsNow();
    }

    // The store is up again, on new connections.
    void endSilence()
    {
        std::lock_guard guard(m_lock);
        m_isSilent = false;
    }

    bool has(const std::string& key)
    {
        std::lock_guard guard(m_lock);
        auto known = m_items.find(key);
        return known != m_items.end() && !known->second.deleted;
    }

private:
    struct Item {
        uint64_t revision = 0;
        uint64_t createRevision = 0;
        std::string value;
        bool deleted = false;
    };

    void write(const std::string& key, const std::string& value, bool deleted)
    {
        auto& item = m_items[key];
        ++m_revision;
        if (item.revision == 0 || item.deleted)
            item.createRevision = m_revision;
        item.revision = m_revision;
        item.value = value;
        item.deleted = deleted;
        m_changed.notify_all();
    }

    void expire()
    {
        while (true) {
            std::this_thread::sleep_for(50ms);
            std::lock_guard guard(m_lock);
            for (auto lease = m_leases.begin(); lease != m_leases.end();) {
                if (lease->second > Clock::now()) {
                    ++lease;
                    continue;
                }
                RECORD("store: %s is removed after three heartbeats of silence", lease->first.c_str());
                write(lease->first, {}, true);
                lease = m_leases.erase(lease);
            }
        }
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        auto start = target.find_first_of('?');
        while (start != std::string::npos) {
            ++start;
            auto end = std::min(target.find('&', start), target.size());
            auto pair = target.substr(start, end - start);
            if (pair.starts_with(name + "="))
                return pair.substr(name.size() + 1);
            start = end < target.size() ? end : std::string::npos;
        }
        return {};
    }

    std::string describe(const std::string& key, const Item& item) const
    {
        auto text = "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision);
        if (item.deleted)
            return text + ",\"deleted\":true}";
        return text + ",\"create_revision\":" + std::to_string(item.createRevision) + ",\"lease\":0,\"value\":\"" + encodeBase64(item.value) + "\"}";
    }

    std::string listing(const std::string& prefix) const
    {
        std::string items;
        for (auto& [key, item] : m_items) {
            if (!item.deleted && key.starts_with(prefix))
                items += (items.empty() ? "" : ",") + describe(key, item);
        }
        return "{\"items\":[" + items + "],\"more_pages\":false,\"as_of\":" + std::to_string(m_revision) + "}";
    }

    std::string changesAfter(const std::string& prefix, uint64_t revision) const
    {
        std::map<uint64_t, std::string> changes;
        for (auto& [key, item] : m_items) {
            if (item.revision > revision && key.starts_with(prefix))
                changes[item.revision] = describe(key, item);
        }
        if (changes.empty())
            return {};
        std::string events;
        for (auto& change : changes)
            events += (events.empty() ? "" : ",") + change.second;
        return "{\"events\":[" + events + "],\"as_of\":" + std::to_string(m_revision) + "}";
    }

    static bool waitForClose(int socket)
    {
        char byte = 0;
        while (::recv(socket, &byte, 1, 0) == 1) { }
        return false;
    }

    bool respond(int socket, const Message& request)
    {
        std::string body;
        int status = 200;
        auto prefix = parameter(request.target, "prefix");
        std::unique_lock guard(m_lock);
        if (m_isSilenceDue && request.target.starts_with("/api/kv-watch")) {
            m_isSilenceDue = false;
            m_isSilent = true;
            m_changed.notify_all();
        }
        if (m_isSilent) {
            guard.unlock();
            return waitForClose(socket);
        }
        if (request.target.starts_with("/api/kv-range")) {
            body = listing(prefix);
        } else if (request.target.starts_with("/api/kv-watch")) {
            auto after = std::strtoull(parameter(request.target, "after").c_str(), nullptr, 10);
            auto until = Clock::now() + std::chrono::milliseconds(std::strtoul(parameter(request.target, "wait_ms").c_str(), nullptr, 10));
            body = changesAfter(prefix, after);
            while (body.empty() && !m_isSilent && m_changed.wait_until(guard, until) != std::cv_status::timeout)
                body = changesAfter(prefix, after);
            if (m_isSilent) {
                guard.unlock();
                return waitForClose(socket);
            }
            if (body.empty())
                body = "{\"events\":[],\"as_of\":" + std::to_string(m_revision) + "}";
        } else {
            status = 404;
        }
        guard.unlock();
        std::this_thread::sleep_for(4ms);
        return sendAll(socket, "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::mutex m_lock;
    std::condition_variable m_changed;
    uint64_t m_revision = 100;
    std::map<std::string, Item> m_items;
    std::map<std::string, Clock::time_point> m_leases;
    bool m_isSilenceDue = false;
    bool m_isSilent = false;
    Server m_server;
};

// A replica of a service, which registers in the store. What it does with a request is up to the case.
class Replica {
public:
    struct Description {
        std::string id;
        std::string service;
        std::string zone;
        unsigned slots = 6;
    };
    // Returns false to close the connection.
    using Handler = std::function<bool(Replica&, int socket, const Message&)>;

    Replica(Store& store, Description description, const std::string& ip, uint16_t port, Handler handler)
        : m_store(store)
        , m_description(std::move(description))
        , m_handler(std::move(handler))
        , m_server(ip, port, [this](int socket, const Message& request) { return respond(socket, request); })
    {
    }

    bool start()
    {
        m_born = unixMilliseconds();
        if (!m_server.bringUp())
            return false;
        m_reachesStore = true;
        beat();
        std::thread([this] { sendHeartbeats(); }).detach();
        return true;
    }

    // Ends at once and starts again after the given time, as a new incarnation. With an empty id, under the id that it had.
    void crash(std::chrono::milliseconds downTime, const std::string& newId)
    {
        std::thread([this, downTime, newId] {
            m_server.takeDown();
            std::this_thread::sleep_for(downTime);
            {
                std::lock_guard guard(m_lock);
                m_born = unixMilliseconds();
                if (!newId.empty())
                    m_description.id = newId;
            }
            while (!m_server.bringUp())
                std::this_thread::sleep_for(20ms);
            RECORD("replica %s: started at %s", id().c_str(), m_server.address().c_str());
            beat();
        }).detach();
    }

    std::string id()
    {
        std::lock_guard guard(m_lock);
        return m_description.id;
    }

    bool isUp() const { return m_server.isUp(); }

    // How long the replica stays cold, as its entry says from the next heartbeat on.
    void setCold(std::chrono::milliseconds remaining) { m_coldRemaining = remaining.count(); }

    // A partition from the store: heartbeats don't arrive.
    void setReachesStore(bool reaches)
    {
        m_reachesStore = reaches;
        if (reaches)
            beat();
    }

    // Writes the entry of the replica.
    void beat()
    {
        std::string key;
        std::string value;
        {
            std::lock_guard guard(m_lock);
            key = "servers/" + m_description.id;
            value = "{\"service\":\"" + m_description.service + "\",\"address\":\"" + m_server.address() + "\",\"zone\":\"" + m_description.zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_description.slots)
                + ",\"state\":\"ready\",\"cold_remaining_ms\":" + std::to_string(m_coldRemaining) + ",\"born\":" + std::to_string(m_born) + "}";
        }
        if (m_server.isUp() && m_reachesStore)
            m_store.beat(key, value);
    }

    // Answers with a body of the replica, signed, on a connection that is kept.
    static bool answer(int socket, const Message& request, unsigned status, const std::string& body, const std::string& fields = {})
    {
        auto id = request.header("Lavenderloft-Request-Id");
        return sendAll(socket, "HTTP/1.1 " + std::to_string(status) + " X\r\nLavenderloft-Request-Id: " + id + "\r\nLavenderloft-Response-Seal: seal." + id + "\r\n" + fields + "Keep-Alive: timeout=10\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    // Refuses a request that it has not run.
    static bool refuse(int socket, const Message& request, unsigned status, const std::string& fields = {})
    {
        return sendAll(socket, "HTTP/1.1 " + std::to_string(status) + " X\r\nLavenderloft-Request-Id: " + request.header("Lavenderloft-Request-Id") + "\r\nLavenderloft-Not-Executed: 1\r\n" + fields + "Keep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n");
    }

private:
    bool respond(int socket, const Message& request)
    {
        auto expected = request.header("Lavenderloft-Expect-Instance");
        if (!expected.empty() && expected != id())
            return refuse(socket, request, 421, "Lavenderloft-Instance-Id: " + id() + "\r\n");
        return m_handler(*this, socket, request);
    }

    void sendHeartbeats()
    {
        while (true) {
            std::this_thread::sleep_for(Store::heartbeat);
            beat();
        }
    }

    Store& m_store;
    std::mutex m_lock;
    Description m_description;
    uint64_t m_born = 0;
    std::atomic<long> m_coldRemaining { 0 };
    std::atomic<bool> m_reachesStore { true };
    Handler m_handler;
    Server m_server;
};

// A process of the program under test, started as the deploy file says.
class Node {
public:
    Node(std::string program, std::string command, std::string settings, std::string log)
        : m_program(std::move(program))
        , m_command(std::move(command))
        , m_settings(std::move(settings))
        , m_log(std::move(log))
    {
    }

    ~Node() { kill(); }

    void start()
    {
        auto parent = ::getpid();
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(127);
        int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("LAVENDERLOFT_SETTINGS", m_settings.c_str(), 1);
        ::execl(m_program.c_str(), "lavenderloft", m_command.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    // Waits for the end of the process. Returns whether it has ended.
    bool waitForEnd(std::chrono::milliseconds timeout)
    {
        auto until = Clock::now() + timeout;
        while (m_pid > 0 && Clock::now() < until) {
            if (::waitpid(m_pid, &m_status, WNOHANG) == m_pid)
                m_pid = -1;
            else
                std::this_thread::sleep_for(10ms);
        }
        return m_pid <= 0;
    }

    int status() const { return m_status; }

    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

private:
    std::string m_program;
    std::string m_command;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
    int m_status = 0;
};

// A small deployment: a store, replicas and entry machines, one router on each, in one zone each.
class Deployment {
public:
    static constexpr uint16_t storePort = 18007;
    static constexpr uint16_t frontPort = 18005;
    static constexpr uint16_t readyPort = 18002;
    static constexpr uint16_t controlPort = 18000;
    static constexpr uint16_t firstPeerPort = 17700;
    static constexpr uint16_t replicaPort = 18080;

    Deployment()
    {
        std::random_device device;
        for (unsigned i = 0; i < 100; ++i) {
            m_subnet = "127." + std::to_string(20 + device() % 200) + "." + std::to_string(device() % 250) + ".";
            int probe = listenAt(ip(200), storePort);
            if (probe >= 0) {
                ::close(probe);
                break;
            }
        }
        auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        m_folder = ::mkdtemp(pattern.data());
        m_program = std::getenv("PROGRAM") ? std::getenv("PROGRAM") : "target/lavenderloft";
        store = std::make_unique<Store>(ip(200), storePort);
    }

    // Removes the settings and logs of the processes, unless KEEP is set.
    void removeFolder() const
    {
        if (std::getenv("KEEP"))
            std::printf("logs in %s\n", m_folder.c_str());
        else
            std::filesystem::remove_all(m_folder);
    }

    std::string ip(unsigned machine) const { return m_subnet + std::to_string(machine); }
    std::string routerIp(unsigned number) const { return ip(10 + number); }

    Replica& addReplica(Replica::Description description, Replica::Handler handler)
    {
        auto address = ip(100 + static_cast<unsigned>(replicas.size()));
        replicas.push_back(std::make_unique<Replica>(*store, std::move(description), address, replicaPort, std::move(handler)));
        return *replicas.back();
    }

    void addRouter(unsigned machines)
    {
        auto number = static_cast<unsigned>(routers.size());
        auto settings = m_folder + "/router-" + std::to_string(number) + ".yaml";
        writeSettings(settings, number, machines);
        routers.push_back(std::make_unique<Node>(m_program, "node-router", settings, m_folder + "/router-" + std::to_string(number) + ".log"));
    }

    // Waits until the router says that it is ready.
    bool waitUntilReady(unsigned number, std::chrono::milliseconds timeout = 10s) const
    {
        auto until = Clock::now() + timeout;
        while (Clock::now() < until) {
            int socket = connectTo(routerIp(number), readyPort);
            if (socket >= 0) {
                sendAll(socket, "GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
                auto response = Reader(socket).read(true, Clock::now() + 1s);
                ::close(socket);
                if (response && response->status == 200)
                    return true;
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    // Starts the store, the replicas and the routers.
    bool start(unsigned routerCount)
    {
        if (!store->start())
            return false;
        for (auto& replica : replicas) {
            if (!replica->start())
                return false;
        }
        for (unsigned i = 0; i < routerCount; ++i)
            addRouter(routerCount);
        for (auto& router : routers)
            router->start();
        for (unsigned i = 0; i < routerCount; ++i) {
            if (!waitUntilReady(i))
                return false;
        }
        return true;
    }

    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::unique_ptr<Node>> routers;

private:
    void writeSettings(const std::string& path, unsigned number, unsigned machines) const
    {
        static const std::array<std::string, 3> zones { "makedonia-a", "attiki-a", "kriti-a" };
        static const std::array<std::string, 3> regions { "makedonia", "attiki", "kriti" };
        std::ofstream file(path);
        file << "node: \"front-" << zones[number % 3] << "-" << number << "\"\nrole: \"router\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n"
             << "ip: \"" << routerIp(number) << "\"\nzone: \"" << zones[number % 3] << "\"\nregion: \"" << regions[number % 3] << "\"\nzones:\n";
        for (unsigned i = 0; i < 3; ++i)
            file << "  " << zones[i] << ": \"" << regions[i] << "\"\n";
        file << "listen:\n  front: \"" << routerIp(number) << ":" << frontPort << "\"\n  ready: \"" << routerIp(number) << ":" << readyPort << "\"\n  control: \"" << routerIp(number) << ":" << controlPort << "\"\n"
             << "port_range:\n  - " << firstPeerPort << "\n  - " << firstPeerPort + 15 << "\nseeds:\n";
        for (unsigned i = 0; i < std::min(machines, 3u); ++i)
            file << "  - \"" << routerIp(i) << ":" << controlPort << "\"\n";
        file << "bootstrap: true\nloss_counts: false\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4200\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n"
             << "fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n"
             << "  rollback_slack_ms: 250\n  max_stretch_ms: 5000\n  fail_closed: false\n  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_slack: 100\n  cold_overage: 1.5\n  cold_slack: 5\n  evacuate_ms: 5000\n  recover_s: 12\n"
             << "  pass_ms: 120\n  retry_after_s: 0\n  version_ms: 8000\n  version_all_ms: 0\nplatform:\n  address: \"" << store->address() << "\"\n  form: \"read\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n";
    }

    std::string m_subnet;
    std::string m_folder;
    std::string m_program;
};

inline std::string newRequestId()
{
    static std::atomic<uint64_t> number { 0x9c41d07be2000000 };
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++number));
    return text;
}

// The head of a client's request, without the empty line at its end.
inline std::string requestHead(const std::string& method, const std::string& host, const std::string& path, const std::string& id, unsigned deadlineMs, const std::string& fields = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nLavenderloft-Request-Id: " + id + "\r\nLavenderloft-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nApi-Key: jnbanfqasnmgkcuyj8pj\r\n" + fields;
}

// One client attempt on a connection of its own. Nothing if the connection ended without a response.
inline std::optional<Message> attempt(const std::string& ip, const std::string& method, const std::string& host, const std::string& path, const std::string& id, const std::string& body, unsigned deadlineMs, const std::string& fields = {})
{
    int socket = connectTo(ip, Deployment::frontPort);
    if (socket < 0)
        return std::nullopt;
    auto head = requestHead(method, host, path, id, deadlineMs, fields);
    if (method != "GET")
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    sendAll(socket, head + "\r\n" + body);
    auto response = Reader(socket).read(true, Clock::now() + std::chrono::milliseconds(deadlineMs));
    ::close(socket);
    return response;
}

// A configuration with one plain service behind each of the given routes.
struct RouteText {
    std::string host;
    std::string prefix;
    std::string kind;
    std::string service;
    unsigned timeoutMs = 1500;
    unsigned targetLatencyMs = 150;
    unsigned maxAttempts = 1;
    std::string further = "";
};

inline std::string configurationText(unsigned version, const std::vector<RouteText>& routes, double coldSeconds = 0, double coldPerSecond = 0)
{
    std::string routeList;
    std::set<std::string> services;
    unsigned number = 0;
    for (auto& route : routes) {
        routeList += (routeList.empty() ? "" : ",") + ("{\"name\":\"r-" + std::to_string(++number) + "\",\"host\":\"" + route.host + "\",\"prefix\":\"" + route.prefix + "\",\"kind\":\"" + route.kind + "\",\"timeout_ms\":" + std::to_string(route.timeoutMs))
            + ",\"target_latency_ms\":" + std::to_string(route.targetLatencyMs) + ",\"priority\":1,\"service\":\"" + route.service + "\",\"max_attempts\":" + std::to_string(route.maxAttempts) + ",\"public\":false" + route.further + ",\"allowed_regions\":[]}";
        services.insert(route.service);
    }
    std::string serviceList;
    for (auto& service : services)
        serviceList += (serviceList.empty() ? "" : ",") + ("{\"name\":\"" + service + "\",\"health_check\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":" + std::to_string(coldSeconds) + ",\"cold_per_s\":" + std::to_string(coldPerSecond) + "}");
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routeList + "],\"services\":[" + serviceList + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"jnbanfqasnmgkcuyj8pj\"],\"priority\":1,\"allowed_regions\":[]}]}";
}

// Ends the program without waiting for the threads of stand-ins.
[[noreturn]] inline void endCase(std::unique_ptr<Deployment> deployment, int code, const std::string& verdict)
{
    RECORD("%s", verdict.c_str());
    std::printf("%s\n", verdict.c_str());
    std::fflush(stdout);
    deployment->routers.clear();
    auto* left = deployment.release();
    // The stand-ins live on in their threads; only what lies outside this process is cleaned up.
    left->removeFolder();
    ::_exit(code);
}

} // namespace Review
