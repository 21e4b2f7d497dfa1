"""Table of the message types exchanged between entry instances.

Each package of the coordination layer defines its messages as frozen data
classes and registers them here. The meaning of a tag never changes, because
other releases decode by it.
"""

from skylarktack import state
from skylarktack.coordination import generation
from skylarktack.coordination import membership
from skylarktack.coordination import once
from skylarktack.coordination import routing
from skylarktack.protocol import _peer_session

#: Message type by the tag in its frames.
PEER_MESSAGES: dict[str, type] = {
    'configuration.offer': state.ConfigurationOffer,
    'configuration.fetch': state.ConfigurationFetch,
    'configuration.answer': state.ConfigurationResponse,
    'status.request': state.StatusRequest,
    'status.answer': state.InstanceStatus,
    'peer.hello': _peer_session.PeerHello,
    'peer.challenge': _peer_session.PeerChallenge,
    'peer.proof': _peer_session.PeerProof,
    'peer.refusal': _peer_session.PeerRefusal,
    'peer.done': _peer_session.PeerDone,
    'member.join': membership.Join,
    'member.joined': membership.JoinResponse,
    'member.probe': membership.Probe,
    'member.probed': membership.ProbeResponse,
    'member.relay': membership.IndirectProbe,
    'member.relayed': membership.IndirectProbeResponse,
    'member.news': membership.MembershipUpdates,
    'member.exchange': membership.Exchange,
    'generation.read': generation.ReadGenerationRequest,
    'generation.part': generation.ReadGenerationResponse,
    'generation.cancel': generation.CancelGenerationRequest,
    'generation.cancelled': generation.CancelGenerationResponse,
    'claim-forward': once.ClaimForwardRequest,
    'claim-forwarded': once.ClaimForwardResponse,
    'target-leaving': routing.TargetLeaving,
    'moves.evidence': state.EvidenceReport,
    'moves.notice': state.MoveNotice,
    'moves.stop': state.MoveStop,
}
