"""Which responses state that a target has not executed a request."""

from skylarktack.state import forwarding as data

FIRST_CLIENT_ERROR_STATUS = 400

#: Status of a target that is not the one to which the request was sent.
MISDIRECTED_STATUS = 421

#: Statuses that report to a caller that its request was not executed.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


def is_refusal(head: data.ResponseHead, request: data.FrontRequest) -> bool:
    """Return whether a target surely has not executed this request.

    A response that does not name the request may be one that the target gave
    to an earlier request, so it says nothing about this one.
    """
    return (
        head.is_not_executed
        and head.status >= FIRST_CLIENT_ERROR_STATUS
        and (head.attempt_id or '') == request.attempt_id
    )


def may_reach_caller(head: data.ResponseHead) -> bool:
    """Return whether a response to an executed request may be passed on.

    To a caller these statuses promise that the request was not executed.
    """
    return (
        not head.is_not_executed and head.status not in NOT_EXECUTED_STATUSES
    )
