#pragma once

#include "Http/HttpMessage.h"
#include "Standin/VmListState.h"

#include <memory>

namespace Lavenderloft::Standin {

struct VmListOptions {
    Http::Endpoint listen { "127.0.0.1", 0 };
    // File with {"vms":[...]}; none if empty.
    std::string file;
    // Delay until a change is visible to readers.
    std::chrono::milliseconds lag { 0 };
};

// Stand-in for the platform's list of VMs.
class VmList {
public:
    // Throws std::runtime_error if the address cannot be bound or the file cannot be read.
    explicit VmList(VmListOptions);
    ~VmList();

    uint16_t port() const;

    void replace(std::vector<VmEntry>);

    // Returns false if no VM has this name.
    bool setState(const std::string& name, const std::string& state);

    void setLag(std::chrono::milliseconds);

    // While down, the service aborts every call.
    void setDown(bool);

private:
    class Server;
    std::shared_ptr<Server> m_server;
};

} // namespace Lavenderloft::Standin
