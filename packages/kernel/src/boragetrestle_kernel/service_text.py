"""The services text, which operators edit: services, routes, organisations.

The text is JSON. Types and ranges of single fields are checked here by
``msgspec``; relations between fields are checked by ``text_check``.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Name = Annotated[
    str,
    Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$', description='a name'),
]
ClassName = Literal['critical', 'interactive', 'bulk']
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
PerSecond = Annotated[float, Meta(gt=0, le=1_000_000)]
Burst = Annotated[float, Meta(ge=1, le=1_000_000)]
Weight = Annotated[float, Meta(gt=0, le=1_000)]


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A method and path pattern with the policy of its calls.

    In ``path`` a segment ``*`` matches one segment and a last segment ``**``
    matches the rest. ``deadline`` is in seconds.
    """

    method: Annotated[str, Meta(pattern='^[A-Z]{1,16}$')]
    path: Annotated[str, Meta(pattern='^/', max_length=512)]
    call_class: ClassName = 'interactive'
    idempotent: bool = False
    open: bool = False
    deadline: Seconds = 10.0
    idempotency_key: Literal['forbidden', 'optional', 'required'] = 'optional'


class Dependency(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that another calls.

    Dependencies that share an ``alternative`` group replace each other; an
    ``optional`` one may fail without failing the caller.
    """

    service: Name
    optional: bool = False
    alternative: Name | None = None


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service with its routes and dependencies."""

    name: Name
    routes: Annotated[tuple[Route, ...], Meta(min_length=1, max_length=200)]
    depends_on: tuple[Dependency, ...] = ()


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An organisation with its fleet-wide rate in calls a second."""

    name: Name
    rate: PerSecond
    burst: Burst
    weight: Weight = 1.0


class ServiceText(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole text that operators edit."""

    services: Annotated[tuple[Service, ...], Meta(max_length=2_000)] = ()
    organisations: Annotated[
        tuple[Organisation, ...],
        Meta(max_length=10_000),
    ] = ()
