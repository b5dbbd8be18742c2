// Small stand-ins for the platform, its clients and its replicas, used by the review's cases. Header only, no
// dependencies beyond the C library and C++20.
#pragma once

#include <algorithm>
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
#include <sstream>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point s_start = Clock::now();

inline long millisecondsSinceStart()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - s_start).count();
}

inline void sleepFor(long duration)
{
    std::this_thread::sleep_for(milliseconds(duration));
}

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// record.txt: what was sent, answered and run, one line each, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
        if (!m_file)
            std::exit(2);
    }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        std::lock_guard guard(m_lock);
        std::fprintf(m_file, "%7ld ", millisecondsSinceStart());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_lock;
    std::FILE* m_file;
};

inline int bindSocket(int type, const std::string& ip, int port)
{
    int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    int on = 1;
    if (type == SOCK_STREAM)
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

// A range of ports below the range of outgoing connections that is free at all the addresses.
inline int findFreePorts(const std::vector<std::string>& ips, int count)
{
    std::mt19937 random(std::random_device {}());
    for (int attempt = 0; attempt < 500; ++attempt) {
        int first = 12000 + static_cast<int>(random() % 18000);
        bool isFree = true;
        for (auto& ip : ips) {
            for (int port = first; isFree && port < first + count; ++port) {
                for (int type : { SOCK_STREAM, SOCK_DGRAM }) {
                    int fd = bindSocket(type, ip, port);
                    isFree = isFree && fd >= 0;
                    if (fd >= 0)
                        ::close(fd);
                }
            }
        }
        if (isFree)
            return first;
    }
    std::exit(2);
}

struct Header {
    std::string name;
    std::string value;
};

struct Message {
    // First line of the request or response.
    std::string start;
    std::string method;
    std::string target;
    int status = 0;
    std::vector<Header> headers;
    std::string body;

    std::string header(const char* name) const
    {
        for (auto& entry : headers) {
            if (::strcasecmp(entry.name.c_str(), name) == 0)
                return entry.value;
        }
        return {};
    }
};

enum class ReadResult {
    Complete,
    // The connection ended before the first byte.
    Closed,
    // It ended, or was reset, inside the message.
    Broken,
    TimedOut,
};

// One TCP connection with a read buffer.
class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    Connection(const Connection&) = delete;
    ~Connection() { close(); }

    int fd() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0; }

    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }

    void reset()
    {
        linger option { 1, 0 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            auto count = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(count));
        }
        return true;
    }

    // Reads more bytes into the buffer.
    ReadResult fill(Clock::time_point until, size_t limit = 65536)
    {
        auto left = std::chrono::ceil<milliseconds>(until - Clock::now()).count();
        pollfd entry { m_fd, POLLIN, 0 };
        int ready = ::poll(&entry, 1, static_cast<int>(std::clamp<long>(left, 0, 1000000)));
        if (ready <= 0)
            return ReadResult::TimedOut;
        std::string bytes(limit, '\0');
        auto count = ::recv(m_fd, bytes.data(), bytes.size(), 0);
        if (count == 0)
            return m_buffer.empty() ? ReadResult::Closed : ReadResult::Broken;
        if (count < 0)
            return ReadResult::Broken;
        m_buffer.append(bytes, 0, static_cast<size_t>(count));
        return ReadResult::Complete;
    }

    ReadResult readHead(Message& message, Clock::time_point until)
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            auto result = fill(until);
            if (result != ReadResult::Complete)
                return result;
        }
        parseHead(m_buffer.substr(0, end), message);
        m_buffer.erase(0, end + 4);
        return ReadResult::Complete;
    }

    // Reads a body with a length or in chunks.
    ReadResult readBody(Message& message, Clock::time_point until)
    {
        if (::strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0)
            return readChunks(message, until);
        auto length = message.header("Content-Length");
        size_t expected = length.empty() ? 0 : std::stoul(length);
        auto result = take(message.body, expected, until);
        return result == ReadResult::Closed ? ReadResult::Broken : result;
    }

    ReadResult read(Message& message, Clock::time_point until)
    {
        auto result = readHead(message, until);
        return result == ReadResult::Complete ? readBody(message, until) : result;
    }

    // Reads the next chunk; an empty one is the last.
    ReadResult readChunk(std::string& chunk, Clock::time_point until)
    {
        chunk.clear();
        std::string line;
        auto result = readLine(line, until);
        if (result != ReadResult::Complete)
            return result;
        auto size = std::stoul(line, nullptr, 16);
        result = take(chunk, size, until);
        std::string rest;
        return result == ReadResult::Complete ? readLine(rest, until) : result;
    }

    std::string& buffer() { return m_buffer; }

