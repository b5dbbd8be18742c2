#include "Transport/ControlServiceServer.h"

#include "Transport/ControlCodec.h"

#include "lavenderloft.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace Lavenderloft::Transport {

namespace proto = ::lavenderloft::v1;

class ControlServiceServer::Service final : public proto::ControlService::CallbackService {
public:
    explicit Service(Membership::ControlHandler& handler)
        : m_handler(handler)
    {
    }

    grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context, const proto::ExchangeRequest* request, proto::ExchangeResponse* response) override
    {
        encode(m_handler.exchange(decode(*request)), *response);
        return finish(context);
    }

    grpc::ServerUnaryReactor* GetDocument(grpc::CallbackServerContext* context, const proto::GetDocumentRequest* request, proto::GetDocumentResponse* response) override
    {
        auto reply = m_handler.documentFor(request->held_digest());
        response->set_document(std::move(reply.document));
        response->set_delta(std::move(reply.delta));
        response->set_document_digest(std::move(reply.digest));
        return finish(context);
    }

    grpc::ServerUnaryReactor* GetStatus(grpc::CallbackServerContext* context, const proto::GetStatusRequest*, proto::GetStatusResponse* response) override
    {
        auto status = m_handler.fleetStatus();
        encode(status.self, *response->mutable_self());
        for (auto& member : status.members)
            encode(member, *response->add_members());
        for (auto& report : status.poolReports)
            encode(report, *response->add_pool_reports());
        response->set_revision(status.revision);
        response->set_document_digest(status.documentDigest);
        response->set_refused_document(status.refusedDocument);
        response->set_confirmation_age_ms(static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(status.confirmationAge).count()));
        return finish(context);
    }

private:
    static grpc::ServerUnaryReactor* finish(grpc::CallbackServerContext* context)
    {
        auto* reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    Membership::ControlHandler& m_handler;
};

ControlServiceServer::ControlServiceServer(Membership::ControlHandler& handler)
    : m_service(std::make_unique<Service>(handler))
{
}

ControlServiceServer::~ControlServiceServer() = default;

grpc::Service& ControlServiceServer::service()
{
    return *m_service;
}

} // namespace Lavenderloft::Transport
