"""Ends the processes of each scenario."""

from typing import Any


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the deployment that the scenario started, if any."""
    deployment = getattr(context, 'deployment', None)
    if deployment is not None:
        deployment.stop()
