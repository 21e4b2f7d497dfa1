"""Steps of a call at which an instance is killed, paused or disconnected."""

import enum
import threading


class CallStep(enum.Enum):
    """Steps of the execution of a non-idempotent call."""

    BEFORE_CLAIM = 'before claim'
    CLAIM_SENT = 'claim sent'
    CLAIM_WRITTEN = 'claim written, answer lost'
    CLAIMED = 'claimed, not dispatched'
    DISPATCHED = 'dispatched'
    ANSWERED = 'answered, not recorded'
    RECORDED = 'recorded, not delivered'


class StepAction(enum.Enum):
    """What happens to the instance at a step."""

    KILL = 'kill'
    PAUSE = 'pause'
    CUT = 'cut'


class InstanceDied(BaseException):
    """Ends a thread of a killed instance.

    It is a ``BaseException``, so that handlers of ``Exception`` do not
    catch it.
    """


class StepGate:
    """Kills, pauses or disconnects one instance at an armed step.

    All threads of the instance call ``reach``.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._armed: tuple[CallStep, StepAction] | None = None
        self._running = threading.Event()
        self._running.set()
        self.reached = threading.Event()
        self.is_dead = False
        self.is_cut = False

    def arm(self, step: CallStep, action: StepAction) -> None:
        """Perform the action the next time that the step is reached."""
        with self._lock:
            self._armed = (step, action)

    def resume(self) -> None:
        """Resume a paused instance and disarm the gate."""
        with self._lock:
            self._armed = None
            self._running.set()

    def kill(self) -> None:
        """Kill the instance, whether or not it is paused."""
        self.is_dead = True
        self._running.set()

    def reach(self, step: CallStep | None) -> None:
        """Perform the armed action if this is its step; block while paused.

        :raises InstanceDied: if the instance was killed.
        """
        action: StepAction | None = None
        with self._lock:
            if self._armed is not None and self._armed[0] is step:
                action = self._armed[1]
                self._armed = None
            if action is StepAction.KILL:
                self.is_dead = True
            if action is StepAction.CUT:
                self.is_cut = True
            if action is StepAction.PAUSE:
                self._running.clear()
        if action is not None:
            self.reached.set()
        self._running.wait()
        if self.is_dead:
            raise InstanceDied
