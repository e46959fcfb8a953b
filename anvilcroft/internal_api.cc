#include "anvilcroft/internal_api.h"

#include <string>
#include <utility>

#include "anvilcroft/lease_peers.h"
#include "anvilcroft/owner_handover.h"
#include "anvilcroft/permit_message.h"
#include "anvilcroft/process_stats.h"

namespace anvilcroft {

void InternalApi::Handle(Task& task, const HttpRequest& request, HttpReply& reply) {
  if (TargetRelay::IsRelayed(request)) {
    this->parts.relay.Handle(task, request, reply);
    return;
  }
  if (request.Path() == LeasePeers::kOfferPath) {
    this->HandleLeaseOffer(task, request, reply);
    return;
  }
  if (const auto answer = this->parts.slices.HandlePeer(task, request, this->parts.stopping())) {
    reply.Send(task, *answer);
    return;
  }
  if (request.Path() == RequestLimiter::kPath) {
    const auto answer = this->parts.limiter.HandleRequest(request.Body(), SteadyNow());
    reply.Send(task, answer ? HttpResponse::Builder().SetBody(EncodePermitAnswer(*answer)).Build()
                            : ErrorResponse(answer.error()));
    return;
  }
  if (request.Path() == ConfigPeers::kPath) {
    reply.Send(task, this->parts.config.Answer(request));
    return;
  }
  if (request.Path() == LeasePeers::kPath) {
    reply.Send(task, JsonResponse(200, EncodeOwner(this->parts.lease.LastRecord())));
    return;
  }
  reply.Send(task, HttpResponse::Builder()
                       .SetHeader("Content-Type", "text/plain; version=0.0.4")
                       .SetBody(this->parts.metrics.Render() + ReadProcessStats().Render())
                       .Build());
}

void InternalApi::HandleLeaseOffer(Task& task, const HttpRequest& request, HttpReply& reply) {
  auto handover = DecodeHandover(request.Body());
  if (!handover) {
    reply.Send(task, ErrorResponse(handover.error()));
    return;
  }
  this->parts.owner.AddHandedTexts(std::move(handover->texts), SteadyNow());
  const HandoverAnswer answer = this->parts.stopping()
                                    ? HandoverAnswer::kDeclined
                                    : this->parts.lease.Accept(task, handover->record);
  reply.Send(task, JsonResponse(HandoverStatus(answer), "{}"));
}

}  // namespace anvilcroft
