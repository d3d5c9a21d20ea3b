"""Run the soak: `python -m soak --seeds 50`."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from soak import checks
from soak import faults
from soak import world as worlds

CALLERS = 8


async def play(seed, seconds, size, folder):
    """Play one seed; return the promises that were not kept."""
    world = worlds.World(seed, size, folder)
    callers = checks.Callers(world)
    done = asyncio.Event()
    notes = (pathlib.Path(folder) / 'faults').open('w')
    await world.start()
    try:
        found = [line async for line in checks.settled(world, callers)]
        if found:
            return [f'did not start: {line}' for line in found]
        tasks = [
            asyncio.ensure_future(callers.run(done)) for _ in range(CALLERS)
        ]
        loop = asyncio.get_running_loop()
        began = loop.time()
        await faults.run(
            world,
            seconds,
            lambda text: print(
                f'{loop.time() - began:.2f} {text}', file=notes
            ),
        )
        found = [line async for line in checks.settled(world, callers)]
        done.set()
        await asyncio.gather(*tasks)
        found.extend(checks.broken(world, callers))
        found.extend(checks.drained_late(world))
        served = sum(told.status == 200 for told in callers.told)
        print(f'seed {seed}: {served} of {len(callers.told)} served', end='')
        print(f', {len(found)} promises broken')
        return found
    finally:
        await world.close()
        notes.close()


def main():
    """Play seeds, and say which broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, help='play this one only')
    parser.add_argument('--seeds', type=int, default=1, help='fresh ones')
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument('--size', type=int, default=4, help='daemons')
    options = parser.parse_args()
    seeds = [options.seed]
    if options.seed is None:
        seeds = random.sample(range(10**9), options.seeds)
    red = []
    for seed in seeds:
        folder = tempfile.mkdtemp(prefix=f'soak-{seed}-')
        found = asyncio.run(play(seed, options.seconds, options.size, folder))
        for line in found[:5]:
            print(f'  {line}')
        if found:
            red.append(seed)
            print(f'  logs: {folder}', flush=True)
    print(f'{len(seeds)} seeds, red: {red or "none"}')
    sys.exit(bool(red))


if __name__ == '__main__':
    main()
