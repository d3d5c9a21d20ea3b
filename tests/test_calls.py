"""What names a request, whichever daemon it is sent to."""

import testtools

from jujubefold import callentry
from jujubefold import calls
from jujubefold import callserver

# Host header without port, and what of it names the request.
HOSTS = (
    ('127.0.0.1', ''),
    ('10.1.2.3', ''),
    ('[::1]', ''),
    ('fd00::7', ''),
    ('', ''),
    ('pickups.example', 'pickups.example'),
    ('10.1.2.3.example', '10.1.2.3.example'),
)


class TestNamedHost(testtools.TestCase):
    def test_only_names_count(self):
        for host, wanted in HOSTS:
            self.assertEqual(wanted, calls.named_host(host), host)

    def test_fingerprint_is_the_same_at_each_daemon(self):
        found = {host: self.fingerprint(host) for host, _ in HOSTS}
        self.assertEqual(found['127.0.0.1'], found['10.1.2.3'])
        self.assertEqual(3, len(set(found.values())))

    def fingerprint(self, host):
        return callentry.fingerprint(
            callserver.Request(
                'POST', b'/confirm/1', '/confirm/1', host, [], {}, '', None
            )
        )
