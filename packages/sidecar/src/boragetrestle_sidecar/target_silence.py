"""Notice that a target takes requests and answers none."""

# A target may be slow, so silence is told by several mean runs as well.
LEAST_SILENT_SECONDS = 0.5
SILENT_RUNS = 4.0


class TargetSilence:
    """Track how long runs have been under way without any answer.

    A stuck target is tried again with its next heartbeat, which one that is
    frozen or cut off does not send.
    """

    def __init__(self) -> None:
        self.since: float | None = None
        self.is_suspected = False

    def started(self, now: float) -> None:
        """Note that a run was sent."""
        if self.since is None:
            self.since = now

    def answered(self, now: float, *, is_idle: bool) -> None:
        """Note an answer; ``is_idle`` tells that no run is under way."""
        self.is_suspected = False
        self.since = None if is_idle else now

    def is_stuck(self, now: float, run_seconds: float) -> bool:
        """Return whether the target should get no more runs."""
        if self.since is not None:
            longest = max(LEAST_SILENT_SECONDS, SILENT_RUNS * run_seconds)
            if now - self.since > longest:
                self.is_suspected = True
                self.since = None
        return self.is_suspected
