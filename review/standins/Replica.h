// A stand-in for a replica of a plain service: runs each request for some time and answers it with its seal and id.
#pragma once

#include "Standins.h"

#include <set>

namespace Review {

class Replica {
public:
    using Work = std::function<long(const Message&)>;

    Replica(Record& record, std::string name, Work work)
        : m_record(record)
        , m_name(std::move(name))
        , m_work(std::move(work))
        , m_fd(bindSocket(SOCK_STREAM, "127.0.0.1", 0))
    {
        ::listen(m_fd, 512);
        sockaddr_in address {};
        socklen_t size = sizeof address;
        ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    const std::string& name() const { return m_name; }

    // The id under which the replica is registered now; requests for another one get 421.
    void setId(const std::string& id)
    {
        std::lock_guard guard(m_lock);
        m_id = id;
    }

    // Without power: open connections are silent, new ones hang. Until goLight().
    void goDark()
    {
        m_isDark = true;
        ::listen(m_fd, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(m_port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (int i = 0; i < 6; ++i) {
            int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
            m_fillers.push_back(fd);
        }
    }

    // Power is back: what was open is reset.
    void goLight()
    {
        for (int fd : m_fillers)
            ::close(fd);
        m_fillers.clear();
        ::listen(m_fd, 512);
        m_isDark = false;
    }

    bool hasRun(const std::string& requestId)
    {
        std::lock_guard guard(m_lock);
        return m_runs.contains(requestId);
    }

private:
    void accept()
    {
        while (true) {
            int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            while (m_isDark)
                sleepFor(5);
            std::thread([this, fd] {
                Connection connection(fd);
                serve(connection);
            }).detach();
        }
    }

    // Returns false once power was lost.
    bool waitWhileLight(long duration)
    {
        auto until = Clock::now() + milliseconds(duration);
        do {
            if (m_isDark) {
                while (m_isDark)
                    sleepFor(5);
                return false;
            }
            std::this_thread::sleep_for(std::min<Clock::duration>(milliseconds(5), std::max<Clock::duration>(until - Clock::now(), milliseconds(0))));
        } while (Clock::now() < until);
        return true;
    }

    void serve(Connection& connection)
    {
        while (true) {
            Message request;
            auto result = ReadResult::TimedOut;
            while (result == ReadResult::TimedOut) {
                if (!waitWhileLight(0)) {
                    connection.reset();
                    return;
                }
                pollfd entry { connection.fd(), POLLIN, 0 };
                if (::poll(&entry, 1, 20) > 0 && !m_isDark)
                    result = connection.read(request, Clock::now() + std::chrono::seconds(10));
            }
            if (result != ReadResult::Complete)
                return;
            auto id = request.header("Lavenderloft-Request-Id");
            {
                std::lock_guard guard(m_lock);
                if (request.header("Lavenderloft-Expect-Instance") != m_id) {
                    connection.write(httpResponse(421, "", "Lavenderloft-Request-Id: " + id + "\r\n"));
                    continue;
                }
                m_runs.insert(id);
            }
            m_record.line("%s runs %s", m_name.c_str(), id.c_str());
            if (!waitWhileLight(m_work(request))) {
                connection.reset();
                return;
            }
            auto sealed = "Lavenderloft-Request-Id: " + id + "\r\nLavenderloft-Response-Seal: seal." + id + "\r\nKeep-Alive: timeout=10\r\n";
            if (!connection.write(httpResponse(200, "answer to " + id, sealed)))
                return;
        }
    }

    Record& m_record;
    std::string m_name;
    Work m_work;
    int m_fd;
    int m_port = 0;
    std::mutex m_lock;
    std::string m_id;
    std::set<std::string> m_runs;
    std::atomic<bool> m_isDark { false };
    std::vector<int> m_fillers;
};

} // namespace Review
