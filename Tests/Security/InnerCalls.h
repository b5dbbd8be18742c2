#pragma once

#include "Security/SecureAgent.h"
#include "Transport/WeightMessages.h"

#include "lavenderloft.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <map>

namespace Lavenderloft::Testing {

// Status code of each call to the inner port's services, by method name.
using CallOutcomes = std::map<std::string, grpc::StatusCode>;

// Calls each method of the inner port's services once, using the given credentials.
class InnerCalls {
public:
    InnerCalls(const std::string& address, const std::shared_ptr<grpc::ChannelCredentials>& credentials)
        : m_channel(grpc::CreateCustomChannel(address, credentials, arguments()))
    {
    }

    CallOutcomes makeAll()
    {
        auto control = protocol::ControlService::NewStub(m_channel);
        auto weights = protocol::WeightService::NewStub(m_channel);
        auto target = protocol::TargetService::NewStub(m_channel);
        CallOutcomes outcomes;
        outcomes["Exchange"] = unary<protocol::ExchangeRequest, protocol::ExchangeResponse>([&](auto* context, auto& request, auto* response) { return control->Exchange(context, request, response); });
        outcomes["GetDocument"] = unary<protocol::GetDocumentRequest, protocol::GetDocumentResponse>([&](auto* context, auto& request, auto* response) { return control->GetDocument(context, request, response); });
        outcomes["GetStatus"] = getStatus();
        outcomes["GetManifest"] = unary<protocol::GetManifestRequest, protocol::GetManifestResponse>([&](auto* context, auto& request, auto* response) { return weights->GetManifest(context, request, response); });
        outcomes["GetHoldings"] = unary<protocol::GetHoldingsRequest, protocol::GetHoldingsResponse>([&](auto* context, auto& request, auto* response) { return weights->GetHoldings(context, request, response); });
        outcomes["FetchChunk"] = fetchChunk(*weights);
        outcomes["Execute"] = execute(*target);
        outcomes["ResolveAttempt"] = unary<protocol::ResolveAttemptRequest, protocol::ResolveAttemptResponse>([&](auto* context, auto& request, auto* response) { return target->ResolveAttempt(context, request, response); });
        return outcomes;
    }

    grpc::StatusCode getStatus()
    {
        auto control = protocol::ControlService::NewStub(m_channel);
        return unary<protocol::GetStatusRequest, protocol::GetStatusResponse>([&](auto* context, auto& request, auto* response) { return control->GetStatus(context, request, response); });
    }

    std::unique_ptr<protocol::TargetService::Stub> targetStub() { return protocol::TargetService::NewStub(m_channel); }

    std::string fetchedBytes;

private:
    static grpc::ChannelArguments arguments()
    {
        grpc::ChannelArguments arguments;
        // Channels must not share connections; otherwise a refused handshake could go unnoticed.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        return arguments;
    }

    // Stops a call that hangs. A refused connection fails much sooner.
    static void setDeadline(grpc::ClientContext& context) { context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(60)); }

    template <typename Request, typename Response, typename Call>
    static grpc::StatusCode unary(Call call)
    {
        grpc::ClientContext context;
        setDeadline(context);
        Request request;
        Response response;
        return call(&context, request, &response).error_code();
    }

    grpc::StatusCode fetchChunk(protocol::WeightService::Stub& stub)
    {
        grpc::ClientContext context;
        setDeadline(context);
        protocol::FetchChunkRequest request;
        request.set_chunk_digest(Transport::encodeDigest(SecureAgent::chunkDigest));
        auto reader = stub.FetchChunk(&context, request);
        protocol::ChunkPart part;
        while (reader->Read(&part))
            fetchedBytes += part.bytes();
        return reader->Finish().error_code();
    }

    static grpc::StatusCode execute(protocol::TargetService::Stub& stub)
    {
        grpc::ClientContext context;
        setDeadline(context);
        auto stream = stub.Execute(&context);
        protocol::ExecuteRequest request;
        *request.mutable_admit() = RouterCall::makeAdmit("attempt", "", 1);
        stream->Write(request);
        protocol::ExecuteResponse response;
        bool isPermitted = stream->Read(&response) && response.has_permit();
        context.TryCancel();
        auto status = stream->Finish().error_code();
        return isPermitted ? grpc::StatusCode::OK : status;
    }

    std::shared_ptr<grpc::Channel> m_channel;
};

} // namespace Lavenderloft::Testing
