"""Settings of the operators' command, read from a JSON file."""

import os
from pathlib import Path

import msgspec

from boragetrestle_kernel.errors import SettingsError
from boragetrestle_kernel.settings import PlatformSettings

SETTINGS_VARIABLE = 'BORAGETRESTLE_SETTINGS'


class OperatorSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """How the command reaches the platform and who uses it."""

    platform: PlatformSettings
    operator: str = 'operator'


def load_settings() -> OperatorSettings:
    """Return the settings that the environment variable names."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path or not Path(path).is_file():
        raise SettingsError(
            f'{SETTINGS_VARIABLE} names no file',
            remedy='set it to a JSON file with the field "platform"',
        )
    try:
        return msgspec.json.decode(
            Path(path).read_bytes(),
            type=OperatorSettings,
        )
    except msgspec.DecodeError as error:
        raise SettingsError(
            f'{path}: {error}',
            remedy='correct this field',
        ) from error
