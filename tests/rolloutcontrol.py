"""Stand-in of the rollout controller: follows records that a test writes."""

import asyncio

import msgspec

from jujubefold.sidecar import rollout

TABLE = 'jujubefold-rollouts'
POLL_S = 0.05


class FollowingController:
    """Reports each record in the store, and decides nothing."""

    def __init__(
        self, feed, platform, own_name, policy, clock, rng, event_log, on_state
    ):
        self._feed = feed
        self._platform = platform
        self._on_state = on_state
        self._orders = ()
        self.services = ()
        self.steps, self.conflicts, self.takeovers = {}, 0, 0

    def set_orders(self, orders):
        self._orders = orders

    def set_services(self, names):
        self.services = names

    async def run(self):
        while True:
            records = await self._feed.read(TABLE)
            for item in self._orders if records.is_ok() else ():
                order = item.order
                if order is None:
                    continue
                found = [
                    msgspec.json.decode(item.value, type=rollout.Record)
                    for item in records.ok.rows
                    if item.key == order.service
                ]
                self._on_state(rollout.State(order.service, order, *found[:1]))
            await asyncio.sleep(POLL_S)


class Operator:
    """Writes an order, and its records as a controller would.

    Args:
        fleet: A `sidecars.Fleet`.
        service: Service of the order.
        to: Version of the order.
    """

    def __init__(self, fleet, service='pickups', to='v2'):
        self._fleet = fleet
        self._service = service
        self._to = to
        self._step = 0
        self.id = None

    async def order(self, seconds=20.0):
        """Write the order."""
        body = {
            'service': self._service,
            'to': self._to,
            'duration_s': seconds,
        }
        key = f'rollout/{self._service}'
        await self._fleet.feed.put('op', key, msgspec.json.encode(body))
        self.id = rollout.OrderId(0, self._fleet.feed.version)

    async def write(self, phase, share=0.0, **fields):
        """Write a record of the next step."""
        self._step += 1
        record = rollout.Record(
            self.id,
            self._to,
            0.0,
            20.0,
            phase,
            share,
            step=self._step,
            **fields,
        )
        body = msgspec.json.encode(record)
        await self._fleet.feed.put(TABLE, self._service, body)

    async def keep_writing(self, phase, share=0.0, **fields):
        """Renew the record each half second until cancelled."""
        while True:
            await self.write(phase, share, **fields)
            await asyncio.sleep(0.5)
