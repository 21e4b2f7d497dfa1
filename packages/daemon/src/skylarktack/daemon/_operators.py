"""Operator endpoints for unknown calls and for routing."""

import dataclasses
import json

from skylarktack import transport
from skylarktack.coordination import once
from skylarktack.coordination import routing


class UnknownCallsExtension:
    """Lists calls whose outcome is unknown, and settles them."""

    def __init__(self, calls: once.UnknownCalls) -> None:
        self._calls = calls

    @property
    def prefix(self) -> str:
        """Path below ``/operator/`` that the extension serves."""
        return 'unknown-calls'

    def answer(
        self, method: str, query: dict[str, str], body: bytes
    ) -> transport.OperatorAnswer:
        """Handle GET (list) or POST (settle)."""
        if method == 'GET':
            return self._list()
        if method == 'POST':
            return self._settle(body)
        return transport.json_error(405, 'method', 'Use GET or POST.')

    def _list(self) -> transport.OperatorAnswer:
        listed = self._calls.list_unresolved()
        if listed.is_error():
            return transport.json_error(
                503, 'store_unavailable', 'The object API cannot be reached.'
            )
        rows: list[dict[str, object]] = []
        for record in listed.ok:
            rows.append(
                {
                    'organisation': record.key.organisation,
                    'key': record.key.key,
                    'claim_id': record.claim_id,
                    'phase': record.phase.value,
                    'changed_s': record.changed_s,
                    'note': record.note,
                }
            )
        return transport.json_answer({'calls': rows})

    def _settle(self, body: bytes) -> transport.OperatorAnswer:
        try:
            settlement = once.Settlement(**json.loads(body))
        except (ValueError, TypeError, RecursionError):
            return transport.json_error(
                400,
                'bad_request',
                'organisation, key, claim_id, ran and operator are required.',
            )
        settled = self._calls.settle(settlement)
        if settled.is_error():
            status = 409
            if settled.error.retry_after_ms is not None:
                status = 503
            return transport.json_error(
                status, settled.error.code.value, settled.error.message
            )
        return transport.json_answer({'phase': settled.ok.phase.value})


class RouteExplainExtension:
    """Shows which target a request of a route would be sent to."""

    def __init__(self, explainer: routing.RouteExplainer) -> None:
        self._explainer = explainer

    @property
    def prefix(self) -> str:
        """Path below ``/operator/`` that the extension serves."""
        return 'route-explain'

    def answer(
        self, method: str, query: dict[str, str], body: bytes
    ) -> transport.OperatorAnswer:
        """Return the explanation for the query's route and prompt."""
        explained = self._explainer.explain(
            query.get('route', ''), query.get('prompt', '')
        )
        if explained is None:
            return transport.json_error(404, 'unknown_route', 'No such route.')
        return transport.json_answer(dataclasses.asdict(explained))
