"""Requests and answers that pass through the front end."""

import dataclasses
import enum

from skylarktack.state._addresses import Address
from skylarktack.state.forwarding._targets import ListedTarget
from skylarktack.state.forwarding._targets import TargetLoad

#: Header fields in their order, as raw bytes.
Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """A request line and its header fields as they arrived."""

    #: HTTP method.
    method: bytes

    #: Path and query.
    target: bytes

    #: All header fields.
    headers: Headers


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """One part of a prompt that requests may share."""

    #: Name of the part.
    part_id: str

    #: Its size.
    token_count: int


@dataclasses.dataclass(frozen=True)
class FrontRequest:
    """One attempt of a caller."""

    #: Unique name of the attempt, or an empty text if it has none.
    attempt_id: str

    #: HTTP method.
    method: bytes

    #: Path and query, unchanged.
    path: bytes

    #: Host that the caller named, in lower case and without a port.
    host: str

    #: Header fields that are forwarded as they are.
    headers: Headers

    #: The whole body.
    body: bytes

    #: Whether the caller sent a body, even an empty one.
    has_body: bool

    #: How long the caller waits, or None if it did not say.
    time_limit_ms: float | None

    #: Secret key of the caller, or None.
    key: str | None

    #: Id of the last event that the caller has, or None.
    last_event_id: int | None

    #: Model that the caller asks for, or None.
    model: str | None

    #: Parts of the prompt in order.
    prompt_parts: tuple[PromptPart, ...]

    #: Size of the prompt and most output tokens.
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True)
class DispatchContext:
    """What the front end adds when it sends a request to a target."""

    #: The target.
    target: ListedTarget

    #: Organisation of the caller, or None on an anonymous route.
    organisation: str | None

    #: Time that is left for the target, or None if there is no limit.
    time_left_ms: float | None

    #: Id of the last event that the caller has received, or None.
    last_event_id: int | None = None

    #: Engine that keeps a copy of the run's memory, or None.
    standby: Address | None = None

    #: Whether the run goes on from the copy that the target keeps.
    from_copy: bool = False


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and header fields of a target's answer."""

    #: HTTP status.
    status: int

    #: Header fields that the caller receives.
    headers: Headers

    #: Attempt that the target names, or None.
    attempt_id: str | None

    #: Whether the target signed the answer.
    is_signed: bool

    #: Whether the target states that the request has not run.
    is_not_executed: bool

    #: Whether the body has an encoding, so that it is not the target's.
    is_encoded: bool

    #: Load that the target reported, or None.
    load: TargetLoad | None


class RefusalReason(enum.Enum):
    """Why the front end itself ends a request."""

    #: No configuration is known yet, or it may be outdated.
    NO_CONFIGURATION = 'no_configuration'

    #: No route matches.
    NO_ROUTE = 'no_route'

    #: No organisation holds the key.
    UNKNOWN_KEY = 'unknown_key'

    #: The request is not proper HTTP or breaks a limit.
    BAD_REQUEST = 'bad_request'
    HEADER_TOO_LARGE = 'header_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    READ_TIMEOUT = 'read_timeout'

    #: No target takes the request; it has not run.
    NO_TARGET = 'no_target'

    #: The instance stops; the request has not run.
    STOPPING = 'stopping'

    #: The time ended before the request was sent; it has not run.
    TIME_UP_NOT_RUN = 'time_up_not_run'

    #: The time ended while a target worked on the request.
    TIME_UP = 'time_up'

    #: The target failed while it worked on the request.
    TARGET_FAILED = 'target_failed'


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The front end's own final answer."""

    #: Why.
    reason: RefusalReason

    #: When the caller may come back, or None.
    retry_after_s: float | None = None

    #: The input that decided it, for logs.
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class FrontResponse:
    """A whole answer for a caller."""

    #: HTTP status.
    status: int

    #: Header fields without those of framing.
    headers: Headers

    #: The whole body.
    body: bytes
