"""Starts a small fleet, changes its configuration and calls through it."""

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


def _cli(daemon, *arguments):
    address = daemon.addresses['admin_address']
    print(f'$ jujubefold {" ".join(arguments)}', flush=True)
    subprocess.run(
        [sys.executable, '-m', 'jujubefold.cli', '--daemon', address]
        + list(arguments),
        check=True,
    )


def _started(fleet):
    daemons = [fleet.add_daemon() for _ in range(3)]
    fleet.add_upstream(daemons[0], 'pickups')
    fleet.add_upstream(daemons[1], 'routes')
    for daemon in daemons:
        client = adminclient.AdminClient(daemon.addresses['admin_address'])
        fleets.wait_for(
            lambda client=client: _announced(client) == 2,
            'announced upstreams',
        )
    return daemons


def _announced(client):
    fleet = porcelain.members(client)
    if fleet.is_error() or len(fleet.ok.members) < 3:
        return 0
    return sum(bool(member.service) for member in fleet.ok.members)


def _call(daemons):
    http = urllib3.PoolManager(retries=False)
    told = collections.Counter()
    for number in range(CALLS):
        daemon = daemons[number % len(daemons)]
        base = f'http://{daemon.addresses["caller_address"]}'
        answers = (
            http.request('GET', f'{base}/routes/{number}'),
            _confirm(http, base, number),
            _confirm(http, base, number),
        )
        for answer in answers:
            told[answer.status, answer.headers['jujubefold-outcome']] += 1
    for (status, outcome), count in sorted(told.items()):
        print(f'  {count} calls: HTTP {status}, {outcome}')
    return all(status == 200 for status, _ in told)


def _confirm(http, base, number):
    return http.request(
        'POST',
        f'{base}/pickups/{number}',
        body=b'confirmed',
        headers={'Idempotency-Key': f'"pickup-{number}"'},
    )


def main():
    """Run the whole path once; the exit status says whether it worked."""
    with fleets.Fleet() as fleet:
        daemons = _started(fleet)
        _cli(daemons[0], 'members')
        _cli(daemons[0], 'plan', str(DECLARATIONS))
        _cli(
            daemons[0],
            'apply',
            str(DECLARATIONS),
            '--base',
            '0',
            '--patch-id',
            'first',
            '--wait',
        )
        _cli(daemons[1], 'status')
        print(f'{CALLS} lookups, and {CALLS} confirmations sent twice:')
        good = _call(daemons)
        _cli(daemons[2], 'timeline')
        for daemon in daemons:
            good = daemon.stop() == 0 and good
    print('all well' if good else 'NOT WELL')
    raise SystemExit(0 if good else 1)


if __name__ == '__main__':
    main()
