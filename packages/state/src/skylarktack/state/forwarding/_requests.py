"""Requests and responses that pass through an instance."""

import dataclasses
import enum

from skylarktack.state._addresses import Address
from skylarktack.state.forwarding._targets import ListedTarget
from skylarktack.state.forwarding._targets import TargetLoad

#: Status of a response whose body may be a stream of events.
OK_STATUS = 200

FIRST_REDIRECTION_STATUS = 300

#: Header fields in their original order, as raw bytes.
Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """Request line and header fields as received."""

    method: bytes

    #: Path and query.
    target: bytes

    headers: Headers


@dataclasses.dataclass(frozen=True)
class RequestMessage:
    """A complete request that an instance itself makes of a target."""

    method: bytes

    #: Path and query.
    target: bytes

    #: Header fields but those for message framing.
    headers: Headers

    #: Empty for a request without a body.
    body: bytes


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    #: Identifier of the part, equal in all requests that share it.
    part_id: str

    token_count: int


@dataclasses.dataclass(frozen=True)
class FrontRequest:
    """Parsed request of a caller; each attempt of a caller is one."""

    #: Unique identifier of the attempt; empty if the caller sent none.
    attempt_id: str

    method: bytes

    #: Path and query, unchanged.
    path: bytes

    #: Requested host, in lower case and without a port.
    host: str

    #: Header fields that are forwarded unchanged.
    headers: Headers

    body: bytes

    #: Whether the request has a body, even an empty one.
    has_body: bool

    #: Time limit of the caller; None if it sent none.
    time_limit_ms: float | None

    #: Secret API key of the caller, or None.
    key: str | None

    #: Id of the last event that the caller has received, or None.
    last_event_id: int | None

    #: Requested model, or None.
    model: str | None

    #: Parts of the prompt in order.
    prompt_parts: tuple[PromptPart, ...]

    #: Size of the prompt and maximum size of the output.
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True)
class RunCopy:
    """A copy of a run's KV cache from which the run can go on."""

    #: Engine that holds it.
    engine: ListedTarget

    #: Engine from which it was copied and its handle there. Both are None for
    #: the copy that the run's engine keeps at its standby by itself.
    source: Address | None = None
    handle: str | None = None


@dataclasses.dataclass(frozen=True)
class CopyOrder:
    """Asks an engine to copy one of its runs to another engine."""

    #: Engine that executes the run.
    engine: ListedTarget

    #: Attempt of the caller to which the run belongs.
    attempt_id: str

    #: Engine that is to hold the copy.
    destination: Address


@dataclasses.dataclass(frozen=True)
class DispatchContext:
    """Context that the instance adds when it dispatches a request."""

    target: ListedTarget

    #: Organisation of the caller; None on an anonymous route.
    organisation: str | None

    #: Remaining time for the target; None if there is no limit.
    time_left_ms: float | None

    #: Id of the last event that the caller has received, or None.
    last_event_id: int | None = None

    #: Engine that is to keep a standby copy of the run's KV cache, or None.
    standby: Address | None = None

    #: Copy from which the target is to go on with the run, or None.
    copy: RunCopy | None = None

    #: Whether a successful response is a stream, relayed as it arrives.
    is_stream: bool = False

    #: Order in which engines admit and preempt runs, from 0, first, to 9;
    #: None to leave it to them.
    priority: int | None = None

    @property
    def from_copy(self) -> bool:
        """Whether the run goes on from a copy of its KV cache."""
        return self.copy is not None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and header fields of a target's response."""

    status: int

    #: Header fields that are forwarded to the caller.
    headers: Headers

    #: Attempt identifier in the response, or None.
    attempt_id: str | None

    #: Whether the response has the signature of a target.
    is_signed: bool

    #: Whether the target declares that it has not executed the request.
    is_not_executed: bool

    #: Whether the body has a content encoding, which targets never apply.
    is_encoded: bool

    #: Load reported by the target, or None.
    load: TargetLoad | None

    #: Whether the target says that it is about to stop.
    is_leaving: bool = False

    #: Time for which a target that refuses wants no requests, or None.
    retry_after_s: float | None = None

    #: Whether the body is declared to be something else than events.
    has_other_content: bool = False

    #: Whether the body has neither a length nor chunks.
    ends_with_connection: bool = False

    #: Start of a load header that has an unusable figure; None if the header
    #: is usable or missing.
    load_defect: str | None = None

    @property
    def is_success(self) -> bool:
        """Whether the target declares that it executed the request well."""
        return OK_STATUS <= self.status < FIRST_REDIRECTION_STATUS

    @property
    def is_relayable(self) -> bool:
        """Whether the events in the body may be passed on as they arrive."""
        return (
            self.status == OK_STATUS
            and self.is_signed
            and not self.is_encoded
            and not self.is_not_executed
            and not self.has_other_content
        )


class RefusalReason(enum.Enum):
    """Why the instance itself ends a request."""

    #: No configuration is available yet, or it may be stale.
    NO_CONFIGURATION = 'no_configuration'

    #: No route matches.
    NO_ROUTE = 'no_route'

    #: The API key belongs to no organisation.
    UNKNOWN_KEY = 'unknown_key'

    #: The request is not valid HTTP or exceeds a limit.
    BAD_REQUEST = 'bad_request'
    HEADER_TOO_LARGE = 'header_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    READ_TIMEOUT = 'read_timeout'

    #: No target accepts the request; it was not executed.
    NO_TARGET = 'no_target'

    #: A part of the prompt ends the engines; the request was not executed.
    PROMPT_QUARANTINED = 'prompt_quarantined'

    #: There is no memory for the body; the request was not executed.
    MEMORY_FULL = 'memory_full'

    #: The organisation asks for more than its share of a service that has too
    #: little room for all; the request was not executed.
    OVER_SHARE = 'over_share'

    #: The instance is shutting down; the request was not executed.
    STOPPING = 'stopping'

    #: The deadline was exceeded before dispatch; not executed.
    TIME_UP_NOT_RUN = 'time_up_not_run'

    #: The deadline was exceeded while a target processed the request.
    TIME_UP = 'time_up'

    #: The target failed while it processed the request.
    TARGET_FAILED = 'target_failed'

    #: The instance itself failed; a target may have executed the request.
    INTERNAL_ERROR = 'internal_error'

    #: The instance itself failed before dispatch; not executed.
    INTERNAL_ERROR_NOT_RUN = 'internal_error_not_run'


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Final response generated by the frontend itself."""

    reason: RefusalReason

    #: Recommended delay before a retry, or None.
    retry_after_s: float | None = None

    #: The input that caused the refusal, for the log.
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class FrontResponse:
    """A complete response to a caller."""

    status: int

    #: Header fields, without those for message framing.
    headers: Headers

    body: bytes
