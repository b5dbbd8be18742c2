#include "Bench/SlowReaders.h"

#include <boost/asio.hpp>
#include <condition_variable>
#include <mutex>
#include <string_view>
#include <thread>
#include <vector>

namespace Lavenderloft::Bench {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

    // Keeps the kernel from buffering much of the response, which would hide that the client reads slowly.
    constexpr int receiveBufferBytes = 8 * 1024;

    // Read size and interval while draining.
    constexpr size_t fastBytesPerRead = 64 * 1024;
    constexpr std::chrono::milliseconds fastInterval { 50 };

    // The clients read in groups, one after the other, because simultaneous reads of all delay other processes.
    constexpr size_t readerGroups = 50;

    constexpr std::string_view finalChunk = "\r\n0\r\n\r\n";

} // namespace

struct SlowReaders::State {
    struct Reader {
        explicit Reader(asio::io_context& context)
            : socket(context)
        {
        }

        tcp::socket socket;
        std::string tail;
        bool closed = false;
    };

    asio::io_context context { 1 };
    asio::steady_timer timer { context };
    std::vector<std::unique_ptr<Reader>> readers;
    size_t bytesPerRead = 0;
    size_t nextGroup = 0;
    std::chrono::microseconds interval {};
    std::thread thread;
    mutable std::mutex lock;
    std::condition_variable ended;
    SlowReaderCounts counts;

    void connect(const Http::Endpoint& endpoint, const std::string& path)
    {
        auto& reader = *readers.emplace_back(std::make_unique<Reader>(context));
        reader.socket.open(tcp::v4());
        reader.socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        reader.socket.connect({ asio::ip::make_address(endpoint.host), endpoint.port });
        asio::write(reader.socket, asio::buffer("POST " + path + " HTTP/1.1\r\nHost: router\r\nX-Deadline-Ms: 600000\r\nContent-Length: 0\r\n\r\n"));
        reader.socket.non_blocking(true);
        ++counts.connected;
    }

    void read(Reader& reader)
    {
        std::string bytes(bytesPerRead, '\0');
        boost::system::error_code error;
        auto count = reader.socket.read_some(asio::buffer(bytes), error);
        if (error == asio::error::would_block)
            return;
        std::lock_guard guard(lock);
        if (error) {
            reader.closed = true;
            ++counts.truncated;
            ended.notify_all();
            return;
        }
        counts.bytesRead += count;
        reader.tail = (reader.tail + bytes.substr(0, count));
        reader.tail.erase(0, reader.tail.size() - std::min(reader.tail.size(), finalChunk.size()));
        if (reader.tail != finalChunk)
            return;
        reader.closed = true;
        ++counts.complete;
        ended.notify_all();
        reader.socket.close(error);
    }

    void readNextGroup()
    {
        for (size_t i = nextGroup; i < readers.size(); i += readerGroups) {
            if (!readers[i]->closed)
                read(*readers[i]);
        }
        nextGroup = (nextGroup + 1) % readerGroups;
        timer.expires_after(interval / readerGroups);
        timer.async_wait([this](boost::system::error_code error) {
            if (!error)
                readNextGroup();
        });
    }
};

SlowReaders::SlowReaders(const Http::Endpoint& endpoint, const std::string& path, unsigned count, size_t bytesPerRead, std::chrono::milliseconds interval)
    : m_state(std::make_shared<State>())
{
    m_state->bytesPerRead = bytesPerRead;
    m_state->interval = interval;
    for (unsigned i = 0; i < count; ++i)
        m_state->connect(endpoint, path);
    asio::post(m_state->context, [state = m_state.get()] { state->readNextGroup(); });
    m_state->thread = std::thread([state = m_state.get()] { state->context.run(); });
}

SlowReaders::~SlowReaders()
{
    m_state->context.stop();
    m_state->thread.join();
}

SlowReaderCounts SlowReaders::drain(std::chrono::seconds limit)
{
    asio::post(m_state->context, [state = m_state.get()] {
        state->bytesPerRead = fastBytesPerRead;
        state->interval = fastInterval;
    });
    std::unique_lock guard(m_state->lock);
    m_state->ended.wait_for(guard, limit, [this] { return m_state->counts.truncated + m_state->counts.complete == m_state->counts.connected; });
    return m_state->counts;
}

} // namespace Lavenderloft::Bench
