"""Read lists from the command line."""

from collections.abc import Iterable

from lacewing_common.settings import parse_address


def listed(given: object) -> tuple[str, ...]:
    """Return the texts of a flag, which fire may have split at commas."""
    if isinstance(given, str):
        return tuple(text for text in given.split(',') if text)
    if isinstance(given, Iterable):
        return tuple(str(each) for each in given)
    return (str(given),)


def base_urls(given: object, secure: bool) -> tuple[str, ...]:
    """Return the base URL of each ``ip:port``; raise SettingsError."""
    scheme = 'https' if secure else 'http'
    urls: list[str] = []
    for text in listed(given):
        urls.append(f'{scheme}://{parse_address(text)}')
    return tuple(urls)
