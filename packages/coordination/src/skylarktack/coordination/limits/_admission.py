"""Admission without limits."""

from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports


class UnlimitedPermit:
    """A permit that holds nothing."""

    def release(self) -> None:
        """Do nothing."""


class UnlimitedAdmission:
    """Admits every request at once."""

    def admit(
        self, organisation: state.Organisation, route: state.Route
    ) -> Result[ports.Permit, state.Refusal]:
        """Return a permit."""
        return Ok(UnlimitedPermit())
