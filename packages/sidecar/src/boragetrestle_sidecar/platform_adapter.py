"""What the data path needs from a platform's adapter."""

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import TargetId
    from boragetrestle_sidecar.caller_request import CallerRequest
    from boragetrestle_sidecar.configuration import Configuration
    from boragetrestle_sidecar.http_caller import HttpCaller
    from boragetrestle_sidecar.path_settings import PathSettings
    from boragetrestle_sidecar.store_client import StoreClient
    from boragetrestle_sidecar.target_report import TargetReport
    from boragetrestle_sidecar.wire_names import WireNames


class TargetLeave(NamedTuple):
    """A target's message that it leaves without draining first."""

    target: 'TargetId'


class PlatformAdapter(Protocol):
    """Names, formats and calls of one platform.

    ``config_table`` and ``config_key`` name the store's row that holds the
    operators' configuration. Rows of that table whose keys consist of
    ``evacuation_prefix`` and a failure domain ask for its evacuation.
    """

    names: 'WireNames'
    config_table: str
    config_key: str
    evacuation_prefix: str

    def load_settings(self) -> 'PathSettings':
        """Read the settings; raise ``SettingsError`` for invalid ones."""

    def decode_configuration(self, document: bytes) -> 'Configuration':
        """Decode a configuration; raise ``TextError`` for an invalid one."""

    def decode_target_call(
        self,
        request: 'CallerRequest',
    ) -> 'TargetReport | TargetLeave':
        """Decode a report or a leave; raise ``WireError`` for anything else."""

    def open_store(self, caller: 'HttpCaller') -> 'StoreClient':
        """Return a client of the store that calls it through ``caller``."""
