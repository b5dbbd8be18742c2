#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Process {

// What the parts of a process see of the control plane: the document in force and the members known.
// All calls may come from any thread.
class ControlView {
public:
    virtual ~ControlView() = default;

    // The document in force; null until the first one is accepted.
    virtual std::shared_ptr<const DesiredState::Document> document() const = 0;

    // All members known that are not dead, this process included.
    virtual std::vector<Membership::Member> members() const = 0;

    virtual Membership::Member self() const = 0;

    // Whether this process may take on work: it has heard a peer or the service since its start and since its last pause.
    virtual bool isSynchronised() const = 0;

    // Publishes what this process reports of its target.
    virtual void publish(const Membership::TargetLoad&, const std::vector<Membership::Replica>&) = 0;

    // Publishes that this process takes on no more work.
    virtual void publishLeaving() = 0;

    // Calls back, on a thread of the control plane, after each change of the document or the members.
    virtual void onChange(std::function<void()>) = 0;
};

} // namespace Lavenderloft::Process
