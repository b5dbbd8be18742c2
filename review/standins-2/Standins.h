// Small stand-ins of the users' platform for the cases 6 to 10: an HTTP server, the metadata store, replicas, clients and
// the start of the project's programs. They behave like a sound peer unless a case asks for a disruption.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point programStart = Clock::now();

inline double secondsSinceStart()
{
    return std::chrono::duration<double>(Clock::now() - programStart).count();
}

inline void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// Writes record.txt.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard guard(m_lock);
        va_list arguments;
        va_start(arguments, format);
        std::fprintf(m_file, "%8.3f ", secondsSinceStart());
        std::vfprintf(m_file, format, arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
        va_end(arguments);
    }

private:
    std::mutex m_lock;
    std::FILE* m_file;
};

struct Headers : std::vector<std::pair<std::string, std::string>> {
    std::string get(const std::string& name) const
    {
        for (auto& [key, value] : *this) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
};

struct Message {
    std::string firstLine;
    Headers headers;
    std::string body;
    // The message ended as its framing says.
    bool isComplete = false;

    std::string method() const { return firstLine.substr(0, firstLine.find(' ')); }
    std::string target() const
    {
        auto start = firstLine.find(' ') + 1;
        return firstLine.substr(start, firstLine.find(' ', start) - start);
    }
    int status() const { return firstLine.size() > 12 ? std::atoi(firstLine.c_str() + 9) : 0; }
};

// A blocking socket with a buffer for reading.
class Connection {
public:
    explicit Connection(int fd = -1)
        : m_fd(fd)
    {
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { close(); }

    int fd() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0; }

    bool connectTo(const std::string& host, uint16_t port, int timeoutMs = 1000)
    {
        close();
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        fcntl(m_fd, F_SETFL, O_NONBLOCK);
        int result = connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        if (result != 0) {
            pollfd waiting { m_fd, POLLOUT, 0 };
            int error = 0;
            socklen_t length = sizeof(error);
            if (poll(&waiting, 1, timeoutMs) != 1 || getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
                close();
                return false;
            }
        }
        fcntl(m_fd, F_SETFL, 0);
        int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return true;
    }

    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
        m_buffer.clear();
    }

    void reset()
    {
        linger now { 1, 0 };
        if (m_fd >= 0)
            setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            auto count = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(count));
        }
        return true;
    }

    // Reads what is available; returns false at the end, on an error or after the timeout.
    bool readMore(int timeoutMs)
    {
        pollfd waiting { m_fd, POLLIN, 0 };
        if (poll(&waiting, 1, timeoutMs) != 1)
            return false;
        char bytes[16384];
        auto count = recv(m_fd, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            m_hasEnded = count == 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<size_t>(count));
        return true;
    }

    // Whether the peer has closed the connection, or sent something unasked.
    bool isReadable() const
    {
        pollfd waiting { m_fd, POLLIN, 0 };
        return poll(&waiting, 1, 0) != 0;
    }

    // Reads one message. Nothing if the connection ended before its head was complete.
    std::optional<Message> read(int timeoutMs, bool isResponse)
    {
        auto until = Clock::now() + milliseconds(timeoutMs);
        auto left = [&] { return static_cast<int>(std::max<int64_t>(0, std::chrono::duration_cast<milliseconds>(until - Clock::now()).count())); };
        size_t headEnd = 0;
        while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(left()))
                return std::nullopt;
        }
        Message message;
        parseHead(m_buffer.substr(0, headEnd), message);
        m_buffer.erase(0, headEnd + 4);
        if (strcasecmp(message.headers.get("Transfer-Encoding").c_str(), "chunked") == 0) {
            message.isComplete = readChunks(message.body, left);
            return message;
        }
        auto length = message.headers.get("Content-Length");
        if (length.empty() && isResponse && message.status() >= 200 && message.status() != 204) {
            while (readMore(left())) { }
            message.body = std::exchange(m_buffer, {});
            message.isComplete = m_hasEnded;
            return message;
        }
        auto size = static_cast<size_t>(std::atoll(length.c_str()));
        while (m_buffer.size() < size) {
            if (!readMore(left()))
                return message;
        }
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        message.isComplete = true;
        return message;
    }

private:
    static void parseHead(const std::string& head, Message& message)
    {
        size_t start = 0;
        while (start < head.size()) {
            auto end = std::min(head.find("\r\n", start), head.size());
            auto line = head.substr(start, end - start);
            start = end + 2;
            if (message.firstLine.empty()) {
                message.firstLine = line;
                continue;
            }
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
    }

    template <typename Left>
    bool readChunks(std::string& body, Left&& left)
    {
        while (true) {
            size_t lineEnd = 0;
            while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                if (!readMore(left()))
                    return false;
            }
            auto size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            m_buffer.erase(0, lineEnd + 2);
            while (m_buffer.size() < size + 2) {
                if (!readMore(left()))
                    return false;
            }
            body.append(m_buffer, 0, size);
            m_buffer.erase(0, size + 2);
            if (size == 0)
                return true;
        }
    }

    int m_fd;
    std::string m_buffer;
    bool m_hasEnded = false;
};

