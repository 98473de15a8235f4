"""Build the TLS contexts of listeners and of links between processes.

The authority named in the settings signs only the system's own processes
and its operators. A peer is known by that signature and not by its address:
VMs are replaced at any time and their addresses are used again.
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
    """Tell whether a listener asks its clients for a certificate.

    PEERS: always, for the system's own processes (gRPC over HTTP/2).
    OPERATORS: when they have one; queries are open, commands ask for it.
    CALLERS: never; callers are known by their team keys.
    """

    PEERS = 'peers'
    OPERATORS = 'operators'
    CALLERS = 'callers'


_MODES: dict[ClientCertificate, VerifyMode] = {
    ClientCertificate.PEERS: CERT_REQUIRED,
    ClientCertificate.OPERATORS: CERT_OPTIONAL,
    ClientCertificate.CALLERS: CERT_NONE,
}


def server_context(
    settings: Settings, clients: ClientCertificate
) -> SSLContext | None:
    """Build a listener's context; None when TLS is not set up."""
    if settings.tls is None:
        return None
    context = create_default_context(Purpose.CLIENT_AUTH)
    context.minimum_version = TLSVersion.TLSv1_2
    _load(context, settings.tls)
    context.verify_mode = _MODES[clients]
    if clients is ClientCertificate.PEERS:
        context.set_alpn_protocols(_HTTP2)
    return context


def client_context(settings: Settings) -> SSLContext | None:
    """Build the context of links to peers; None when TLS is not set up."""
    if settings.tls is None:
        return None
    context = create_default_context(Purpose.SERVER_AUTH)
    context.minimum_version = TLSVersion.TLSv1_2
    context.check_hostname = False
    _load(context, settings.tls)
    context.set_alpn_protocols(_HTTP2)
    return context


def limit_tls_buffers() -> None:
    """Keep asyncio's read buffer of a TLS connection to one record.

    It would be 256 KiB for each connection of this process, in use or not:
    one would see a router with 890 links grow by 310 MB. TLS records are
    16 KiB at most, so a smaller buffer costs no further reads.
    """
    SSLProtocol.max_size = _TLS_RECORD_BYTES


def check_tls_files(files: TlsFiles) -> None:
    """Load the files once; raise SettingsError naming the wrong one."""
    context = create_default_context(Purpose.CLIENT_AUTH)
    _load(context, files)


def _load(context: SSLContext, files: TlsFiles) -> None:
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
