#pragma once

#include "Routing/ResponseWriter.h"
#include "Routing/RoutingContext.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace Lavenderloft::Routing {

// Memory of a blocked stream besides the part that is being written: the transport's read buffers, which
// are allocated in whole blocks, and the connection. In lavenderloft-bench slow-readers, 1,000 blocked
// streams used 103 KB each, 16 KiB of it for the part.
inline constexpr uint64_t blockedStreamBytes = 88 * 1024;

// Forwards the parts of one response, one at a time, to its caller within the router's byte budget. Only
// `close` may be called while the request's lock is held.
class ResponseForwarder final : public std::enable_shared_from_this<ResponseForwarder> {
public:
    ResponseForwarder(std::shared_ptr<RoutingContext>, std::string requestId, std::shared_ptr<ResponseWriter>);

    // Calls `opened` once the budget has room for an open stream, and never if `close` comes first.
    void open(std::function<void()> opened);

    // Calls `resume` once the part has been written to the caller, and never if `close` comes first.
    void forward(std::string bytes, std::function<void()> resume);

    // Retries whatever waits for the budget.
    void retry();

    // Discards a waiting part and releases the budget.
    void close();

private:
    struct Part {
        std::string bytes;
        std::function<void()> resume;
    };

    // Aborts slow readers until the charge fits. Returns false if no slow reader is left to abort.
    bool chargeBudget(const std::function<bool()>& charge);
    // Returns false if the forwarder has been closed in the meantime.
    bool markOpen();
    void waitToOpen(std::function<void()> opened);
    // Returns false if no open is pending.
    bool retryOpen();
    // Returns false if no part is waiting.
    bool retryWaitingPart();
    // Clears the flag and returns its previous value.
    bool clearQueued(bool& isQueued);
    // Holds the part until the budget has room. The target's stream is not read in the meantime.
    void waitForBudget(Part);
    void written(bool ok, const std::function<void()>& resume);

    const std::shared_ptr<RoutingContext> m_contextOwner;
    RoutingContext& m_context;
    const std::string m_requestId;
    const std::shared_ptr<ResponseWriter> m_writer;
    std::mutex m_lock;
    std::optional<Part> m_waitingPart;
    std::function<void()> m_waitingOpen;
    // Whether the budget has been charged for the open stream.
    bool m_isOpen = false;
    // Whether the stream is in the budget's queues of waiting parts and of streams to be opened.
    bool m_isPartQueued = false;
    bool m_isOpenQueued = false;
    bool m_isClosed = false;
};

} // namespace Lavenderloft::Routing
