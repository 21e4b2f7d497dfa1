"""Calls to the platform's store that keep track of its era."""

import dataclasses
import re

from skylarktack.coordination import forwarding

#: Header of all responses; it normally rises by one each time the store comes
#: back from a copy that lacks its last changes.
_ERA_HEADER = 'store-era'

#: Eras fit into the integers of datagrams between instances.
_ERA = re.compile(r'[0-9]{1,18}')


class TrackedStoreCalls:
    """Sends calls to the store and records the era of each response.

    A response of another era than the current one, from before a known
    restore or with an era that is not believed yet, counts as lost.
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
        call_number = self._era.begin_call()
        response = self._client.call(method, path, body, timeout_s)
        if isinstance(response, forwarding.ExchangeFault):
            return response
        reported = _era_in(response)
        if reported is None:
            return dataclasses.replace(response, era=self._era.current)
        era = self._era.record(reported, call_number)
        if era is None:
            return forwarding.ExchangeFault(
                forwarding.FaultKind.LOST,
                f'the response is of another era of the store, {reported}',
            )
        return dataclasses.replace(response, era=era)


def _era_in(response: forwarding.StoreResponse) -> int | None:
    """Return the era that a response reports, or None without a valid one."""
    for name, value in response.headers:
        if name == _ERA_HEADER and _ERA.fullmatch(value):
            return int(value)
    return None
