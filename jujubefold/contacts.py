"""Contact table: stored addresses of daemons to join the fleet through."""

import asyncio

from jujubefold import dispatch
from jujubefold import joining
from jujubefold import table

_TABLE = 'contacts'
_ADDRESS = 'address'


class ContactTable:
    """Reads and writes the contact table, which has one row per slot.

    Args:
        rows: A `table.Table`.
        timeout: Seconds that one read may take.
    """

    def __init__(self, rows, timeout):
        self._rows = rows
        self._timeout = timeout

    async def read(self):
        """Read all slots.

        Returns:
            A `dispatch.ContactsRead`, without addresses after an error.
        """
        keys = [_key(slot) for slot in range(joining.CONTACT_SLOTS)]
        try:
            async with asyncio.timeout(self._timeout):
                found = await self._rows.read(keys)
        except TimeoutError:
            return dispatch.ContactsRead(None)
        if found.is_error():
            return dispatch.ContactsRead(None)
        return dispatch.ContactsRead(tuple(map(_address, found.ok)))

    async def write(self, slot, address):
        """Write an address to a slot.

        A write whose outcome is unknown needs no handling: rows are hints,
        and the next check reads them again.

        Args:
            slot: From 0 to `joining.CONTACT_SLOTS` - 1.
            address: Peer address, `ip:port`.

        Returns:
            As `table.Table.transact`.
        """
        write = table.Put(_key(slot), {_ADDRESS: address})
        return await self._rows.transact([write])


def _key(slot):
    return table.Key(_TABLE, f'{slot:03}')


def _address(row):
    return '' if row is None else str(row.values.get(_ADDRESS, ''))
