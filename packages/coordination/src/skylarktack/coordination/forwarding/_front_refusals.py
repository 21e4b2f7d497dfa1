"""Refusals that the gateway makes itself, and when callers should return."""

from skylarktack.coordination.forwarding import _outcomes
from skylarktack.state import forwarding as data

#: Fraction of the caller's remaining time that is sent as Retry-After by an
#: instance whose configuration is missing or outdated, and the maximum of
#: that value. Callers wait for at most a third of their remaining time.
RETRY_AFTER_FRACTION = 0.28
MAX_RETRY_AFTER_S = 2.0

#: Time limit that is assumed of a caller that sent none.
DEFAULT_TIME_LIMIT_MS = 2000.0

#: Fraction of the latency objective that is sent as Retry-After by an
#: instance that is stopping, and the maximum of that value. The load balancer
#: takes up to two seconds to notice that instances stop, and the only retry
#: of a caller should not reach another stopping instance. The rest of the
#: objective is left for the prefill.
STOPPING_RETRY_AFTER_FRACTION = 0.45
MAX_STOPPING_RETRY_AFTER_S = 2.2


def caller_time_limit_s(request: data.FrontRequest) -> float:
    """Return the caller's time limit, an assumed one if it sent none."""
    limit_ms = request.time_limit_ms
    return (DEFAULT_TIME_LIMIT_MS if limit_ms is None else limit_ms) / 1000


def refusal_after_error(
    error: Exception,
    request: data.FrontRequest,
    trace: _outcomes.RequestTrace,
    queued_s: float,
) -> data.Refusal:
    """Return the refusal of a request that met an unexpected error."""
    detail = type(error).__name__
    if trace.has_sent:
        return data.Refusal(data.RefusalReason.INTERNAL_ERROR, detail=detail)
    return data.Refusal(
        data.RefusalReason.INTERNAL_ERROR_NOT_RUN,
        retry_after_s(request, queued_s),
        detail,
    )


def retry_after_s(request: data.FrontRequest, queued_s: float) -> float:
    """Return when a caller should return, by its remaining time."""
    wait_s = RETRY_AFTER_FRACTION * (caller_time_limit_s(request) - queued_s)
    return round(min(MAX_RETRY_AFTER_S, max(0.0, wait_s)), 3)


def outdated_refusal(delay_s: float, detail: str) -> data.Refusal:
    """Return the refusal for a configuration that may be out of date."""
    return data.Refusal(data.RefusalReason.NO_CONFIGURATION, delay_s, detail)


def stopping_refusal(route: data.ForwardingRoute) -> data.Refusal:
    """Return the refusal of an instance that is stopping."""
    objective_s = route.latency_objective_ms / 1000
    delay_s = min(
        MAX_STOPPING_RETRY_AFTER_S, STOPPING_RETRY_AFTER_FRACTION * objective_s
    )
    return data.Refusal(data.RefusalReason.STOPPING, round(delay_s, 3))
