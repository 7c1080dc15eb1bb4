"""Tell when peers close TCP connections, without a task for each."""

import select
from collections.abc import Callable

import trio

HangUpCallback = Callable[[], None]

_CLOSED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_ONCE = select.EPOLLONESHOT


class HangUpHandle:
    """One watched connection."""

    def __init__(
        self,
        watch: 'HangUpWatch',
        descriptor: int,
        on_hang_up: HangUpCallback,
    ) -> None:
        self.watch = watch
        self.descriptor = descriptor
        self.on_hang_up = on_hang_up

    def cancel(self) -> None:
        """Stop to watch; the descriptor may already serve another stream."""
        if self.watch.handles.get(self.descriptor) is self:
            self.watch.handles.pop(self.descriptor)


class HangUpWatch:
    """Watch many sockets with one ``epoll`` object and one task.

    A socket is registered once in its life, so a call costs nothing more. The
    task is a system task of the present run of trio.
    """

    def __init__(self) -> None:
        self.handles: dict[int, HangUpHandle] = {}
        self.epoll: select.epoll | None = None
        self.token: trio.lowlevel.TrioToken | None = None

    def add(self, descriptor: int, on_hang_up: HangUpCallback) -> HangUpHandle:
        """Call back once when the peer of a socket closes its side."""
        epoll = self._started()
        handle = HangUpHandle(self, descriptor, on_hang_up)
        self.handles[descriptor] = handle
        try:
            epoll.register(descriptor, _CLOSED | _ONCE)
        except FileExistsError:
            epoll.modify(descriptor, _CLOSED | _ONCE)
        return handle

    def _started(self) -> select.epoll:
        token = trio.lowlevel.current_trio_token()
        if self.epoll is None or self.token is not token:
            self.handles.clear()
            self.token = token
            self.epoll = select.epoll()
            trio.lowlevel.spawn_system_task(self._run, self.epoll)
        return self.epoll

    async def _run(self, epoll: select.epoll) -> None:
        with epoll:
            while True:
                await trio.lowlevel.wait_readable(epoll.fileno())
                self._tell(epoll.poll(0))

    def _tell(self, events: list[tuple[int, int]]) -> None:
        for descriptor, _ in events:
            handle = self.handles.pop(descriptor, None)
            if handle is not None:
                handle.on_hang_up()
