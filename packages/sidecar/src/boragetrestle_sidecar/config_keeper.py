"""Hold the newest configuration; an older version never replaces it."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import BoragetrestleError
from boragetrestle_kernel.ids import Version
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.decision_log import DecisionLog

# A version that a peer already has usually arrives from the store within this
# time; only after it the peer is asked for the document.
PEER_FETCH_DELAY_SECONDS = 0.15
# All peers report a newer version at about the same time, and one document is
# enough.
PEER_FETCH_INTERVAL_SECONDS = 0.5


class ConfigKeeper:
    """Decode configurations and pass each newer one to its subscribers."""

    def __init__(
        self,
        decode: 'Callable[[bytes], Configuration]',
        log: 'DecisionLog',
        *,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.decode = decode
        self.log = log
        self.clock = clock
        self.configuration: Configuration | None = None
        self.applied_at = 0.0
        self.subscribers: list[Callable[[Configuration], None]] = []
        self.missing_version = Version(0)
        self.missing_since = 0.0
        self.asked_at = float('-inf')

    @property
    def version(self) -> Version:
        """The version of the configuration in force, 0 if there is none."""
        if self.configuration is None:
            return Version(0)
        return self.configuration.version

    @property
    def age(self) -> float:
        """Seconds since the configuration in force was applied, or 0."""
        if self.configuration is None:
            return 0.0
        return self.clock() - self.applied_at

    def apply_if_newer(self, document: bytes, *, source: str) -> bool:
        """Apply a configuration if it is newer; return whether it was applied.

        A document that cannot be decoded is logged and ignored. ``source`` says
        where it came from, for the log.
        """
        try:
            configuration = self.decode(document)
        except BoragetrestleError as error:
            self.log.write_unlimited(
                'configuration-refused',
                source=source,
                error=str(error),
                in_force=self.version,
            )
            return False
        if configuration.version <= self.version:
            return False
        self.log.write_unlimited(
            'configuration-applied',
            source=source,
            version=configuration.version,
            before=self.version,
            routes=len(configuration.routes),
        )
        self.configuration = configuration
        self.applied_at = self.clock()
        for apply in self.subscribers:
            apply(configuration)
        return True

    def should_request(self, version: int) -> bool:
        """Return whether to ask a peer for the version that it reports.

        That is so when the version is newer than the one in force, has not
        arrived in other ways within ``PEER_FETCH_DELAY_SECONDS``, and no peer
        was asked in the last ``PEER_FETCH_INTERVAL_SECONDS``.
        """
        if version <= self.version:
            return False
        now = self.clock()
        if self.configuration is None:
            # A node that has just started can't serve without one.
            is_due = now - self.asked_at >= PEER_FETCH_INTERVAL_SECONDS
            self.asked_at = now if is_due else self.asked_at
            return is_due
        if version != self.missing_version:
            self.missing_version = Version(version)
            self.missing_since = now
            return False
        is_late = now - self.missing_since >= PEER_FETCH_DELAY_SECONDS
        if is_late and now - self.asked_at >= PEER_FETCH_INTERVAL_SECONDS:
            self.asked_at = now
            return True
        return False
