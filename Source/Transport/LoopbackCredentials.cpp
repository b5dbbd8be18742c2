#include "Transport/LoopbackCredentials.h"

#include "Json/TextChecks.h"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

namespace Lavenderloft::Transport {

std::shared_ptr<grpc::ServerCredentials> LoopbackCredentials::server() const
{
    return grpc::InsecureServerCredentials();
}

std::shared_ptr<grpc::ChannelCredentials> LoopbackCredentials::channel(const std::string& address) const
{
    if (!Json::isLoopbackAddress(address))
        return nullptr;
    return grpc::InsecureChannelCredentials();
}

} // namespace Lavenderloft::Transport