private:
    static void parseHead(const std::string& text, Message& message)
    {
        std::istringstream lines(text);
        std::string line;
        std::getline(lines, line);
        if (line.ends_with('\r'))
            line.pop_back();
        message.start = line;
        std::istringstream words(line);
        std::string first, second;
        words >> first >> second;
        if (first.starts_with("HTTP/")) {
            message.status = std::atoi(second.c_str());
        } else {
            message.method = first;
            message.target = second;
        }
        while (std::getline(lines, line)) {
            if (line.ends_with('\r'))
                line.pop_back();
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers.push_back({ line.substr(0, colon), value });
        }
    }

    ReadResult take(std::string& bytes, size_t count, Clock::time_point until)
    {
        while (m_buffer.size() < count) {
            auto result = fill(until);
            if (result != ReadResult::Complete)
                return result == ReadResult::Closed ? ReadResult::Broken : result;
        }
        bytes.append(m_buffer, 0, count);
        m_buffer.erase(0, count);
        return ReadResult::Complete;
    }

    ReadResult readLine(std::string& line, Clock::time_point until)
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            auto result = fill(until);
            if (result != ReadResult::Complete)
                return result == ReadResult::Closed ? ReadResult::Broken : result;
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return ReadResult::Complete;
    }

    ReadResult readChunks(Message& message, Clock::time_point until)
    {
        std::string chunk;
        while (true) {
            auto result = readChunk(chunk, until);
            if (result != ReadResult::Complete)
                return result;
            if (chunk.empty())
                return ReadResult::Complete;
            message.body += chunk;
        }
    }

    int m_fd;
    std::string m_buffer;
};

inline std::unique_ptr<Connection> connectTo(const std::string& ip, int port)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Connection>(fd);
}

// Listens on a loopback address and serves each connection in a thread of its own.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    explicit Server(Handler handler, const std::string& ip = "127.0.0.1", int port = 0)
        : m_handler(std::move(handler))
        , m_fd(bindSocket(SOCK_STREAM, ip, port))
    {
        if (m_fd < 0 || ::listen(m_fd, 512) != 0)
            std::exit(2);
        sockaddr_in address {};
        socklen_t size = sizeof address;
        ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_address = ip + ":" + std::to_string(m_port);
        std::thread([this] { accept(); }).detach();
    }

    const std::string& address() const { return m_address; }
    int port() const { return m_port; }

private:
    void accept()
    {
        while (true) {
            int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            std::thread([this, fd] {
                Connection connection(fd);
                m_handler(connection);
            }).detach();
        }
    }

    Handler m_handler;
    int m_fd;
    int m_port = 0;
    std::string m_address;
};

// A loopback address at which connections hang, as at a machine without power: its queue of new connections is full, so
// that opening packets are dropped.
class DarkAddress {
public:
    DarkAddress()
        : m_fd(bindSocket(SOCK_STREAM, "127.0.0.1", 0))
    {
        ::listen(m_fd, 0);
        sockaddr_in address {};
        socklen_t size = sizeof address;
        ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        for (int i = 0; i < 4; ++i) {
            int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
        }
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    int m_fd;
    int m_port = 0;
};

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; ++k)
            group = (group << 8) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size() ? '=' : digits[(group >> (18 - 6 * k)) & 63];
    }
    return text;
}

