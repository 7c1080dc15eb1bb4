"""The example target of the README, on real sockets."""

import importlib.util
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.request import Request, urlopen

_EXAMPLE = Path(__file__).parent.parent / 'docs/examples/target.py'
_CONTEXT = 'Boragetrestle-Context'


class _Node(BaseHTTPRequestHandler):
    """Keep what the target sends to its node."""

    announced: list[dict[str, object]] = []
    contexts: list[str | None] = []

    def do_POST(self):
        length = int(self.headers['Content-Length'])
        self.announced.append(json.loads(self.rfile.read(length)))
        self._answer()

    def do_GET(self):
        self.contexts.append(self.headers[_CONTEXT])
        self._answer()

    def log_message(self, *_arguments):
        """Print nothing."""

    def _answer(self):
        self.send_response(200)
        self.send_header('Content-Length', '2')
        self.end_headers()
        self.wfile.write(b'ok')


def _load_example():
    spec = importlib.util.spec_from_file_location('example_target', _EXAMPLE)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _serve(handler):
    server = ThreadingHTTPServer(('127.0.0.1', 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def _url(server):
    return f'http://127.0.0.1:{server.server_address[1]}'


def test_example_announces_and_passes_the_context_on(monkeypatch):
    example = _load_example()
    monkeypatch.setattr(example.Handler, 'log_message', _Node.log_message)
    node, target = _serve(_Node), _serve(example.Handler)
    monkeypatch.setattr(example, 'NODE_ADMIN', _url(node))
    monkeypatch.setattr(example, 'NODE_CALLS', _url(node))
    example.announce('ready')
    call = Request(
        f'{_url(target)}/walks/items/7/with-map',
        headers={_CONTEXT: 'signed'},
    )
    with urlopen(call, timeout=5) as answer:
        body = answer.read()
    for server in (node, target):
        server.shutdown()
        server.server_close()
    assert body == b'map: ok'
    assert _Node.contexts == ['signed']
    assert _Node.announced[0]['state'] == 'ready'