inline std::string response(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A server with a thread for each connection. The handler answers on the connection and returns whether that may be kept.
class Server {
public:
    using Handler = std::function<bool(Message&, Connection&)>;

    Server(std::string host, Handler handler, uint16_t port = 0)
        : m_host(std::move(host))
        , m_handler(std::move(handler))
    {
        listenAt(port);
        std::thread([this] { acceptAll(); }).detach();
    }

    uint16_t port() const { return m_port; }
    const std::string& host() const { return m_host; }
    std::string address() const { return m_host + ":" + std::to_string(m_port); }

private:
    void listenAt(uint16_t port)
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, m_host.c_str(), &address.sin_addr);
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(m_listener, 512) != 0) {
            std::fprintf(stderr, "cannot listen at %s\n", m_host.c_str());
            std::exit(2);
        }
        socklen_t length = sizeof(address);
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
    }

    void acceptAll()
    {
        while (true) {
            int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, fd] {
                Connection connection(fd);
                while (auto request = connection.read(60000, false)) {
                    if (!request->isComplete || !m_handler(*request, connection))
                        return;
                }
            }).detach();
        }
    }

    std::string m_host;
    Handler m_handler;
    int m_listener = -1;
    uint16_t m_port = 0;
};

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
        for (size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

inline std::string queryValue(const std::string& target, const std::string& name)
{
    auto start = target.find('?');
    while (start != std::string::npos) {
        auto next = target.find('&', start + 1);
        auto field = target.substr(start + 1, next == std::string::npos ? std::string::npos : next - start - 1);
        if (field.starts_with(name + "="))
            return field.substr(name.size() + 1);
        start = next;
    }
    return {};
}

// The platform's metadata store.
class Store {
public:
    explicit Store(const std::string& host)
        : m_server(host, [this](Message& request, Connection& connection) { return handle(request, connection); })
    {
    }

    std::string address() const { return m_server.address(); }

    uint64_t put(const std::string& key, const std::string& value)
    {
        std::lock_guard guard(m_lock);
        auto revision = ++m_revision;
        m_items[key] = { value, revision };
        m_events.push_back({ revision, describe(key, value, revision) });
        m_changed.notify_all();
        return revision;
    }

    void remove(const std::string& key)
    {
        std::lock_guard guard(m_lock);
        if (m_items.erase(key) == 0)
            return;
        auto revision = ++m_revision;
        m_events.push_back({ revision, "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(revision) + ",\"deleted\":true}" });
        m_changed.notify_all();
    }

    // A call of the system; may answer itself and return true.
    std::function<bool(Message&, Connection&)> intercept;
    std::atomic<uint64_t> era { 0 };

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
    };

    static std::string describe(const std::string& key, const std::string& value, uint64_t revision)
    {
        auto number = std::to_string(revision);
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(value) + "\",\"revision\":" + number + ",\"create_revision\":" + number + ",\"lease\":0}";
    }

    bool reply(Connection& connection, int status, const std::string& body)
    {
        std::string headers = "Content-Type: application/json\r\n";
        if (era > 0)
            headers += "Store-Era: " + std::to_string(era) + "\r\n";
        return connection.send(response(status, headers, body));
    }

    bool handle(Message& request, Connection& connection)
    {
        if (intercept && intercept(request, connection))
            return connection.isOpen();
        auto target = request.target();
        if (target.starts_with("/api/kv-range"))
            return range(target, connection);
        if (target.starts_with("/api/kv-watch"))
            return watch(target, connection);
        return reply(connection, 404, "{}");
    }

    bool range(const std::string& target, Connection& connection)
    {
        auto prefix = queryValue(target, "prefix");
        std::string items;
        uint64_t revision = 0;
        {
            std::lock_guard guard(m_lock);
            revision = m_revision;
            for (auto& [key, item] : m_items) {
                if (key.starts_with(prefix))
                    items += (items.empty() ? "" : ",") + describe(key, item.value, item.revision);
            }
        }
        return reply(connection, 200, "{\"items\":[" + items + "],\"more_pages\":false,\"as_of\":" + std::to_string(revision) + "}");
    }

    bool watch(const std::string& target, Connection& connection)
    {
        auto after = std::strtoull(queryValue(target, "after").c_str(), nullptr, 10);
        auto wait = std::atoi(queryValue(target, "wait_ms").c_str());
        std::string events;
        uint64_t revision = 0;
        {
            std::unique_lock lock(m_lock);
            m_changed.wait_for(lock, milliseconds(wait), [&] { return m_revision > after; });
            revision = std::max<uint64_t>(after, m_revision);
            for (auto& [number, event] : m_events) {
                if (number > after)
                    events += (events.empty() ? "" : ",") + event;
            }
        }
        return reply(connection, 200, "{\"events\":[" + events + "],\"as_of\":" + std::to_string(revision) + "}");
    }

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<std::pair<uint64_t, std::string>> m_events;
    uint64_t m_revision = 100;
    Server m_server;
};

