"""Typed errors that travel between the layers."""

import dataclasses
import enum


class RunState(enum.Enum):
    """Whether a request was run by a target."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class RefusalCode(enum.Enum):
    """Reasons for which a request ends without its answer."""

    BAD_REQUEST = 'bad_request'
    UNAUTHORISED = 'unauthorised'
    FORBIDDEN = 'forbidden'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_REQUEST = 'unknown_request'
    BODY_TOO_LARGE = 'body_too_large'
    KEY_REQUIRED = 'idempotency_key_required'
    KEY_CONFLICT = 'idempotency_key_conflict'
    LIMIT_REACHED = 'limit_reached'
    QUEUE_DEADLINE = 'queue_deadline'
    NO_TARGET = 'no_target'
    STORE_UNAVAILABLE = 'store_unavailable'
    NOT_READY = 'not_ready'
    STOPPING = 'stopping'
    RETRY_BUDGET = 'retry_budget_exhausted'
    TARGET_FAILED = 'target_failed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    ANSWER_EXPIRED = 'answer_expired'
    DIVERGED = 'continuation_diverged'
    CANCELLED = 'cancelled'
    CONFLICT = 'revision_conflict'
    INVALID = 'invalid_document'
    INTERNAL = 'internal'


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The typed end of a request that brings no complete answer."""

    #: Machine-readable reason.
    code: RefusalCode

    #: One sentence for people.
    message: str

    #: Whether a target ran the request.
    run: RunState

    #: Delay after which a retry makes sense, or None if it does not.
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Finding:
    """One fault in a document or settings file, with its place."""

    #: Path of the faulty value, such as ``routes[2].kind``.
    place: str

    #: One sentence that says what is wrong.
    message: str
