"""Hold sums whose older samples count less, and sums sent to other routers."""

import msgspec


class DecayedSums:
    """Hold sums of samples that halve every ``half_life_s``.

    ``max_weight``: maximum of the first sum, which counts samples. The others
    are scaled with it, so that many samples don't delay the reaction to a
    change or the return to the prior once samples cease.
    """

    __slots__ = ('_half_life_s', '_max_weight', '_values', '_at_s')

    def __init__(
        self,
        half_life_s: float,
        size: int,
        max_weight: float = float('inf'),
    ) -> None:
        self._half_life_s = half_life_s
        self._max_weight = max_weight
        self._values = (0.0,) * size
        self._at_s = float('-inf')

    def at(self, now_s: float) -> tuple[float, ...]:
        """Return the sums as they count at a time."""
        factor = self._decay(now_s)
        if factor == 1.0:
            return self._values
        return tuple([value * factor for value in self._values])

    def add(self, values: tuple[float, ...], now_s: float) -> None:
        """Add a sample, or sums of several."""
        factor = self._decay(now_s)
        pairs = zip(self._values, values, strict=True)
        added = [before * factor + value for before, value in pairs]
        if added[0] > self._max_weight:
            excess = self._max_weight / added[0]
            added = [value * excess for value in added]
        self._values = tuple(added)
        self._at_s = max(now_s, self._at_s)

    def _decay(self, now_s: float) -> float:
        age_s = now_s - self._at_s
        if age_s <= 0:
            return 1.0
        decay: float = 0.5 ** (age_s / self._half_life_s)
        return decay


class FitSums(msgspec.Struct, array_like=True):
    """Hold sums of a weighted least-squares fit of times over tokens.

    ``count``: samples. The others are sums of a weight times 1, tokens,
    tokens squared, milliseconds, and tokens times milliseconds.
    """

    count: float = 0.0
    weight: float = 0.0
    tokens: float = 0.0
    tokens_squared: float = 0.0
    took_ms: float = 0.0
    product: float = 0.0


class EngineSums(msgspec.Struct, array_like=True):
    """Hold what a router has observed of one engine since its last message.

    ``count``: first events, whose prompts and the prompts queued before them
    had ``tokens`` to be prefilled and took ``slowed_ms``, or ``took_ms`` with
    the slowdown of the machine divided out. ``run_tokens`` generated took
    ``run_ms``.
    """

    count: int = 0
    tokens: float = 0.0
    took_ms: float = 0.0
    slowed_ms: float = 0.0
    run_tokens: float = 0.0
    run_ms: float = 0.0


class ServiceSums(msgspec.Struct, array_like=True):
    """Hold what a router has observed of a service since its last message."""

    fit: FitSums
    engines: dict[str, EngineSums]


class SpeedsMessage(msgspec.Struct, array_like=True):
    """Hold the sums of all contended services by name."""

    services: dict[str, ServiceSums]
