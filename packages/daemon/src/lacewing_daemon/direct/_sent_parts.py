"""Remember which parts of prompts were sent to one upstream."""

from collections import OrderedDict

from lacewing_daemon.direct._call import Prompt
from lacewing_daemon.direct._routing_config import Engine

# Parts are evicted within seconds; one sent longer ago may be gone.
PART_TTL_S = 8.0
# Parts of prompts have some thousand tokens. Only the number of remembered
# parts depends on it.
_TOKENS_PER_PART = 2000


class SentParts:
    """Remember when each part was last sent."""

    def __init__(self) -> None:
        self._sent_s: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record(
        self, cache_salt: str, prompt: Prompt, engine: Engine, now_s: float
    ) -> None:
        """Record the parts of a prompt as sent."""
        for part in prompt.parts:
            key = (cache_salt, part.part_id)
            self._sent_s[key] = now_s
            self._sent_s.move_to_end(key)
        max_parts = max(1, engine.kv_tokens // _TOKENS_PER_PART)
        while len(self._sent_s) > max_parts:
            self._sent_s.popitem(last=False)

    def missing_tokens(
        self, cache_salt: str, prompt: Prompt, now_s: float
    ) -> int:
        """Return the tokens of a prompt from its first uncached part on."""
        missing = prompt.tokens
        for part in prompt.parts:
            if not self.has(cache_salt, part.part_id, now_s):
                break
            missing -= part.tokens
        return max(0, missing)

    def has(self, cache_salt: str, part_id: str, now_s: float) -> bool:
        """Return whether a part was sent lately."""
        sent_s = self._sent_s.get((cache_salt, part_id))
        return sent_s is not None and now_s - sent_s <= PART_TTL_S
