"""Newest items by key, for lines of the log that explain later events."""

import collections
from typing import Generic, TypeVar

Item = TypeVar('Item')

MAX_RECENT_ITEMS = 4096
"""Items that are kept. At the largest rate of runs, 1,500 a second, those of
the last seconds; a stray run is listed within one poll."""


class RecentItems(Generic[Item]):
    """The newest items by key; the oldest are dropped beyond a number."""

    def __init__(self) -> None:
        self._items: collections.OrderedDict[str, Item] = (
            collections.OrderedDict()
        )

    def note(self, key: str, item: Item) -> None:
        """Note a key's item, in place of a former one."""
        self._items[key] = item
        self._items.move_to_end(key)
        if len(self._items) > MAX_RECENT_ITEMS:
            self._items.popitem(last=False)

    def find(self, key: str) -> Item | None:
        """Return a key's item, or None."""
        return self._items.get(key)

    def clear(self) -> None:
        """Drop every item."""
        self._items.clear()
