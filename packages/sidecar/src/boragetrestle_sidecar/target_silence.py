"""Detect a target that accepts requests but answers none."""

# A target may just be slow, so a silence must also last several mean run times.
MIN_SILENT_SECONDS = 0.5
SILENT_MEAN_RUNS = 4.0


class TargetSilence:
    """Track for how long a target with runs has answered none of them.

    A stuck target gets runs again after its next heartbeat, which a frozen or
    unreachable target does not send.
    """

    def __init__(self) -> None:
        self.since: float | None = None
        self.is_suspected = False

    def record_sent(self, now: float) -> None:
        """Record that a run was sent to the target."""
        if self.since is None:
            self.since = now

    def record_answer(self, now: float, *, is_idle: bool) -> None:
        """Record an answer; ``is_idle`` tells that no run is left."""
        self.restart(now, is_idle=is_idle)

    def restart(self, now: float, *, is_idle: bool) -> None:
        """Begin anew, also when the silence was that of a connection."""
        self.is_suspected = False
        self.since = None if is_idle else now

    def detect_stuck(self, now: float, run_seconds: float) -> bool:
        """Return whether the target is stuck and must get no more runs."""
        if self.since is not None:
            longest_silence = max(
                MIN_SILENT_SECONDS, SILENT_MEAN_RUNS * run_seconds
            )
            if now - self.since > longest_silence:
                self.is_suspected = True
                self.since = None
        return self.is_suspected