inline std::string queryValue(const std::string& target, const std::string& name)
{
    auto start = target.find(name + "=");
    if (start == std::string::npos)
        return {};
    start += name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

inline std::string percentDecoded(const std::string& text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

inline std::string httpResponse(int status, const std::string& body, const std::string& headers = "Content-Type: application/json\r\n")
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store: reads and watches. Without disruption it answers at once and keeps its whole history.
class Store {
public:
    Store()
        : m_server([this](Connection& connection) { serve(connection); })
    {
    }

    const std::string& address() const { return m_server.address(); }

    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard guard(m_lock);
        m_items[key] = { ++m_revision, false, value };
        m_changed.notify_all();
    }

    void remove(const std::string& key)
    {
        std::lock_guard guard(m_lock);
        m_items[key] = { ++m_revision, true, {} };
        m_changed.notify_all();
    }

private:
    struct Item {
        uint64_t revision = 0;
        bool deleted = false;
        std::string value;
    };

    static std::string format(const std::string& key, const Item& item)
    {
        auto text = "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision);
        if (item.deleted)
            return text + ",\"deleted\":true}";
        return text + ",\"create_revision\":" + std::to_string(item.revision) + ",\"lease\":0,\"value\":\"" + encodeBase64(item.value) + "\"}";
    }

    std::string list(const std::string& prefix)
    {
        std::lock_guard guard(m_lock);
        std::string items;
        for (auto& [key, item] : m_items) {
            if (!item.deleted && key.starts_with(prefix))
                items += (items.empty() ? "" : ",") + format(key, item);
        }
        return "{\"items\":[" + items + "],\"more_pages\":false,\"as_of\":" + std::to_string(m_revision) + "}";
    }

    std::string watch(const std::string& prefix, uint64_t after, long wait)
    {
        std::unique_lock guard(m_lock);
        m_changed.wait_for(guard, milliseconds(wait), [&] {
            return std::any_of(m_items.begin(), m_items.end(), [&](auto& entry) { return entry.second.revision > after && entry.first.starts_with(prefix); });
        });
        std::vector<std::pair<uint64_t, std::string>> events;
        for (auto& [key, item] : m_items) {
            if (item.revision > after && key.starts_with(prefix))
                events.emplace_back(item.revision, format(key, item));
        }
        std::sort(events.begin(), events.end());
        std::string text;
        for (auto& event : events)
            text += (text.empty() ? "" : ",") + event.second;
        return "{\"events\":[" + text + "],\"as_of\":" + std::to_string(m_revision) + "}";
    }

    void serve(Connection& connection)
    {
        while (true) {
            Message request;
            if (connection.read(request, Clock::now() + std::chrono::seconds(60)) != ReadResult::Complete)
                return;
            auto prefix = percentDecoded(queryValue(request.target, "prefix"));
            std::string body;
            if (request.target.starts_with("/api/kv-range"))
                body = list(prefix);
            else if (request.target.starts_with("/api/kv-watch"))
                body = watch(prefix, std::stoull(queryValue(request.target, "after")), std::min(30000L, std::stol(queryValue(request.target, "wait_ms"))));
            if (!connection.write(httpResponse(body.empty() ? 404 : 200, body)))
                return;
        }
    }

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    uint64_t m_revision = 100;
    Server m_server;
};

// A process of the project, started as the deploy file says.
class Process {
public:
    Process(std::vector<std::string> command, const std::string& settingsPath, const std::string& logPath)
        : m_command(std::move(command))
        , m_settingsPath(settingsPath)
        , m_logPath(logPath)
    {
        start();
    }

    ~Process() { kill(SIGKILL); }

    void start()
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            // Ends with the stand-ins, also if these are killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("LAVENDERLOFT_SETTINGS", m_settingsPath.c_str(), 1);
            std::vector<char*> arguments;
            for (auto& word : m_command)
                arguments.push_back(word.data());
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
    }

    pid_t pid() const { return m_pid; }

    void signal(int number)
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    // Status of the process if it has ended.
    std::optional<int> ended()
    {
        if (m_pid <= 0)
            return m_status;
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return std::nullopt;
        m_pid = -1;
        m_status = status;
        return m_status;
    }

    void kill(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, number);
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = -1;
        m_status = status;
    }

    // Resident memory in MB.
    long residentMegabytes() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("VmRSS:"))
                return std::atol(line.c_str() + 6) / 1024;
        }
        return 0;
    }

private:
    std::vector<std::string> m_command;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

