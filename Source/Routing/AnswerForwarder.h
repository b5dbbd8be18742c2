#pragma once

#include "Routing/ResponseWriter.h"
#include "Routing/RoutingContext.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace Lavenderloft::Routing {

// What a blocked stream holds beside the part that its caller has not taken: the transport's read
// buffers, of which a stream pins whole blocks, and the connection. In lavenderloft-bench slow-readers
// 1,000 blocked streams held 103 KB each, of which 16 KiB were the part.
inline constexpr uint64_t blockedStreamBytes = 88 * 1024;

// Passes the parts of one answer to its caller within the router's byte budget. Parts come one at a
// time. To be called without the lock of the request, but for `close`.
class AnswerForwarder final : public std::enable_shared_from_this<AnswerForwarder> {
public:
    AnswerForwarder(std::shared_ptr<RoutingContext>, std::string requestId, std::shared_ptr<ResponseWriter>);

    // Calls back as soon as the budget has room for what an open stream holds, and not at all if the answer
    // was closed before.
    void open(std::function<void()> opened);

    // Calls back once the caller has taken the part, and not at all if the answer was closed before.
    void forward(std::string bytes, std::function<void()> resume);

    // Tries again what waits for room in the budget.
    void retry();

    // Drops a part that waits and releases the budget.
    void close();

private:
    struct Part {
        std::string bytes;
        std::function<void()> resume;
    };

    // Cuts slow readers until the charge fits; false if it has to wait for readers that keep up.
    bool chargeBudget(const std::function<bool()>& charge);
    // False if the answer was closed meanwhile.
    bool markOpen();
    void waitToOpen(std::function<void()> opened);
    // Returns false if the stream does not wait to be opened.
    bool retryOpen();
    // Returns false if no part waits.
    bool retryWaitingPart();
    // Notes that the budget's list no longer holds the stream.
    bool takeFromList(bool& isListed);
    // Keeps a part until there is room; meanwhile the target's stream is not read.
    void waitForBudget(Part);
    void written(bool ok, const std::function<void()>& resume);

    const std::shared_ptr<RoutingContext> m_contextOwner;
    RoutingContext& m_context;
    const std::string m_requestId;
    const std::shared_ptr<ResponseWriter> m_sink;
    std::mutex m_lock;
    std::optional<Part> m_waitingPart;
    std::function<void()> m_waitingOpen;
    // Whether the budget is charged for the open stream.
    bool m_isOpen = false;
    // Whether the stream is in the budget's lists of waiting parts and of streams that wait to be opened.
    bool m_isPartListed = false;
    bool m_isOpenListed = false;
    bool m_isClosed = false;
};

} // namespace Lavenderloft::Routing
