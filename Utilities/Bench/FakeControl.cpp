#include "Bench/FakeControl.h"

namespace Lavenderloft::Bench {

FakeControl::FakeControl(Membership::Member self)
    : m_self(std::move(self))
{
}

void FakeControl::setDocument(DesiredState::Document document)
{
    {
        std::lock_guard guard(m_lock);
        m_document = std::make_shared<const DesiredState::Document>(std::move(document));
    }
    notify();
}

void FakeControl::setMembers(std::vector<Membership::Member> members)
{
    {
        std::lock_guard guard(m_lock);
        m_members = std::move(members);
    }
    notify();
}

std::shared_ptr<const DesiredState::Document> FakeControl::document() const
{
    std::lock_guard guard(m_lock);
    return m_document;
}

std::vector<Membership::Member> FakeControl::members() const
{
    std::lock_guard guard(m_lock);
    return m_members;
}

void FakeControl::publishLeaving()
{
    std::lock_guard guard(m_lock);
    m_leaving = true;
}

bool FakeControl::isLeaving() const
{
    std::lock_guard guard(m_lock);
    return m_leaving;
}

void FakeControl::onChange(std::function<void()> callback)
{
    std::lock_guard guard(m_lock);
    m_callbacks.push_back(std::move(callback));
}

void FakeControl::notify()
{
    std::vector<std::function<void()>> callbacks;
    {
        std::lock_guard guard(m_lock);
        callbacks = m_callbacks;
    }
    for (auto& callback : callbacks)
        callback();
}

} // namespace Lavenderloft::Bench
