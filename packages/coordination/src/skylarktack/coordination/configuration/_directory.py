"""Index of the active configuration by name and key."""

import dataclasses

from skylarktack import state
from skylarktack.coordination import ports


@dataclasses.dataclass(frozen=True)
class _Index:
    """Lookup tables of one revision."""

    position: state.ConfigurationPosition

    #: By the hexadecimal SHA-256 of each key of an organisation.
    organisations_by_key: dict[str, state.Organisation]

    routes: dict[str, state.Route]


class ConfigurationIndex:
    """Lookup tables of the active configuration.

    Built once for each revision; without them, each request would scan up to
    13,000 organisations.
    """

    def __init__(self, source: ports.ConfigurationSource) -> None:
        self._source = source
        self._index = _Index(state.ConfigurationPosition(0, -1), {}, {})

    def organisation_by_key(
        self, key_sha256: str
    ) -> state.Organisation | None:
        """Return the organisation that owns a key; None if it is unknown."""
        return self._current().organisations_by_key.get(key_sha256)

    def route(self, name: str) -> state.Route | None:
        """Return a route by name; None if it is unknown."""
        return self._current().routes.get(name)

    def _current(self) -> _Index:
        active = self._source.current()
        index = self._index
        if index.position == active.position:
            return index
        # Two threads may both build the index; the results are equal.
        organisations: dict[str, state.Organisation] = {}
        for organisation in active.document.organisations:
            for key_hash in organisation.key_sha256:
                organisations[key_hash] = organisation
        index = _Index(
            active.position,
            organisations,
            {route.name: route for route in active.document.routes},
        )
        self._index = index
        return index
