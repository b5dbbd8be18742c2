#include "Http/IoContextPool.h"

#include "Http/EventLoop.h"

#include <algorithm>

namespace Lavenderloft::Http {

IoContextPool::IoContextPool(unsigned count)
{
    for (unsigned i = 0; i < std::max(count, 1u); ++i)
        m_loops.push_back(std::make_unique<EventLoop>());
}

IoContextPool::~IoContextPool()
{
    stop();
    for (auto& thread : m_threads)
        thread.join();
}

void IoContextPool::run()
{
    for (size_t i = 1; i < m_loops.size(); ++i)
        m_threads.emplace_back([loop = m_loops[i].get()] { runEventLoop(loop->context); });
    runEventLoop(m_loops.front()->context);
}

void IoContextPool::stop()
{
    for (auto& loop : m_loops)
        loop->context.stop();
}

} // namespace Lavenderloft::Http
