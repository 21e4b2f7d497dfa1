"""Finds generations that other instances hold."""

import dataclasses

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _feed
from skylarktack.coordination.generation import _messages
from skylarktack.coordination.generation import _request_ids

#: Most peers asked for an identifier that names no instance.
ASKED_PEER_COUNT = 8

_Table = state.GenerationTable[_feed.GenerationPump]


@dataclasses.dataclass(frozen=True)
class PeerGeneration:
    """A generation as a peer holds it."""

    #: Its description, without tokens.
    part: _messages.ReadGenerationResponse

    #: All tokens that the peer holds.
    tokens: tuple[bytes, ...]


class PeerLookup:
    """Asks peers for generations and answers when they ask."""

    def __init__(
        self, network: ports.PeerNetwork, table: _Table, timeout_s: float
    ) -> None:
        self._network = network
        self._table = table
        self._timeout_s = timeout_s
        network.register_handler(
            _messages.ReadGenerationRequest, self._answer_read
        )
        network.register_handler(
            _messages.CancelGenerationRequest, self._answer_cancel
        )

    def find(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        take_over: bool,
        ask_any: bool,
    ) -> PeerGeneration | None:
        """Read a generation from the peer that holds it, if any does."""
        for peer in self._candidates(request_id, ask_any):
            found = self._read(peer, organisation, request_id, take_over)
            if found is not None:
                return found
        return None

    def cancel(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
    ) -> bool:
        """Cancel a generation on the peer that holds it."""
        for peer in self._candidates(request_id, True):
            answered = self._network.request(
                peer,
                _messages.CancelGenerationRequest(organisation, request_id),
                self._timeout_s,
            )
            if answered.is_error():
                continue
            answer = answered.ok
            if isinstance(answer, _messages.CancelGenerationResponse):
                if answer.known:
                    return True
        return False

    def _candidates(
        self, request_id: state.RequestId, ask_any: bool
    ) -> tuple[state.InstanceName, ...]:
        named = _request_ids.minting_instance(request_id)
        if named is not None:
            return () if named == self._network.name else (named,)
        if not ask_any:
            return ()
        found: list[state.InstanceName] = []
        for member in self._network.members():
            if member.name != self._network.name:
                found.append(member.name)
        return tuple(found[:ASKED_PEER_COUNT])

    def _read(
        self,
        peer: state.InstanceName,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        take_over: bool,
    ) -> PeerGeneration | None:
        tokens: list[bytes] = []
        while True:
            answered = self._network.request(
                peer,
                _messages.ReadGenerationRequest(
                    organisation, request_id, len(tokens), take_over
                ),
                self._timeout_s,
            )
            if answered.is_error():
                return None
            part = answered.ok
            if not isinstance(part, _messages.ReadGenerationResponse):
                return None
            if not part.known:
                return None
            tokens.extend(token.encode() for token in part.tokens)
            if not part.tokens or len(tokens) >= part.position:
                return PeerGeneration(
                    dataclasses.replace(part, tokens=()), tuple(tokens)
                )

    def _answer_read(
        self,
        source: state.InstanceName,
        message: _messages.ReadGenerationRequest,
    ) -> _messages.ReadGenerationResponse:
        pump = self._table.find(message.organisation, message.request_id)
        if pump is None or pump.record.is_unverified():
            return _messages.ReadGenerationResponse(known=False)
        record = pump.record
        if message.take_over and not record.is_ended:
            record.handover_requested = True
        tokens: list[str] = []
        size_bytes = 0
        held = record.tokens_from(message.from_position)
        for token in held:
            # An empty token takes room in the frame too.
            size_bytes += len(token) + 2
            if size_bytes > _messages.PART_LIMIT_BYTES:
                break
            tokens.append(token.decode())
        prompt: str | None = None
        if record.prompt_known:
            if len(record.request.prompt) * 4 < _messages.PROMPT_LIMIT_BYTES:
                prompt = record.request.prompt
        last = record.position
        return _messages.ReadGenerationResponse(
            known=True,
            route=record.request.route.name,
            prompt=prompt,
            max_tokens_count=record.request.max_tokens_count,
            accepts_restart=record.request.accepts_restart,
            tokens=tuple(tokens),
            position=message.from_position + len(held),
            attempt=record.attempt_at(last) if record.last_attempt else None,
            end=record.end,
        )

    def _answer_cancel(
        self,
        source: state.InstanceName,
        message: _messages.CancelGenerationRequest,
    ) -> _messages.CancelGenerationResponse:
        pump = self._table.find(message.organisation, message.request_id)
        if pump is None:
            return _messages.CancelGenerationResponse(known=False)
        cancel_pump(pump)
        return _messages.CancelGenerationResponse(known=True)


def cancel_pump(pump: _feed.GenerationPump) -> None:
    """Cancel a generation that this instance holds."""
    pump.record.cancel_requested = True
    pump.wake()
