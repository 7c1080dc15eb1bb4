"""The JSON Schemas of the services text and of a node's settings."""

from importlib.resources import files

import msgspec

from boragetrestle_kernel.service_text import ServiceText
from boragetrestle_kernel.settings import NodeSettings

SCHEMAS: dict[str, type] = {
    'services-text': ServiceText,
    'node-settings': NodeSettings,
}


def generate_schema(name: str) -> bytes:
    """Return the JSON Schema generated from the code."""
    schema = msgspec.json.schema(SCHEMAS[name])
    formatted = msgspec.json.format(msgspec.json.encode(schema))
    return b'%s\n' % formatted


def shipped_schema(name: str) -> bytes:
    """Return the JSON Schema that ships with the command."""
    path = files('boragetrestle') / 'schemas' / f'{name}.json'
    return path.read_bytes()


def write_schemas() -> None:
    """Regenerate the shipped schemas after a change of the code."""
    folder = files('boragetrestle') / 'schemas'
    for name in SCHEMAS:
        (folder / f'{name}.json').write_bytes(  # type: ignore[attr-defined]
            generate_schema(name),
        )


if __name__ == '__main__':
    write_schemas()
