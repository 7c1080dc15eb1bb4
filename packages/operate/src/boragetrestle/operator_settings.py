"""Read the settings of the operators' command from a JSON file."""

import os
from pathlib import Path

import msgspec

from boragetrestle_kernel.errors import SettingsError
from boragetrestle_kernel.json_fault import JsonFaultError, decode_checked
from boragetrestle_kernel.settings import Credential, PlatformSettings

SETTINGS_VARIABLE = 'BORAGETRESTLE_SETTINGS'


class OperatorSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """How the command reaches the platform and who uses it.

    ``operator_credential`` is the credential that the nodes' settings name.
    """

    platform: PlatformSettings
    operator: str = 'operator'
    operator_credential: Credential | None = None


def load_settings() -> OperatorSettings:
    """Return the settings that the environment variable names."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path or not Path(path).is_file():
        raise SettingsError(
            f'environment variable {SETTINGS_VARIABLE} names no file',
            remedy='set it to a JSON file with the field "platform"',
        )
    try:
        return decode_checked(Path(path).read_bytes(), OperatorSettings)
    except JsonFaultError as error:
        raise SettingsError(
            f'{path}: {error}',
            remedy='correct this field',
        ) from error
