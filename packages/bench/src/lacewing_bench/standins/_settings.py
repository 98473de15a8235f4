"""Define and check the JSON settings of the stand-in workers."""

from pathlib import Path
from typing import TypeAlias

import msgspec


class ConfigError(ValueError):
    """Name the wrong field, what was expected and what came."""


class Config(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Mark a group of settings."""


class LoadedAdapter(Config, frozen=True):
    """Name an adapter and its version."""

    name: str
    version: str


class LoadedModel(Config, frozen=True):
    """Name a model, its weights version and its adapters."""

    id: str
    weights: str
    adapters: tuple[LoadedAdapter, ...] = ()


class EngineCosts(Config, frozen=True):
    """Price the work of an engine, in milliseconds.

    A step costs ``step_ms``, ``sequence_ms`` for each sequence decoded in it
    and ``prefill_token_ms`` for each prompt token computed in it, of which
    there are ``chunk_tokens`` at most. Import and export cost
    ``kv_block_ms`` a block; a load costs ``load_ms`` when no platform is set.
    """

    step_ms: float = 20.0
    sequence_ms: float = 0.25
    prefill_token_ms: float = 0.1
    chunk_tokens: int = 256
    kv_block_ms: float = 0.5
    load_ms: float = 400.0


class EngineConfig(Config, frozen=True, tag_field='kind', tag='engine'):
    """Describe one engine; port 0 lets the system choose.

    ``load_lag_ms`` delays the figures of ``/load``. ``platform`` is the base
    URL that weights are fetched from; empty: none.
    """

    name: str
    port: int = 0
    models: tuple[LoadedModel, ...] = ()
    capacity_blocks: int = 4096
    max_running: int = 32
    max_models: int = 2
    load_lag_ms: float = 250.0
    honours_fencing: bool = True
    platform: str = ''
    costs: EngineCosts = EngineCosts()


class PlainConfig(Config, frozen=True, tag_field='kind', tag='plain'):
    """Describe one plain service; more calls than ``max_running`` queue."""

    name: str
    port: int = 0
    service_ms: float = 20.0
    max_running: int = 8
    load_lag_ms: float = 250.0


class KvConfig(Config, frozen=True, tag_field='kind', tag='kv'):
    """Describe one store of kept KV cache."""

    name: str
    port: int = 0
    capacity_blocks: int = 100_000


WorkerConfig: TypeAlias = EngineConfig | PlainConfig | KvConfig


class StandinsConfig(Config, frozen=True):
    """List the stand-in workers of one process."""

    workers: tuple[WorkerConfig, ...]


def parse_config(text: bytes) -> StandinsConfig:
    """Read the settings from JSON; raise ConfigError naming the field."""
    try:
        config = msgspec.json.decode(text, type=StandinsConfig)
    except msgspec.DecodeError as error:
        raise ConfigError(f'stand-ins: {error}') from error
    names: set[str] = set()
    for worker in config.workers:
        if worker.name in names:
            raise ConfigError(
                f'expected distinct worker names, got {worker.name!r} twice'
                ' - at `$.workers`'
            )
        names.add(worker.name)
    return config


def read_config(path: Path) -> StandinsConfig:
    """Read the settings from a file; raise ConfigError naming the field."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise ConfigError(f'settings file {path}: {error}') from error
    return parse_config(text)
