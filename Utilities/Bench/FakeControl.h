#pragma once

#include "Process/ControlView.h"

#include <mutex>

namespace Lavenderloft::Bench {

// A ControlView whose document and members are set by the caller.
class FakeControl final : public Process::ControlView {
public:
    explicit FakeControl(Membership::Member self);

    void setDocument(DesiredState::Document);
    void setMembers(std::vector<Membership::Member>);

    std::shared_ptr<const DesiredState::Document> document() const override;
    std::vector<Membership::Member> members() const override;
    Membership::Member self() const override { return m_self; }
    bool isSynchronised() const override { return true; }
    void publish(const Membership::TargetLoad&, const std::vector<Membership::Replica>&) override { }
    void publishLeaving() override;
    void onChange(std::function<void()>) override;

    bool isLeaving() const;

private:
    void notify();

    const Membership::Member m_self;
    mutable std::mutex m_lock;
    std::shared_ptr<const DesiredState::Document> m_document;
    std::vector<Membership::Member> m_members;
    std::vector<std::function<void()>> m_callbacks;
    bool m_leaving = false;
};

} // namespace Lavenderloft::Bench
