"""Selection of the version that serves a request."""

import hashlib

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.moves import _loading
from skylarktack.coordination.moves import _table

_HASH_RANGE = float(1 << 64)


class RouteVersionChooser:
    """Selects the version named in the route, ignoring moves."""

    def version_for(
        self, route: state.Route, request_id: state.RequestId
    ) -> state.VersionName:
        """Return the version that serves the request."""
        return route.version


class MoveVersionChooser:
    """Splits the requests of a route by a hash of the request id.

    All instances select the same version for a request at a given share, and
    a request that selects the new version still does at a higher share.
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
        # Completed moves are applied in sequence until the configuration
        # itself names the new version.
        for move in self._configuration.current().document.moves:
            if move.route != route.name or move.from_version != version:
                continue
            share = self._table.share(move.name)
            if share <= 0.0:
                continue
            if share < 1.0 and not self._directory.serving((move.to_version,)):
                # No target is listed with the new version yet: the platform's
                # list lags behind the loads.
                continue
            if share >= 1.0 or request_fraction(move.name, request_id) < share:
                version = move.to_version
        return version


def request_fraction(move: str, request_id: state.RequestId) -> float:
    """Return the hash of a request for a move, scaled to [0, 1)."""
    digest = hashlib.blake2b(
        request_id.encode(), digest_size=8, key=move.encode()[:64]
    )
    return int.from_bytes(digest.digest(), 'big') / _HASH_RANGE
