#include "Http/IoContextPool.h"

#include <algorithm>

namespace Lavenderloft::Http {

IoContextPool::IoContextPool(unsigned count)
{
    for (unsigned i = 0; i < std::max(count, 1u); ++i)
        m_workers.push_back(std::make_unique<Worker>());
}

IoContextPool::~IoContextPool()
{
    stop();
    for (auto& thread : m_threads)
        thread.join();
}

void IoContextPool::run()
{
    for (size_t i = 1; i < m_workers.size(); ++i)
        m_threads.emplace_back([worker = m_workers[i].get()] { worker->context.run(); });
    m_workers.front()->context.run();
}

void IoContextPool::stop()
{
    for (auto& worker : m_workers)
        worker->context.stop();
}

} // namespace Lavenderloft::Http
