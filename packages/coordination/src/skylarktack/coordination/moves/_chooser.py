"""Chooses the version of a request."""

import hashlib

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.moves import _loading
from skylarktack.coordination.moves import _table

_FRACTIONS = float(1 << 64)


class RouteVersionChooser:
    """Takes the version that the route names."""

    def version_for(
        self, route: state.Route, request_id: state.RequestId
    ) -> state.VersionName:
        """Return the version that serves the request."""
        return route.version


class MoveVersionChooser:
    """Splits a route's requests by a hash of the request id.

    The same request gets the same version on every instance while the share
    stands, and a request on the new version stays there when it rises.
    """

    def __init__(
        self,
        configuration: ports.ConfigurationSource,
        table: _table.MoveTable,
        directory: _loading.TargetDirectory,
    ) -> None:
        self._configuration = configuration
        self._table = table
        self._directory = directory

    def version_for(
        self, route: state.Route, request_id: state.RequestId
    ) -> state.VersionName:
        """Return the version that serves the request."""
        version = route.version
        # Completed moves chain until the document names the new version.
        for move in self._configuration.current().document.moves:
            if move.route != route.name or move.from_version != version:
                continue
            share = self._table.share(move.name)
            if share <= 0.0:
                continue
            if share < 1.0 and not self._directory.serving((move.to_version,)):
                # The platform's list lags behind the loads.
                continue
            if share >= 1.0 or request_fraction(move.name, request_id) < share:
                version = move.to_version
        return version


def request_fraction(move: str, request_id: state.RequestId) -> float:
    """Return the place of a request among all, from 0 to 1."""
    digest = hashlib.blake2b(
        request_id.encode(), digest_size=8, key=move.encode()[:64]
    )
    return int.from_bytes(digest.digest(), 'big') / _FRACTIONS
