"""Fencing of leases over all eras of the store."""

from skylarktack import state

#: Bits below the era in a fencing number, which hold the wall clock time in
#: seconds. Takeovers are at least a lease time apart, so a number is unique
#: even if a writer that had not noticed a restore overwrote the last one.
ERA_SHIFT_BITS = 32


def next_fencing_number(previous: int, era: int, now_s: float) -> int:
    """Return a number that no other driver has had.

    In a restored store the previous number may be lower than one in use, so
    the numbers of an era exceed all of earlier ones.

    :param previous: number in the store, 0 if there is none.
    """
    if not era:
        return previous + 1
    return max(previous + 1, (era << ERA_SHIFT_BITS) + int(now_s))


def is_of_earlier_era(fencing_number: int, era: int) -> bool:
    """Return whether a lease was taken before the store was restored."""
    return fencing_number >> ERA_SHIFT_BITS < era


def quiet_until_s(
    settings: state.MoveSettings,
    previous: state.MoveLease | None,
    era: int,
    now_s: float,
) -> float:
    """Return until when a command of the previous holder may arrive.

    That holder sends no command that could outlive its lease. The timeout
    covers a command already in flight, the allowance covers clock skew.
    """
    number = 0 if previous is None else previous.fencing_number
    expires_s = 0.0 if previous is None else previous.expires_s
    if is_of_earlier_era(number, era):
        # The restored store may lack this lease or its last renewals.
        expires_s = max(expires_s, now_s + settings.lease_ms / 1000)
    elif previous is None:
        return 0.0
    return (
        expires_s
        + (settings.order_timeout_ms + settings.clock_allowance_ms) / 1000
    )
