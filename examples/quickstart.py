"""Starts a small fleet, configures it and sends calls through it."""

import collections
import pathlib
import subprocess
import sys

import urllib3

from bench import fleets
from jujubefold import adminclient
from jujubefold import porcelain

DECLARATIONS = pathlib.Path(__file__).with_name('quickstart.toml')
CALLS = 30


def _run_command(daemon, *arguments):
    address = daemon.addresses['admin_address']
    print(f'$ jujubefold {" ".join(arguments)}', flush=True)
    subprocess.run(
        [sys.executable, '-m', 'jujubefold.cli', '--daemon', address]
        + list(arguments),
        check=True,
    )


def _start_fleet(fleet):
    daemons = [fleet.add_daemon() for _ in range(3)]
    fleet.add_upstream(daemons[0], 'pickups')
    fleet.add_upstream(daemons[1], 'routes')
    for daemon in daemons:
        client = adminclient.AdminClient(daemon.addresses['admin_address'])
        fleets.wait_for(
            lambda client=client: _count_announced(client) == 2,
            'announced upstreams',
        )
    return daemons


def _count_announced(client):
    fleet = porcelain.members(client)
    if fleet.is_error() or len(fleet.ok.members) < 3:
        return 0
    return sum(bool(member.service) for member in fleet.ok.members)


def _send_calls(daemons):
    http = urllib3.PoolManager(retries=False)
    counts = collections.Counter()
    for number in range(CALLS):
        daemon = daemons[number % len(daemons)]
        url = f'http://{daemon.addresses["caller_address"]}'
        responses = (
            http.request('GET', f'{url}/routes/{number}'),
            _send_confirmation(http, url, number),
            _send_confirmation(http, url, number),
        )
        for response in responses:
            counts[
                response.status, response.headers['jujubefold-outcome']
            ] += 1
    for (status, outcome), count in sorted(counts.items()):
        print(f'  {count} calls: HTTP {status}, {outcome}')
    return all(status == 200 for status, _ in counts)


def _send_confirmation(http, url, number):
    return http.request(
        'POST',
        f'{url}/pickups/{number}',
        body=b'confirmed',
        headers={'Idempotency-Key': f'"pickup-{number}"'},
    )


def main():
    """Run the example.

    Raises:
        SystemExit: Always; with status 1 if a call or a stop failed.
    """
    with fleets.Fleet() as fleet:
        daemons = _start_fleet(fleet)
        _run_command(daemons[0], 'members')
        _run_command(daemons[0], 'plan', str(DECLARATIONS))
        _run_command(
            daemons[0],
            'apply',
            str(DECLARATIONS),
            '--base',
            '0',
            '--patch-id',
            'first',
            '--wait',
        )
        _run_command(daemons[1], 'status')
        print(f'{CALLS} lookups, and {CALLS} confirmations sent twice:')
        succeeded = _send_calls(daemons)
        _run_command(daemons[2], 'timeline')
        for daemon in daemons:
            succeeded = daemon.stop() == 0 and succeeded
    print('quickstart passed' if succeeded else 'quickstart FAILED')
    raise SystemExit(0 if succeeded else 1)


if __name__ == '__main__':
    main()
