"""The command that shows where a node would send a request."""

from collections.abc import Iterable

import trio

from boragetrestle.commands import command
from boragetrestle.output import print_json, print_line, print_table
from boragetrestle.route_answer import (
    GuardAnswer,
    RouteAnswer,
    ask_for_route,
)
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.network import TcpNetwork

_COLUMNS = (
    'guard',
    'domain',
    'open',
    'running',
    'waiting',
    'limit',
    'expected s',
    'load age s',
    'ruled out by',
)


@command('route')
def route(
    host: str,
    path: str,
    *,
    admin: str,
    key_organisation: str = '',
    method: str = 'GET',
    json: bool = False,
) -> None:
    """Ask a node where a request would go now, and why, without sending it.

    Example: boragetrestle route shop.example /walks/7 --admin 10.0.0.1:9464

    :param host: host that the request names
    :param path: path of the request
    :param admin: metrics address of the node, as IP:PORT
    :param key_organisation: organisation to which the request's key belongs
    :param method: method to show; routes don't depend on it
    :param json: print JSON
    """
    address = Address.parse(admin)

    async def work() -> RouteAnswer:
        return await ask_for_route(
            TcpNetwork(),
            address,
            host=host,
            path=path,
            organisation=key_organisation,
        )

    found = trio.run(work)
    if json:
        print_json(found)
        return
    print_table(
        f'{method} {host}{path} at {found.node}',
        ('about', 'found'),
        _summary(found),
    )
    print_table(
        f'guards of {found.service}', _COLUMNS, map(_row, found.candidates)
    )
    for text in found.unknown:
        print_line(f'not known at this node: {text}')


def _summary(found: RouteAnswer) -> Iterable[tuple[str, str]]:
    weights = (
        f'{service} {weight:g}' for service, weight in found.services.items()
    )
    return [
        ('route', f'{found.route} of version {found.version}'),
        ('services by weight', ', '.join(weights)),
        ('may be repeated', _yes_or_no(is_true=found.may_repeat)),
        ('organisation', found.organisation or 'none'),
        ('allowed regions', _regions_label(found.regions)),
        ('rate limit', _rate_label(found)),
        ('admission share', _share_label(found.admission_share)),
        ('choice', found.choice or f'none, refused: {found.refusal}'),
        ('next best', found.next_best or 'none'),
    ]


def _row(guard: GuardAnswer) -> list[str]:
    """Return the cells; runs not yet reported by the guard follow a plus."""
    unconfirmed = f'+{guard.unconfirmed}' if guard.unconfirmed else ''
    expected = guard.expected_seconds
    return [
        guard.address,
        guard.domain,
        _yes_or_no(is_true=guard.is_open),
        f'{guard.running}{unconfirmed}',
        str(guard.waiting),
        f'{guard.limit:g}',
        '' if expected is None else f'{expected:.3f}',
        f'{guard.load_age:.2f}',
        ', '.join(guard.ruled_out),
    ]


def _yes_or_no(*, is_true: bool) -> str:
    return 'yes' if is_true else 'no'


def _regions_label(regions: tuple[str, ...] | None) -> str:
    if regions is None:
        return 'all'
    return ', '.join(regions) or 'none: route and organisation differ'


def _rate_label(found: RouteAnswer) -> str:
    if found.rate is None:
        return 'none'
    return f'{found.rate:g} requests/s, burst {found.burst:g}'


def _share_label(share: float | None) -> str:
    return 'no plan, all admitted' if share is None else f'{share:.1%}'
