"""TLS contexts from settings, reloaded when the certificate files change."""

import logging
import os
import ssl
import typing

import anyio

from dogwoodgap import events, exceptions, settings

RELOAD_INTERVAL_S = 5.0


class FileState(typing.NamedTuple):
    """File attributes that reveal a replaced file."""

    path: str
    modified_ns: int
    size: int


class Certificates:
    """TLS contexts that are updated when the certificate files change.

    New handshakes use the new certificate; open connections keep the old one.
    """

    def __init__(self, section: settings.TlsSection):
        self.section = section
        self.contexts: list[ssl.SSLContext] = []
        self.loaded_files = self.file_states() if self.enabled else ()

    @property
    def enabled(self) -> bool:
        """Whether a certificate is configured."""
        return bool(self.section.certificate)

    def server_context(self, *, require_client_certificate: bool = False) -> ssl.SSLContext | None:
        """Return a server context, or None when TLS is off.

        Raises
        ------
        SettingsInvalidError
            When the certificate, its key or the authority cannot be loaded.
        """
        if not self.enabled:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(["h2", "http/1.1"])
        self.load(context)
        if require_client_certificate:
            context.verify_mode = ssl.CERT_REQUIRED
            self.load_authority(context)
        self.contexts.append(context)
        return context

    def client_context(self) -> ssl.SSLContext | None:
        """Return a client context that presents the certificate, or None when TLS is off."""
        if not self.enabled:
            return None
        context = ssl.create_default_context()
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.load(context)
        self.load_authority(context)
        self.contexts.append(context)
        return context

    def load(self, context: ssl.SSLContext) -> None:
        """Load the certificate and its key into a context."""
        try:
            context.load_cert_chain(self.section.certificate, self.section.key or None)
        except (OSError, ssl.SSLError) as error:
            raise exceptions.SettingsInvalidError(
                f"tls.certificate {self.section.certificate!r} and tls.key cannot be used "
                f"({error}); name a readable certificate and its own key"
            ) from error

    def load_authority(self, context: ssl.SSLContext) -> None:
        """Add the configured certificate authority to the trusted ones of a context."""
        if not self.section.client_authority:
            return
        try:
            context.load_verify_locations(self.section.client_authority)
        except (OSError, ssl.SSLError) as error:
            raise exceptions.SettingsInvalidError(
                f"tls.client_authority {self.section.client_authority!r} cannot be used "
                f"({error}); name a readable file of certificates"
            ) from error

    def file_states(self) -> tuple[FileState, ...]:
        """Return the state of the certificate and key files; zeros for missing ones."""
        paths = [self.section.certificate, self.section.key or self.section.certificate]
        states = []
        for path in paths:
            try:
                status = os.stat(path)
            except OSError:
                states.append(FileState(path, 0, 0))
                continue
            states.append(FileState(path, status.st_mtime_ns, status.st_size))
        return tuple(states)

    def reload(self) -> bool:
        """Load changed files into all contexts; return whether new files were loaded.

        Invalid files are logged and not used.
        """
        current_files = self.file_states()
        if current_files == self.loaded_files:
            return False
        self.loaded_files = current_files
        try:
            # Tried on a scratch context: a failed load can leave a new certificate with an old key.
            self.load(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
        except exceptions.SettingsInvalidError as error:
            events.emit(
                events.Event.CERTIFICATE_REJECTED,
                "changed certificate files are invalid; the old certificate stays in use",
                level=logging.ERROR,
                detail=error.detail,
            )
            return False
        for context in self.contexts:
            self.load(context)
        return True

    async def watch(self) -> None:
        """Poll the files and reload them when they change; returns at once without TLS."""
        while self.enabled:
            await anyio.sleep(RELOAD_INTERVAL_S)
            self.reload()
