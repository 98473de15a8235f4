"""Take the bundle from a file and read it again when the file changes."""

import asyncio
from collections.abc import Callable
from hashlib import sha256
from pathlib import Path

import msgspec
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import NO_BUNDLE
from lacewing_common.bundle import RolledBundle
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import SettingsError

_POLL_S = 0.5


def read_bundle(path: Path) -> tuple[Bundle, str]:
    """Read a bundle and its SHA-256 digest; raise SettingsError."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise SettingsError(f'bundle file {path}: {error}') from error
    try:
        bundle = msgspec.json.decode(text, type=Bundle)
    except msgspec.DecodeError as error:
        raise SettingsError(f'bundle file {path}: {error}') from error
    return bundle, sha256(text).hexdigest()


class FileBundles:
    """Give the bundle of a file, numbered from 1 by each change seen."""

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._current = NO_BUNDLE
        self._callbacks: list[Callable[[RolledBundle], None]] = []
        self._changed_ns = 0
        self._log = get_log(Part.BUNDLE)

    @property
    def current(self) -> RolledBundle:
        """Return the bundle in force; number 0 before the first."""
        return self._current

    def on_change(self, callback: Callable[[RolledBundle], None]) -> None:
        """Call back after each change, with the new bundle."""
        self._callbacks.append(callback)

    def reload(self) -> None:
        """Read the file; an unreadable or wrong one leaves all as it was."""
        if self._path is None:
            return
        try:
            bundle, digest = read_bundle(self._path)
        except SettingsError as error:
            self._log.warning('Bundle file refused.', error=str(error))
            return
        if digest == self._current.digest:
            return
        number = self._current.number + 1
        self._current = RolledBundle(number, digest, bundle)
        self._log.info('In force.', number=number, digest=digest[:12])
        for callback in self._callbacks:
            callback(self._current)

    async def follow(self) -> None:
        """Read the file again whenever its change time moves."""
        while True:
            self._reload_if_changed()
            await asyncio.sleep(_POLL_S)

    def _reload_if_changed(self) -> None:
        if self._path is None:
            return
        try:
            changed_ns = self._path.stat().st_mtime_ns
        except OSError:
            # The file is being replaced: the bundle in force stays.
            return
        if changed_ns == self._changed_ns:
            return
        self._changed_ns = changed_ns
        self.reload()