// Settings of a router, like those of a `front` machine of kalamos-loans.
struct RouterSettings {
    std::string ip;
    std::string zone = "makedonia-a";
    std::string store;
    uint16_t front = 0;
    uint16_t ready = 0;
    uint16_t control = 0;
    uint16_t firstPort = 0;
    std::vector<std::string> seeds;
    unsigned memoryMb = 260;
    unsigned maximumDescriptors = 4200;

    std::string yaml() const
    {
        auto at = [&](uint16_t port) { return "\"" + ip + ":" + std::to_string(port) + "\"\n"; };
        std::string text = "node: \"front-" + ip + "\"\nrole: \"router\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n"
                                                   "ip: \""
            + ip + "\"\nzone: \"" + zone + "\"\nregion: \"" + zone.substr(0, zone.size() - 2) + "\"\n"
                                                                                                "zones:\n  makedonia-a: \"makedonia\"\n  attiki-a: \"attiki\"\n  kriti-a: \"kriti\"\n"
                                                                                                "listen:\n  front: "
            + at(front) + "  ready: " + at(ready) + "  control: " + at(control)
            + "port_range:\n  - " + std::to_string(firstPort) + "\n  - " + std::to_string(firstPort + 15) + "\nseeds:\n";
        for (auto& seed : seeds)
            text += "  - \"" + seed + "\"\n";
        text += "bootstrap: true\nloss_counts: false\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: " + std::to_string(memoryMb) + "\n  max_fds: " + std::to_string(maximumDescriptors)
            + "\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n"
              "bounds:\n  contact_ms: 3000\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_slack: 100\n  version_ms: 8000\n"
              "platform:\n  address: \""
            + store + "\"\n  form: \"read\"\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n";
        return text;
    }
};

// A process of the project, started with the command of the deploy file.
class Program {
public:
    Program(const std::string& name, const std::string& command, const std::string& settings, const std::string& folder)
        : m_settingsPath(folder + "/" + name + ".yaml")
        , m_logPath(folder + "/" + name + ".log")
        , m_command(command)
    {
        writeSettings(settings);
        start();
    }

    ~Program() { end(); }

    void writeSettings(const std::string& settings)
    {
        std::ofstream(m_settingsPath + ".new") << settings;
        std::rename((m_settingsPath + ".new").c_str(), m_settingsPath.c_str());
    }

    void start()
    {
        m_status.reset();
        m_pid = fork();
        if (m_pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("LAVENDERLOFT_SETTINGS", m_settingsPath.c_str(), 1);
        int log = open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        execl("target/lavenderloft", "lavenderloft", m_command.c_str(), nullptr);
        _exit(127);
    }

    pid_t pid() const { return m_pid; }
    void signal(int number) const { kill(m_pid, number); }

    // The exit status once the process has ended by itself or by a signal.
    std::optional<int> ended()
    {
        if (m_status)
            return m_status;
        int status = 0;
        if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid)
            m_status = status;
        return m_status;
    }

    void end()
    {
        if (m_pid <= 0 || ended())
            return;
        kill(m_pid, SIGKILL);
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_status = status;
    }

    // Resident memory in KiB without what is mapped from files, such as libraries; zero if the process has ended.
    long residentKb() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("RssAnon:"))
                return std::atol(line.c_str() + 8);
        }
        return 0;
    }

    std::string log() const
    {
        std::ifstream file(m_logPath);
        return { std::istreambuf_iterator<char>(file), {} };
    }

private:
    std::string m_settingsPath;
    std::string m_logPath;
    std::string m_command;
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

inline uint16_t freePort(const std::string& host)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    socklen_t length = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        std::exit(2);
    ::close(fd);
    return ntohs(address.sin_port);
}

// Waits until a node says that it is ready.
inline bool waitUntilReady(const std::string& host, uint16_t port, int seconds = 15)
{
    for (int i = 0; i < seconds * 20; ++i) {
        Connection connection;
        if (connection.connectTo(host, port, 200) && connection.send("GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")) {
            auto answer = connection.read(500, true);
            if (answer && answer->status() == 200)
                return true;
        }
        sleepMs(50);
    }
    return false;
}

// The folder that the script made, or a new one.
inline std::string temporaryFolder()
{
    if (auto* folder = std::getenv("REVIEW_FOLDER"))
        return folder;
    char path[] = "/tmp/review-XXXXXX";
    if (!mkdtemp(path))
        std::exit(2);
    return path;
}

inline bool hasTrouble()
{
    auto* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace review
