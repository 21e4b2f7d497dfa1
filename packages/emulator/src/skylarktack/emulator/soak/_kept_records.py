"""What callers saw of requests on kept connections."""

import dataclasses
import enum
import subprocess


class RequestForm(enum.Enum):
    """How requests are sent on a kept connection."""

    CALL = 'call'
    CHUNKED = 'chunked'
    STREAM = 'stream'

    #: Two calls at once.
    PIPELINED = 'pipelined'

    #: A body near the limit, in parts.
    LONG_BODY = 'long body'

    #: The caller ends its sending side after a whole request. An instance
    #: takes it for a caller that has left.
    HALF_CLOSED = 'half closed'


class KeptEnding(enum.Enum):
    """How a request on a kept connection ended."""

    ANSWERED = 'answered'

    #: The response before it announced the end of the connection.
    ANNOUNCED = 'announced'

    #: The end of the connection crossed the first bytes.
    CROSSED = 'crossed'

    #: The process was killed.
    KILLED = 'killed'

    #: The connection ended before the request was sent whole.
    NOT_WHOLE = 'not whole'

    #: The answer broke off.
    TRUNCATED = 'truncated'

    UNANSWERED = 'unanswered'


@dataclasses.dataclass(frozen=True)
class KeptRecord:
    """One request on a kept connection."""

    attempt_id: str
    instance: str
    form: RequestForm
    ending: KeptEnding

    #: Time for which the connection had been idle.
    idle_s: float

    #: Time since the start of the callers at which it was sent, and until it
    #: ended.
    sent_at_s: float
    duration_s: float

    #: What ended it without an answer, and how long the caller took for
    #: sending its first bytes and looking for the end of the connection.
    error: str = ''
    look_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class EarlyEnd:
    """A connection that ended while its caller could still use it."""

    instance: str
    idle_s: float
    idle_timeout_ms: int
    process: subprocess.Popen[bytes]
