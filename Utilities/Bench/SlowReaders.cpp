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

    // A small window, so that the kernel does not read on the reader's behalf.
    constexpr int receiveBufferBytes = 8 * 1024;

    // Reading at full speed.
    constexpr size_t fastBytesPerRead = 64 * 1024;
    constexpr std::chrono::milliseconds fastInterval { 50 };

    // Readers take turns, because a burst of all of them delays whatever else runs on the machine.
    constexpr size_t slices = 50;

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
    size_t nextSlice = 0;
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
            ++counts.cut;
            ended.notify_all();
            return;
        }
        counts.bytesRead += count;
        reader.tail = (reader.tail + bytes.substr(0, count));
        reader.tail.erase(0, reader.tail.size() - std::min(reader.tail.size(), finalChunk.size()));
        if (reader.tail != finalChunk)
            return;
        reader.closed = true;
        ++counts.whole;
        ended.notify_all();
        reader.socket.close(error);
    }

    void readAll()
    {
        for (size_t i = nextSlice; i < readers.size(); i += slices) {
            if (!readers[i]->closed)
                read(*readers[i]);
        }
        nextSlice = (nextSlice + 1) % slices;
        timer.expires_after(interval / slices);
        timer.async_wait([this](boost::system::error_code error) {
            if (!error)
                readAll();
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
    asio::post(m_state->context, [state = m_state.get()] { state->readAll(); });
    m_state->thread = std::thread([state = m_state.get()] { state->context.run(); });
}

SlowReaders::~SlowReaders()
{
    m_state->context.stop();
    m_state->thread.join();
}

SlowReaderCounts SlowReaders::finish(std::chrono::seconds limit)
{
    asio::post(m_state->context, [state = m_state.get()] {
        state->bytesPerRead = fastBytesPerRead;
        state->interval = fastInterval;
    });
    std::unique_lock guard(m_state->lock);
    m_state->ended.wait_for(guard, limit, [this] { return m_state->counts.cut + m_state->counts.whole == m_state->counts.connected; });
    return m_state->counts;
}

} // namespace Lavenderloft::Bench