inline std::string describeEnd(int status)
{
    if (WIFSIGNALED(status))
        return std::string("signal ") + std::to_string(WTERMSIG(status)) + " (" + strsignal(WTERMSIG(status)) + ")";
    return "exit code " + std::to_string(WEXITSTATUS(status));
}

// Where the machines of a case are. All use the same ports, each at a loopback address of its own.
struct Site {
    std::string folder;
    std::string store;
    int firstPort = 0;
    std::vector<std::string> seeds;
    int memoryMegabytes = 260;
    std::string bounds = "{seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, "
                         "loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, fail_closed: false, "
                         "revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 100, cold_overage: 1.5, cold_slack: 5, "
                         "evacuate_ms: 5000, recover_s: 12, pass_ms: 120, retry_after_s: 0, version_ms: 8000, version_all_ms: 0}";

    static constexpr int portCount = 20;
    int frontPort() const { return firstPort + 17; }
    int readyPort() const { return firstPort + 18; }
    int controlPort() const { return firstPort + 19; }

    // Settings as in the example of the pages. The machines stand in one zone.
    std::string writeSettings(const std::string& node, const std::string& ip, const std::string& engine = "", const std::string& service = "") const
    {
        auto path = folder + "/" + node + ".yaml";
        std::ofstream file(path);
        bool isFront = engine.empty();
        file << "node: \"" << node << "\"\nrole: \"" << (isFront ? "router" : "agent") << "\"\nmachine_class: \"" << (isFront ? "front" : "side") << "\"\n";
        file << "ip: \"" << ip << "\"\nzone: \"zone-a\"\nregion: \"region-a\"\nzones:\n  zone-a: \"region-a\"\n";
        if (isFront)
            file << "listen:\n  front: \"" << ip << ":" << frontPort() << "\"\n  ready: \"" << ip << ":" << readyPort() << "\"\n  control: \"" << ip << ":" << controlPort() << "\"\n";
        else
            file << "listen: {}\napp: \"" << engine << "\"\nservice: \"" << service << "\"\n";
        file << "port_range:\n  - " << firstPort << "\n  - " << firstPort + 15 << "\nseeds:\n";
        for (auto& seed : seeds)
            file << "  - \"" << seed << ":" << controlPort() << "\"\n";
        file << "bootstrap: true\nlimits: {cpu_share: 0.25, cores: 1, memory_mb: " << (isFront ? memoryMegabytes : 128) << ", max_fds: 4200, link_mbps: " << (isFront ? "1000.0" : "9.4") << ", disk_mb: 0}\n";
        file << "discovery: \"platform\"\nheartbeat_ms: 1200\nfault_tolerance: {machines: 1, zones: 1, regions: 0}\n";
        file << "bounds: " << bounds << "\nplatform: {address: \"" << store << "\", form: \"read\", reads_per_s: 2000, history_s: 20}\n";
        return path;
    }
};

inline std::string makeTemporaryFolder()
{
    std::string path = "/tmp/review-XXXXXX";
    if (!::mkdtemp(path.data()))
        std::exit(2);
    return path;
}

// Ends the program with 1 if the rule was broken and 0 if it held. The processes of the project must have ended. With
// KEEP set, the temporary folder with their logs stays.
[[noreturn]] inline void finish(Record& record, bool isBroken, const std::string& folder)
{
    const char* verdict = isBroken ? "BROKEN" : "HELD";
    record.line("%s", verdict);
    std::printf("%s\n", verdict);
    std::fflush(stdout);
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(folder);
    // Threads of the stand-ins still run.
    std::_Exit(isBroken ? 1 : 0);
}

// Waits until the router reports that it is ready.
inline bool waitUntilReady(const std::string& ip, int readyPort, long timeout)
{
    auto until = Clock::now() + milliseconds(timeout);
    while (Clock::now() < until) {
        if (auto connection = connectTo(ip, readyPort)) {
            connection->write("GET /api/readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
            Message response;
            if (connection->read(response, Clock::now() + std::chrono::seconds(1)) == ReadResult::Complete && response.status == 200)
                return true;
        }
        sleepFor(50);
    }
    return false;
}

inline std::string serverEntry(const std::string& service, const std::string& address, int slots, long born, const std::string& state = "ready", const std::string& more = "")
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" + std::to_string(born) + more + "}";
}

} // namespace Review
