"""Calls to the platform's store that keep track of its era."""

import dataclasses
import re

from skylarktack.coordination import forwarding

#: Header of all responses; it rises by one each time the store comes back
#: from a copy that lacks its last changes.
_ERA_HEADER = 'store-era'

#: Eras fit into the integers of datagrams between instances.
_ERA = re.compile(r'[0-9]{1,18}')


class TrackedStoreCalls:
    """Sends calls to the store and records the era of each response.

    A response from before a known restore does not describe the current
    store, so it counts as lost.
    """

    def __init__(
        self, client: forwarding.StoreClient, era: forwarding.StoreEra
    ) -> None:
        self._client = client
        self._era = era

    def call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> forwarding.StoreResponse | forwarding.ExchangeFault:
        """Send one call; see ``StoreClient``."""
        response = self._client.call(method, path, body, timeout_s)
        if isinstance(response, forwarding.ExchangeFault):
            return response
        era = _era_in(response)
        if era is None:
            return dataclasses.replace(response, era=self._era.current)
        self._era.record(era)
        if era < self._era.current:
            return forwarding.ExchangeFault(
                forwarding.FaultKind.LOST,
                'the response is from before the store was restored',
            )
        return dataclasses.replace(response, era=era)


def _era_in(response: forwarding.StoreResponse) -> int | None:
    """Return the era that a response reports, or None without a valid one."""
    for name, value in response.headers:
        if name == _ERA_HEADER and _ERA.fullmatch(value):
            return int(value)
    return None
