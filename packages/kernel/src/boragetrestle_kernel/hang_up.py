"""Detect closed TCP connections with one task for all of them."""

import select
from collections.abc import Callable

import trio

HangUpCallback = Callable[[], None]

_PEER_CLOSED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_REPORT_ONCE = select.EPOLLONESHOT


class HangUpHandle:
    """One watched connection, with the callback for its close."""

    def __init__(
        self,
        watcher: 'HangUpWatcher',
        descriptor: int,
        on_hang_up: HangUpCallback,
    ) -> None:
        self.watcher = watcher
        self.descriptor = descriptor
        self.on_hang_up = on_hang_up

    def cancel(self) -> None:
        """Stop watching, unless the descriptor belongs to another stream."""
        if self.watcher.handles.get(self.descriptor) is self:
            self.watcher.handles.pop(self.descriptor)


class HangUpWatcher:
    """Watch many sockets with one ``epoll`` object and one task.

    A socket is registered once in its lifetime, so that a call on its
    connection adds no cost. The task is a trio system task; each new
    ``trio.run`` gets a new ``epoll`` object and task.
    """

    def __init__(self) -> None:
        self.handles: dict[int, HangUpHandle] = {}
        self.epoll: select.epoll | None = None
        self.trio_token: trio.lowlevel.TrioToken | None = None

    def add(self, descriptor: int, on_hang_up: HangUpCallback) -> HangUpHandle:
        """Call ``on_hang_up`` once when the peer of a socket closes its side."""
        epoll = self._ensure_started()
        handle = HangUpHandle(self, descriptor, on_hang_up)
        self.handles[descriptor] = handle
        try:
            epoll.register(descriptor, _PEER_CLOSED | _REPORT_ONCE)
        except FileExistsError:
            epoll.modify(descriptor, _PEER_CLOSED | _REPORT_ONCE)
        return handle

    def _ensure_started(self) -> select.epoll:
        trio_token = trio.lowlevel.current_trio_token()
        if self.epoll is None or self.trio_token is not trio_token:
            self.handles.clear()
            self.trio_token = trio_token
            self.epoll = select.epoll()
            trio.lowlevel.spawn_system_task(self._notify_forever, self.epoll)
        return self.epoll

    async def _notify_forever(self, epoll: select.epoll) -> None:
        with epoll:
            while True:
                await trio.lowlevel.wait_readable(epoll.fileno())
                self._notify(epoll.poll(0))

    def _notify(self, events: list[tuple[int, int]]) -> None:
        for descriptor, _ in events:
            handle = self.handles.pop(descriptor, None)
            if handle is not None:
                handle.on_hang_up()
