"""Check the operators' text and turn it into typed values."""

from collections import Counter
from collections.abc import Iterable
from graphlib import CycleError, TopologicalSorter

import msgspec

from boragetrestle_kernel.errors import TextError
from boragetrestle_kernel.service_text import ServiceText

MAX_TEXT_BYTES = 1_048_576
MAX_CHAIN_SERVICES = 32


def parse_text(raw: bytes) -> ServiceText:
    """Parse and check a services text.

    Raises ``TextError`` that names the path of the first wrong field, what was
    found and what is expected.

    >>> parse_text(b'{"servicess": []}')
    Traceback (most recent call last):
        ...
    boragetrestle_kernel.errors.TextError: Object contains unknown field \
`servicess`; see the JSON Schema printed by 'boragetrestle check --schema'
    """
    if len(raw) > MAX_TEXT_BYTES:
        raise TextError(
            f'the text has {len(raw)} bytes',
            remedy=f'keep it within {MAX_TEXT_BYTES} bytes',
        )
    try:
        text = msgspec.json.decode(raw, type=ServiceText)
    except msgspec.DecodeError as error:
        raise TextError(
            str(error),
            remedy="see the JSON Schema printed by 'boragetrestle check"
            " --schema'",
        ) from error
    check_relations(text)
    return text


def check_relations(text: ServiceText) -> None:
    """Raise ``TextError`` for duplicates, dangling dependencies and cycles."""
    _check_unique('$.services', (srv.name for srv in text.services))
    _check_unique('$.organisations', (org.name for org in text.organisations))
    names = {srv.name for srv in text.services}
    for place, service in enumerate(text.services):
        where = f'$.services[{place}]'
        routes = (f'{rt.method} {rt.path}' for rt in service.routes)
        _check_unique(f'{where}.routes', routes)
        for index, dependency in enumerate(service.depends_on):
            if dependency.service not in names:
                raise TextError(
                    f'{where}.depends_on[{index}].service is'
                    f' {dependency.service!r}, which is no service',
                    remedy='name a service of this text',
                )
    _check_acyclic(text)


def _check_unique(where: str, names: Iterable[str]) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            raise TextError(
                f'{where} has {name!r} {count} times',
                remedy='use each name once',
            )


def _check_acyclic(text: ServiceText) -> None:
    graph = {
        srv.name: {dep.service for dep in srv.depends_on}
        for srv in text.services
    }
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        cycle = ' -> '.join(error.args[1])
        raise TextError(
            f'$.services has the cycle {cycle}',
            remedy='remove one of these dependencies',
        ) from error
