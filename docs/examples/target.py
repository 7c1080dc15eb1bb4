"""A target of the service ``walks``, with the standard library only.

Run it with ``python3 target.py`` beside a node that listens as in README.md. It
announces itself, answers calls, and makes one onward call where its path asks
for it.
"""

import json
import signal
import sys
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.error import HTTPError
from urllib.request import Request, urlopen

NODE_CALLS = 'http://127.0.0.1:7100'
NODE_ADMIN = 'http://127.0.0.1:7102'
ADDRESS = ('127.0.0.1', 8080)
CONTEXT = 'Boragetrestle-Context'


def announce(state: str) -> None:
    """Send a state to the node: ready, draining or gone."""
    host, port = ADDRESS
    announcement = {
        'service': 'walks',
        'address': f'{host}:{port}',
        'slots': 50,
        'connections': 400,
        'state': state,
    }
    body = json.dumps(announcement).encode()
    with urlopen(Request(f'{NODE_ADMIN}/v1/target', body)) as answer:
        answer.read()


class Handler(BaseHTTPRequestHandler):
    """Answer calls, and pass their context on with onward calls."""

    protocol_version = 'HTTP/1.1'
    wbufsize = -1

    def do_GET(self) -> None:
        """Answer a call."""
        text = 'ok'
        if self.path.endswith('/with-map'):
            text = self.call_onward('/walks/items/map')
        body = text.encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def call_onward(self, path: str) -> str:
        """Call another service through the node beside, with the context."""
        context = self.headers[CONTEXT]
        request = Request(NODE_CALLS + path, headers={CONTEXT: context})
        try:
            with urlopen(request) as answer:
                return f'map: {answer.read().decode()}'
        except HTTPError as error:
            return f'no map: {error.headers["Boragetrestle-Code"]}'


def main() -> None:
    """Serve until SIGTERM; a real target would finish its calls first."""
    server = ThreadingHTTPServer(ADDRESS, Handler)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    announce('ready')
    try:
        server.serve_forever()
    finally:
        announce('gone')


if __name__ == '__main__':
    main()
