"""Tests of TLS contexts, their reload, and authorization."""

import pathlib
import socket
import ssl
import tempfile
import threading

import testtools

from jujubefold import settings
from jujubefold import trust
from tests import certificates


def handshake(server_context, client_context):
    """Perform a handshake and return what each end has seen.

    Keys are `client`, the certificate that the server got; `refused`, the
    error of the server; `received`, whether the client got the server's byte;
    and `error`, the error of the client.
    """
    server_socket, client_socket = socket.socketpair()
    seen = {}

    def serve():
        try:
            with server_context.wrap_socket(
                server_socket, server_side=True
            ) as tls:
                seen['client'] = tls.getpeercert()
                tls.sendall(b'x')
        except (ssl.SSLError, OSError) as error:
            seen['refused'] = error
            server_socket.close()

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        with client_context.wrap_socket(
            client_socket, server_hostname=trust.DAEMON_NAME
        ) as tls:
            seen['received'] = tls.recv(1) == b'x'
    except (ssl.SSLError, OSError) as error:
        seen['error'] = error
        client_socket.close()
    thread.join(10)
    return seen


class TestContexts(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.folder = tempfile.mkdtemp()
        self.authority = certificates.Authority(self.folder)
        self.keys = self.authority.issue('vm-1')

    def test_both_ends_authenticate_each_other(self):
        other = certificates.Authority(self.folder, 'other')
        cases = (
            ('daemon', self.authority.issue('vm-2'), True, True),
            ('operator', self.authority.issue('ann', daemon=False), 1, False),
            ('foreign', other.issue('vm-3'), False, False),
        )
        server = trust.ServerContext(self.keys)
        for name, keys, accepted, is_daemon in cases:
            with self.subTest(name):
                client = trust.client_context(keys)
                # The foreign client trusts this server, but not vice versa.
                client.load_verify_locations(self.authority.path)
                seen = handshake(server.context, client)
                self.assertEqual(bool(accepted), seen.get('received', False))
                found = trust.is_daemon_certificate(seen.get('client'))
                self.assertEqual(is_daemon, found)
                if accepted:
                    self.assertEqual(
                        keys.certificate.stem,
                        trust.common_name(seen['client']),
                    )

    def test_server_without_the_daemon_role_is_refused(self):
        server = trust.ServerContext(self.authority.issue('ann', daemon=False))
        seen = handshake(server.context, trust.client_context(self.keys))
        self.assertIsInstance(seen['error'], ssl.SSLError)

    def test_client_without_a_certificate_is_refused(self):
        client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        client.load_verify_locations(self.authority.path)
        seen = handshake(trust.ServerContext(self.keys).context, client)
        self.assertFalse(seen.get('received', False))

    def test_changed_files_are_loaded_and_broken_ones_are_not(self):
        server = trust.ServerContext(self.keys)
        self.assertFalse(server.reload().ok)
        old = trust.client_context(self.authority.issue('vm-9'))
        certificates.Authority(self.folder).issue('vm-1')
        old.load_verify_locations(self.keys.authority)
        self.assertTrue(server.reload().ok)
        self.assertNotIn('received', handshake(server.context, old))
        client = trust.client_context(self.keys)
        self.assertTrue(handshake(server.context, client)['received'])
        pathlib.Path(self.keys.certificate).write_text('broken')
        self.assertTrue(server.reload().is_error())
        self.assertTrue(handshake(server.context, client)['received'])

    def test_unreadable_keys_are_reported(self):
        missing = settings.Tls(
            certificate='/nowhere/a', key='/nowhere/b', authority='/nowhere/c'
        )
        self.assertTrue(trust.check(missing).is_error())
        self.assertTrue(trust.check(self.keys).is_ok())


class TestAuthorization(testtools.TestCase):
    def test_listed_operators_only_and_all_in_plain_mode(self):
        folder = tempfile.mkdtemp()
        tls = certificates.Authority(folder).issue('vm', operators=('ann',))
        cases = (
            (tls, 'ann', True),
            (tls, 'bob', False),
            (tls, '', False),
            (None, '', True),
        )
        for listed, name, allowed in cases:
            with self.subTest(name=name):
                found = trust.may_submit(listed, name)
                self.assertEqual(allowed, found.is_ok())
                if not allowed:
                    self.assertIn('not listed', found.error.reason)

    def test_plain_mode_gives_a_warning(self):
        self.assertIn('PLAIN MODE', trust.plain_warning(None))
        self.assertEqual('', trust.plain_warning(object()))
        self.assertEqual('', trust.common_name(None))
