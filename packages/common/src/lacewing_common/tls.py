"""Create the TLS contexts of listeners and of links between processes.

The authority in the settings signs certificates only for processes of the
system and for its operators. Peers are authenticated by that signature, not
by their address, because VMs are replaced at any time and addresses are
reused.
"""

from asyncio.sslproto import SSLProtocol
from enum import Enum
from ssl import CERT_NONE
from ssl import CERT_OPTIONAL
from ssl import CERT_REQUIRED
from ssl import create_default_context
from ssl import Purpose
from ssl import SSLContext
from ssl import SSLError
from ssl import TLSVersion
from ssl import VerifyMode

from lacewing_common.settings import Settings
from lacewing_common.settings import SettingsError
from lacewing_common.settings import TlsFiles

_HTTP2 = ['h2']
_TLS_RECORD_BYTES = 16 * 1024


class ClientCertificate(Enum):
    """List how listeners treat client certificates.

    PEERS: required, for processes of the system (gRPC over HTTP/2).
    OPERATORS: optional; commands require one, queries do not.
    CALLERS: not requested; callers are authenticated by their team keys.
    """

    PEERS = 'peers'
    OPERATORS = 'operators'
    CALLERS = 'callers'


_VERIFY_MODES: dict[ClientCertificate, VerifyMode] = {
    ClientCertificate.PEERS: CERT_REQUIRED,
    ClientCertificate.OPERATORS: CERT_OPTIONAL,
    ClientCertificate.CALLERS: CERT_NONE,
}


def server_context(
    settings: Settings, clients: ClientCertificate
) -> SSLContext | None:
    """Return the context of a listener; None if TLS is not configured."""
    if settings.tls is None:
        return None
    context = create_default_context(Purpose.CLIENT_AUTH)
    context.minimum_version = TLSVersion.TLSv1_2
    _load_files(context, settings.tls)
    context.verify_mode = _VERIFY_MODES[clients]
    if clients is ClientCertificate.PEERS:
        context.set_alpn_protocols(_HTTP2)
    return context


def client_context(settings: Settings) -> SSLContext | None:
    """Return the context of links to peers; None without TLS."""
    if settings.tls is None:
        return None
    context = create_default_context(Purpose.SERVER_AUTH)
    context.minimum_version = TLSVersion.TLSv1_2
    context.check_hostname = False
    _load_files(context, settings.tls)
    context.set_alpn_protocols(_HTTP2)
    return context


def limit_tls_buffers() -> None:
    """Limit asyncio's read buffer of a TLS connection to one record.

    The default is 256 KiB for each connection, idle or not, which increased
    the memory of a router with 890 links by 310 MB. TLS records have at most
    16 KiB, so the smaller buffer causes no additional reads.
    """
    SSLProtocol.max_size = _TLS_RECORD_BYTES


def check_tls_files(files: TlsFiles) -> None:
    """Load the files; raise SettingsError naming an invalid one."""
    context = create_default_context(Purpose.CLIENT_AUTH)
    _load_files(context, files)


def _load_files(context: SSLContext, files: TlsFiles) -> None:
    try:
        context.load_cert_chain(files.certificate, files.key)
    except (OSError, SSLError) as error:
        raise SettingsError(
            'expected PEM files of a certificate and its key, got'
            f' {files.certificate} and {files.key}: {error}'
            ' - at `$.tls.certificate`'
        ) from error
    try:
        context.load_verify_locations(files.authority)
    except (OSError, SSLError) as error:
        raise SettingsError(
            'expected the PEM file of an authority, got'
            f' {files.authority}: {error} - at `$.tls.authority`'
        ) from error
