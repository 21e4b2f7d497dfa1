"""Finds parts of the configuration in effect by name."""

import dataclasses

from skylarktack import state
from skylarktack.coordination import ports


@dataclasses.dataclass(frozen=True)
class _Index:
    """Tables of one revision."""

    #: Revision that the tables were made from.
    revision: int

    #: Organisations by the SHA-256 of each of their keys.
    organisations_by_key: dict[str, state.Organisation]

    #: Routes by name.
    routes: dict[str, state.Route]


class ConfigurationIndex:
    """Tables by name, made once for each revision.

    A request would otherwise walk through 13,000 organisations.
    """

    def __init__(self, source: ports.ConfigurationSource) -> None:
        self._source = source
        self._index = _Index(-1, {}, {})

    def organisation_by_key(
        self, key_sha256: str
    ) -> state.Organisation | None:
        """Return the organisation that a key belongs to, or None."""
        return self._current().organisations_by_key.get(key_sha256)

    def route(self, name: str) -> state.Route | None:
        """Return a route by name, or None."""
        return self._current().routes.get(name)

    def _current(self) -> _Index:
        active = self._source.current()
        index = self._index
        if index.revision == active.revision:
            return index
        # Two threads may both make the tables; either result is right.
        organisations: dict[str, state.Organisation] = {}
        for organisation in active.document.organisations:
            for hashed in organisation.key_sha256:
                organisations[hashed] = organisation
        index = _Index(
            active.revision,
            organisations,
            {route.name: route for route in active.document.routes},
        )
        self._index = index
        return index
