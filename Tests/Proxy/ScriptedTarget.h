#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Lavenderloft::Proxy {

// The reaction of a scripted target to one request.
struct ScriptedReply {
    enum class Then {
        KeepOpen,
        Close,
        // Resets the connection.
        Reset,
        // Sends nothing more until the other side closes the connection.
        Hang,
        // Sends `repeated` again and again until the other side closes the connection.
        Repeat,
    };

    std::string bytes;
    Then then = Then::KeepOpen;
    std::string repeated {};
    std::chrono::milliseconds pauseBeforeRepeat { 0 };
    // Sent after the bytes and a pause, so that it arrives separately.
    std::string later {};
    std::chrono::milliseconds pauseBeforeLater { 50 };
    // Returns when that pause may begin.
    std::function<void()> waitBeforeLater {};
};

// A target on loopback that replies to each request according to the test's script.
class ScriptedTarget {
public:
    // A repeating target stops after this many bytes and hangs, so that a test of unlimited reading stays small.
    static constexpr size_t maximumRepeatedBytes = 40 * 1024 * 1024;

    // Called with the head of the request and its number, counted from zero over all connections.
    using Script = std::function<ScriptedReply(const std::string& head, unsigned number)>;

    explicit ScriptedTarget(Script script)
        : m_script(std::move(script))
        , m_acceptor(m_context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_accepting([this] { accept(); })
    {
    }

    ~ScriptedTarget()
    {
        m_stopped = true;
        boost::system::error_code ignored;
        boost::asio::ip::tcp::socket wake(m_context);
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_accepting.join();
        {
            std::lock_guard guard(m_lock);
            for (auto& socket : m_sockets)
                socket->shutdown(boost::asio::socket_base::shutdown_both, ignored);
        }
        for (auto& thread : m_threads)
            thread.join();
    }

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    unsigned requests() const { return m_requests; }

    // Waits until that many requests have arrived. There is no timeout here; the timeout of ctest applies.
    void waitForRequests(unsigned count) const
    {
        std::unique_lock guard(m_lock);
        m_changed.wait(guard, [&] { return m_heads.size() >= count; });
    }

    // Waits until the other side has closed a hanging connection.
    void waitForHangEnd() const
    {
        std::unique_lock guard(m_lock);
        m_changed.wait(guard, [&] { return m_hangsEnded > 0; });
    }

    // Whether the other side accepted everything that a repeating target sends.
    bool sentAllRepeats() const { return m_sentAllRepeats; }

    // Heads of the requests so far.
    std::vector<std::string> heads() const
    {
        std::lock_guard guard(m_lock);
        return m_heads;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept()
    {
        while (!m_stopped) {
            auto socket = std::make_shared<Socket>(m_context);
            boost::system::error_code error;
            m_acceptor.accept(*socket, error);
            if (error || m_stopped)
                return;
            std::lock_guard guard(m_lock);
            m_sockets.push_back(socket);
            m_threads.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(Socket& socket)
    {
        boost::system::error_code error;
        std::string buffer;
        while (!m_stopped) {
            auto length = boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", error);
            if (error)
                return;
            auto head = buffer.substr(0, length);
            buffer.erase(0, length + bodyLength(head));
            unsigned number = m_requests++;
            {
                std::lock_guard guard(m_lock);
                m_heads.push_back(head);
            }
            m_changed.notify_all();
            auto reply = m_script(head, number);
            boost::asio::write(socket, boost::asio::buffer(reply.bytes), error);
            if (!reply.later.empty()) {
                if (reply.waitBeforeLater)
                    reply.waitBeforeLater();
                std::this_thread::sleep_for(reply.pauseBeforeLater);
                boost::asio::write(socket, boost::asio::buffer(reply.later), error);
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
            if (reply.then == ScriptedReply::Then::KeepOpen)
                continue;
            if (reply.then == ScriptedReply::Then::Repeat)
                repeat(socket, reply);
            end(socket, reply.then);
            return;
        }
    }

    // The requests of these tests have no body, or one that arrives with the head.
    static size_t bodyLength(const std::string& head)
    {
        auto start = head.find("Content-Length: ");
        return start == std::string::npos ? 0 : std::stoul(head.substr(start + 16));
    }

    void repeat(Socket& socket, const ScriptedReply& reply)
    {
        boost::system::error_code error;
        size_t sent = 0;
        while (!m_stopped && !error && sent < maximumRepeatedBytes) {
            std::this_thread::sleep_for(reply.pauseBeforeRepeat);
            sent += boost::asio::write(socket, boost::asio::buffer(reply.repeated), error);
        }
        m_sentAllRepeats = sent >= maximumRepeatedBytes;
    }

    void end(Socket& socket, ScriptedReply::Then then)
    {
        boost::system::error_code error;
        if (then == ScriptedReply::Then::Hang || m_sentAllRepeats) {
            char byte = 0;
            socket.read_some(boost::asio::buffer(&byte, 1), error);
            {
                std::lock_guard guard(m_lock);
                ++m_hangsEnded;
            }
            m_changed.notify_all();
        }
        if (then == ScriptedReply::Then::Reset)
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        if (then == ScriptedReply::Then::Close)
            socket.shutdown(boost::asio::socket_base::shutdown_both, error);
        std::lock_guard guard(m_lock);
        socket.close(error);
    }

    Script m_script;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopped { false };
    std::atomic<unsigned> m_requests { 0 };
    std::atomic<bool> m_sentAllRepeats { false };
    mutable std::mutex m_lock;
    mutable std::condition_variable m_changed;
    unsigned m_hangsEnded = 0;
    std::vector<std::shared_ptr<Socket>> m_sockets;
    std::vector<std::string> m_heads;
    std::vector<std::thread> m_threads;
    std::thread m_accepting;
};

// Value of a header field; empty if it is missing.
inline std::string fieldOf(const std::string& head, const std::string& name)
{
    auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    start += name.size() + 4;
    return head.substr(start, head.find("\r\n", start) - start);
}

} // namespace Lavenderloft::Proxy
