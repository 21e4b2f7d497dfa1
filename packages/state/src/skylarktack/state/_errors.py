"""Typed errors shared by the layers."""

import dataclasses
import enum


class RunState(enum.Enum):
    """Whether a target executed a request."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class RefusalCode(enum.Enum):
    """Why a request ends without a complete response."""

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
    """Typed error response to a request."""

    code: RefusalCode

    #: Human-readable description.
    message: str

    #: Whether a target executed the request.
    run: RunState

    #: Recommended delay before a retry; None if a retry cannot succeed.
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Finding:
    """One validation error in a document or settings file."""

    #: Path of the invalid value, such as ``routes[2].kind``.
    place: str

    #: Human-readable description of the error.
    message: str
