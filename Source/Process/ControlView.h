#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Process {

// Interface of the control plane to the rest of a process: the document in force and the known members.
// Thread-safe.
class ControlView {
public:
    virtual ~ControlView() = default;

    // The document in force; null until the first one is accepted.
    virtual std::shared_ptr<const DesiredState::Document> document() const = 0;

    // All known members that are not dead, including this process.
    virtual std::vector<Membership::Member> members() const = 0;

    virtual Membership::Member self() const = 0;

    // Whether this process may accept requests: since its start and its last pause, a peer has responded or the peer
    // query has finished.
    virtual bool isSynchronised() const = 0;

    // Publishes the load and the replicas of the target.
    virtual void publish(const Membership::TargetLoad&, const std::vector<Membership::Replica>&) = 0;

    // Publishes that this process no longer accepts requests.
    virtual void publishLeaving() = 0;

    // Registers a callback that runs on a thread of the control plane after each change of the document or the members.
    virtual void onChange(std::function<void()>) = 0;
};

} // namespace Lavenderloft::Process
