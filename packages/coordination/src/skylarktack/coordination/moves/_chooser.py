"""Chooses the version of a request when no move is under way."""

from skylarktack import state


class RouteVersionChooser:
    """Takes the version that the route names."""

    def version_for(
        self, route: state.Route, request_id: state.RequestId
    ) -> state.VersionName:
        """Return the version that serves the request."""
        return route.version
