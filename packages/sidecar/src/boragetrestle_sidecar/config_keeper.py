"""Hold the newest configuration; versions only go up."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import BoragetrestleError
from boragetrestle_kernel.ids import Version
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.decision_log import DecisionLog

# A newer version that a peer has is on its way from the store as well.
FEED_LEAD_SECONDS = 0.15


class ConfigKeeper:
    """Decode configurations and hand each newer one to its users."""

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
        self.users: list[Callable[[Configuration], None]] = []
        self.missed = Version(0)
        self.missed_since = 0.0

    @property
    def version(self) -> Version:
        """The version in force, 0 without one."""
        if self.configuration is None:
            return Version(0)
        return self.configuration.version

    @property
    def age(self) -> float:
        """Seconds since the configuration in force was applied."""
        if self.configuration is None:
            return 0.0
        return self.clock() - self.applied_at

    def offer(self, document: bytes, *, source: str) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        try:
            configuration = self.decode(document)
        except BoragetrestleError as error:
            self.log.always(
                'configuration-refused',
                source=source,
                error=str(error),
                in_force=self.version,
            )
            return False
        if configuration.version <= self.version:
            return False
        self.log.always(
            'configuration-applied',
            source=source,
            version=configuration.version,
            before=self.version,
            routes=len(configuration.routes),
        )
        self.configuration = configuration
        self.applied_at = self.clock()
        for use in self.users:
            use(configuration)
        return True

    def misses(self, version: int) -> bool:
        """Return whether a peer's version is newer and stays unread here."""
        if version <= self.version:
            return False
        now = self.clock()
        if version != self.missed:
            self.missed = Version(version)
            self.missed_since = now
        return now - self.missed_since >= FEED_LEAD_SECONDS
