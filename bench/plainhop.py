"""A minimal cheroot and urllib3 proxy, the baseline for the call path."""

import json
import os
import signal
import threading

from cheroot import wsgi
import typer
import urllib3

THREADS = 16


def _wsgi_proxy(upstream):
    pool = urllib3.HTTPConnectionPool(upstream, maxsize=THREADS, block=True)

    def forward(environ, start_response):
        size = int(environ.get('CONTENT_LENGTH') or 0)
        response = pool.request(
            environ['REQUEST_METHOD'],
            environ['PATH_INFO'],
            body=environ['wsgi.input'].read(size) if size else None,
            headers={'host': environ['HTTP_HOST']},
            retries=False,
        )
        start_response(
            f'{response.status} {response.reason}',
            [('content-length', str(len(response.data)))],
        )
        return [response.data]

    return forward


def main(upstream: str):
    """Forward requests to an upstream, `ip:port`, until SIGTERM."""
    server = wsgi.Server(
        ('127.0.0.1', 0),
        _wsgi_proxy(upstream),
        numthreads=THREADS,
        request_queue_size=128,
    )
    server.prepare()
    host, port = server.bind_addr
    print(json.dumps({'callers': f'{host}:{port}'}), flush=True)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    threading.Thread(target=server.serve, daemon=True).start()
    signal.pause()


if __name__ == '__main__':
    typer.run(main)
