#include "Http/WorkerPool.h"

#include <algorithm>

namespace Lavenderloft::Http {

WorkerPool::WorkerPool(unsigned count)
{
    for (unsigned i = 0; i < std::max(count, 1u); ++i)
        m_workers.push_back(std::make_unique<Worker>());
}

WorkerPool::~WorkerPool()
{
    stop();
    for (auto& thread : m_threads)
        thread.join();
}

void WorkerPool::run()
{
    for (size_t i = 1; i < m_workers.size(); ++i)
        m_threads.emplace_back([worker = m_workers[i].get()] { worker->context.run(); });
    m_workers.front()->context.run();
}

void WorkerPool::stop()
{
    for (auto& worker : m_workers)
        worker->context.stop();
}

} // namespace Lavenderloft::Http
