"""Finds generations on other instances."""

import dataclasses

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _messages
from skylarktack.coordination.generation import _request_ids
from skylarktack.coordination.generation import _subscription

#: Maximum peers queried for a request id that contains no instance name.
MAX_QUERIED_PEERS = 8

_Table = state.GenerationTable[_subscription.SharedGeneration]


@dataclasses.dataclass(frozen=True)
class PeerGeneration:
    """A generation as read from a peer."""

    #: Response of the peer, with the tokens removed.
    response: _messages.ReadGenerationResponse

    #: All tokens that the peer has.
    tokens: tuple[bytes, ...]


class PeerLookup:
    """Queries peers for generations and answers their queries."""

    def __init__(
        self, network: ports.PeerNetwork, table: _Table, timeout_s: float
    ) -> None:
        self._network = network
        self._table = table
        self._timeout_s = timeout_s
        network.register_handler(
            _messages.ReadGenerationRequest, self._on_read
        )
        network.register_handler(
            _messages.CancelGenerationRequest, self._on_cancel
        )

    def find(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        take_over: bool,
        query_any_peer: bool,
    ) -> PeerGeneration | None:
        """Read a generation from a peer that has it.

        :param take_over: whether the peer hands its attempt over.
        :param query_any_peer: whether to query arbitrary peers if the request
            id names no instance.
        """
        for peer in self._candidates(request_id, query_any_peer):
            found = self._read(peer, organisation, request_id, take_over)
            if found is not None:
                return found
        return None

    def cancel(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
    ) -> bool:
        """Cancel a generation on a peer; return whether one had it."""
        for peer in self._candidates(request_id, True):
            result = self._network.request(
                peer,
                _messages.CancelGenerationRequest(organisation, request_id),
                self._timeout_s,
            )
            if result.is_error():
                continue
            response = result.ok
            if isinstance(response, _messages.CancelGenerationResponse):
                if response.known:
                    return True
        return False

    def _candidates(
        self, request_id: state.RequestId, query_any_peer: bool
    ) -> tuple[state.InstanceName, ...]:
        issuer = _request_ids.issuing_instance(request_id)
        if issuer is not None:
            return () if issuer == self._network.name else (issuer,)
        if not query_any_peer:
            return ()
        found: list[state.InstanceName] = []
        for member in self._network.members():
            if member.name != self._network.name:
                found.append(member.name)
        return tuple(found[:MAX_QUERIED_PEERS])

    def _read(
        self,
        peer: state.InstanceName,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        take_over: bool,
    ) -> PeerGeneration | None:
        tokens: list[bytes] = []
        while True:
            result = self._network.request(
                peer,
                _messages.ReadGenerationRequest(
                    organisation, request_id, len(tokens), take_over
                ),
                self._timeout_s,
            )
            if result.is_error():
                return None
            response = result.ok
            if not isinstance(response, _messages.ReadGenerationResponse):
                return None
            if not response.known:
                return None
            tokens.extend(token.encode() for token in response.tokens)
            if not response.tokens or len(tokens) >= response.position:
                return PeerGeneration(
                    dataclasses.replace(response, tokens=()), tuple(tokens)
                )

    def _on_read(
        self,
        source: state.InstanceName,
        message: _messages.ReadGenerationRequest,
    ) -> _messages.ReadGenerationResponse:
        generation = self._table.find(message.organisation, message.request_id)
        if generation is None or generation.record.is_unverified():
            return _messages.ReadGenerationResponse(known=False)
        record = generation.record
        if message.take_over and not record.is_ended:
            record.handover_requested = True
        tokens: list[str] = []
        size_bytes = 0
        available_tokens = record.tokens_from(message.from_position)
        for token in available_tokens:
            # Even an empty token takes space in the frame.
            size_bytes += len(token) + 2
            if size_bytes > _messages.MAX_RESPONSE_TEXT_BYTES:
                break
            tokens.append(token.decode())
        prompt: str | None = None
        if record.prompt_known:
            if len(record.request.prompt) * 4 < _messages.MAX_PROMPT_BYTES:
                prompt = record.request.prompt
        position = record.position
        return _messages.ReadGenerationResponse(
            known=True,
            route=record.request.route.name,
            prompt=prompt,
            max_tokens_count=record.request.max_tokens_count,
            accepts_restart=record.request.accepts_restart,
            tokens=tuple(tokens),
            position=message.from_position + len(available_tokens),
            attempt=record.attempt_at(position)
            if record.last_attempt
            else None,
            end=record.end,
        )

    def _on_cancel(
        self,
        source: state.InstanceName,
        message: _messages.CancelGenerationRequest,
    ) -> _messages.CancelGenerationResponse:
        generation = self._table.find(message.organisation, message.request_id)
        if generation is None:
            return _messages.CancelGenerationResponse(known=False)
        cancel_generation(generation)
        return _messages.CancelGenerationResponse(known=True)


def cancel_generation(generation: _subscription.SharedGeneration) -> None:
    """Cancel a generation of this instance."""
    generation.record.cancel_requested = True
    generation.cancel_now()
