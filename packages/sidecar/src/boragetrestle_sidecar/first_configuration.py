"""Hold back the first configuration of a process until peers confirm it.

A store may come back from a copy that lacks the newest configuration. A node
that starts meanwhile would use keys that were withdrawn, or routes that were
dropped, although other nodes know better.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_sidecar.config_keeper import ConfigKeeper
    from boragetrestle_sidecar.configuration import Configuration

# Without peers that have a configuration, the store's is used after this.
CONFIRMATION_WAIT_SECONDS = 1.0


class FirstConfiguration:
    """Pass configurations to ``use`` once one of them has been confirmed."""

    def __init__(
        self,
        keeper: 'ConfigKeeper',
        use: 'Callable[[Configuration], None]',
    ) -> None:
        self.keeper = keeper
        self.use = use
        self.is_confirmed = False
        self.newest_peer_version = 0

    def apply(self, configuration: 'Configuration') -> None:
        """Use a newer configuration, or hold it back if it is the first."""
        if self.is_confirmed:
            self.use(configuration)
        else:
            self.compare(0)

    def compare(self, peer_version: int) -> None:
        """Confirm the configuration if a peer's is not newer."""
        if self.is_confirmed:
            return
        self.newest_peer_version = max(self.newest_peer_version, peer_version)
        if 0 < self.newest_peer_version <= self.keeper.version:
            self._confirm()

    def check_wait(self) -> None:
        """Confirm the configuration if no peer has spoken for too long."""
        if self.is_confirmed or self.keeper.configuration is None:
            return
        if self.keeper.age > CONFIRMATION_WAIT_SECONDS:
            self._confirm()

    def _confirm(self) -> None:
        self.is_confirmed = True
        if self.keeper.configuration is not None:
            self.use(self.keeper.configuration)
