"""Command line of the soak test: `python -m soak --seeds 50`."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from soak import checks
from soak import faults
from soak import keys
from soak import testbed as testbeds
from soak import versionwatch

# Concurrent callers.
CALLERS = 8


async def run_seed(
    seed, seconds, size, folder, kinds=faults.KINDS + faults.LATER_KINDS
):
    """Run a testbed under the faults of one seed and check the results.

    Args:
        seed: Seed of all random choices.
        seconds: For how long faults are started.
        size: Number of daemons.
        folder: Path of the folder for settings and logs.
        kinds: Names of the kinds of faults to draw from.

    Returns:
        One line for each violated guarantee.
    """
    testbed = testbeds.Testbed(seed, size, folder)
    callers = checks.Callers(testbed)
    keyring = keys.Keys(testbed)
    done = asyncio.Event()
    fault_log = (pathlib.Path(folder) / 'faults').open('w')
    await testbed.start()
    try:
        violations = [
            line async for line in checks.unrecovered(testbed, callers)
        ]
        if violations:
            return [f'did not start: {line}' for line in violations]
        tasks = [
            asyncio.ensure_future(callers.run(done)) for _ in range(CALLERS)
        ]
        tasks.append(asyncio.ensure_future(keyring.change(done)))
        tasks.append(asyncio.ensure_future(keyring.call(done)))
        watch = versionwatch.VersionWatch(testbed)
        watching = asyncio.ensure_future(watch.run())
        loop = asyncio.get_running_loop()
        started = loop.time()
        await faults.run(
            testbed,
            seconds,
            kinds,
            lambda text: print(
                f'{loop.time() - started:.2f} {text}', file=fault_log
            ),
        )
        violations = [
            line async for line in checks.unrecovered(testbed, callers)
        ]
        violations.extend(
            [line async for line in checks.lost_members(testbed)]
        )
        watching.cancel()
        violations.extend(watch.violations)
        done.set()
        await asyncio.gather(*tasks)
        violations.extend(checks.violations(testbed, callers))
        violations.extend(checks.drain_violations(testbed))
        violations.extend(checks.limit_violations(testbed))
        violations.extend(keyring.violations())
        served = sum(result.status == 200 for result in callers.results)
        print(
            f'seed {seed}: {served} of {len(callers.results)} served', end=''
        )
        print(
            f', {watch.checked} times held to have a version in time', end=''
        )
        keyed = sum(sent.status == 200 for sent in keyring.requests)
        print(f', {keyed} of {len(keyring.requests)} with keys', end='')
        print(f', {len(violations)} guarantees violated')
        return violations
    finally:
        await testbed.close()
        fault_log.close()


def main():
    """Run seeds, and report those that violated a guarantee."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, help='run only this seed')
    parser.add_argument(
        '--seeds', type=int, default=1, help='number of random seeds'
    )
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument(
        '--size', type=int, default=4, help='number of daemons'
    )
    parser.add_argument(
        '--kinds',
        default=','.join(faults.KINDS + faults.LATER_KINDS),
        help='kinds of faults to draw from, separated by commas',
    )
    options = parser.parse_args()
    kinds = tuple(options.kinds.split(','))
    unknown = set(kinds) - {*faults.KINDS, *faults.LATER_KINDS}
    if unknown:
        parser.error(f'unknown kinds: {", ".join(sorted(unknown))}')
    seeds = [options.seed]
    if options.seed is None:
        seeds = random.sample(range(10**9), options.seeds)
    failed = []
    for seed in seeds:
        folder = tempfile.mkdtemp(prefix=f'soak-{seed}-')
        violations = asyncio.run(
            run_seed(seed, options.seconds, options.size, folder, kinds)
        )
        for line in violations[:5]:
            print(f'  {line}')
        if violations:
            failed.append(seed)
            print(f'  logs: {folder}', flush=True)
    print(f'{len(seeds)} seeds, failed: {failed or "none"}')
    sys.exit(bool(failed))


if __name__ == '__main__':
    main()
