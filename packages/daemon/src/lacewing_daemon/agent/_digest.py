"""Choose what a router is told, within its byte allowance."""

from lacewing_common.prefix import HASH_BYTES

# A message without any hash: load, epoch, framing of HTTP/2 and TLS.
MESSAGE_BYTES = 100.0
# Unspent allowance is kept for so many seconds of a quiet cache. A router
# that just connected gets as much at once: after a herd of restarts it would
# else compute again for seconds what the caches hold.
KEPT_S = 4.0
MOST_PENDING = 4096


class Digest:
    """Hold what one router has not been told yet."""

    def __init__(self, bytes_s: float, now_s: float) -> None:
        self._bytes_s = bytes_s
        self._credit = max(MESSAGE_BYTES, KEPT_S * bytes_s)
        self._at_s = now_s
        self._pending: dict[bytes, bool] = {}

    @property
    def enabled(self) -> bool:
        """Tell whether the router wants to be told anything."""
        return self._bytes_s > 0

    @property
    def period_s(self) -> float:
        """Return seconds between messages that use half for hashes."""
        return 2 * MESSAGE_BYTES / self._bytes_s

    @property
    def pending(self) -> int:
        """Return the number of changes not told yet."""
        return len(self._pending)

    def change(self, key: bytes, stored: bool) -> None:
        """Note a level that the cache gained or lost."""
        self._pending.pop(key, None)
        self._pending[key] = stored
        if len(self._pending) > MOST_PENDING:
            self._pending.pop(next(iter(self._pending)))

    def earn(self, now_s: float) -> bool:
        """Add the allowance since the last time; true if it will do."""
        self._credit += (now_s - self._at_s) * self._bytes_s
        self._at_s = now_s
        most = max(2 * MESSAGE_BYTES, KEPT_S * self._bytes_s)
        self._credit = min(most, self._credit)
        return self._credit >= MESSAGE_BYTES

    def take(self) -> tuple[bytes, bytes]:
        """Spend on one message; return joined hashes stored and evicted."""
        self._credit -= MESSAGE_BYTES
        stored: list[bytes] = []
        evicted: list[bytes] = []
        while self._pending and self._credit >= HASH_BYTES:
            # The latest change first: it says most of what is hot.
            key, is_stored = self._pending.popitem()
            self._credit -= HASH_BYTES
            if is_stored:
                stored.append(key)
                continue
            evicted.append(key)
        return b''.join(stored), b''.join(evicted)
