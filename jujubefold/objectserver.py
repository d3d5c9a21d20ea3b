"""Object store of the stand-in: an in-memory bucket with S3's REST API."""

import datetime
import urllib.parse
import xml.etree.ElementTree

import sortedcontainers

from jujubefold import objectservice
from jujubefold import storelimit
from jujubefold import storereply

PAGE_SIZE = 1000
_XML = 'application/xml'
_OPERATIONS = {
    'PUT': (objectservice.PUT_OBJECT, storelimit.Kind.WRITE),
    'DELETE': (objectservice.DELETE_OBJECT, storelimit.Kind.WRITE),
    'GET': (objectservice.GET_OBJECT, storelimit.Kind.READ),
}


class ObjectServer:
    """Handles the store's operations; callers must serialize calls.

    Args:
        bucket: Name of the only bucket.
        clock: A `clock.Clock`, for modification times.
    """

    def __init__(self, bucket, clock):
        self._bucket = bucket
        self._clock = clock
        self._blobs = sortedcontainers.SortedDict()

    def operation(self, environ):
        """Return `(operation name, storelimit.Kind)` of a request."""
        method = environ['REQUEST_METHOD']
        if method == 'GET' and not _key(environ):
            return objectservice.LIST_OBJECTS, storelimit.Kind.READ
        return _OPERATIONS.get(method, (method, storelimit.Kind.READ))

    def handle(self, environ, body):
        """Return the `storereply.Reply` to a request."""
        if _bucket(environ) != self._bucket:
            return _error_reply(404, 'NoSuchBucket')
        key = _key(environ)
        match environ['REQUEST_METHOD']:
            case 'GET' if not key:
                return self._list(environ)
            case 'GET':
                return self._get(key)
            case 'PUT' if key:
                return self._put(environ, key, body)
            case 'DELETE' if key:
                self._blobs.pop(key, None)
                return storereply.Reply(204, rows_written=1)
        return _error_reply(405, 'MethodNotAllowed')

    def unavailable(self):
        """Return the reply for a store that is down."""
        return _error_reply(503, 'ServiceUnavailable')

    def throttled(self):
        """Return the reply to a request over the store's capacity."""
        return _error_reply(503, 'SlowDown')

    def _get(self, key):
        found = self._blobs.get(key)
        if found is None:
            return _error_reply(404, 'NoSuchKey')
        return storereply.Reply(200, found[0], 'application/octet-stream')

    def _put(self, environ, key, body):
        condition = environ.get('HTTP_IF_NONE_MATCH', '')
        if condition not in ('', '*'):
            return _error_reply(400, 'InvalidRequest')
        if condition and key in self._blobs:
            return _error_reply(412, 'PreconditionFailed')
        self._blobs[key] = (body, self._clock.wall())
        return storereply.Reply(200, rows_written=1)

    def _list(self, environ):
        query = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''))
        if query.get('list-type') != ['2']:
            return _error_reply(400, 'InvalidArgument')
        prefix = query.get('prefix', [''])[0]
        after = query.get('continuation-token', [''])[0]
        keys = [
            key
            for key in self._blobs.irange(after, inclusive=(False, True))
            if key.startswith(prefix)
        ]
        return self._list_reply(keys)

    def _list_reply(self, keys):
        root = xml.etree.ElementTree.Element(
            'ListBucketResult', xmlns=objectservice.NAMESPACE[1:-1]
        )
        _add_element(root, 'Name', self._bucket)
        _add_element(root, 'KeyCount', str(len(keys[:PAGE_SIZE])))
        _add_element(
            root, 'IsTruncated', 'true' if len(keys) > PAGE_SIZE else 'false'
        )
        if len(keys) > PAGE_SIZE:
            _add_element(root, 'NextContinuationToken', keys[PAGE_SIZE - 1])
        for key in keys[:PAGE_SIZE]:
            data, modified = self._blobs[key]
            contents = _add_element(root, 'Contents')
            _add_element(contents, 'Key', key)
            _add_element(contents, 'LastModified', _iso_date(modified))
            _add_element(contents, 'Size', str(len(data)))
        return _xml_reply(200, root)


def _bucket(environ):
    return environ['PATH_INFO'].lstrip('/').partition('/')[0]


def _key(environ):
    return environ['PATH_INFO'].lstrip('/').partition('/')[2]


def _iso_date(seconds):
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


def _add_element(parent, name, text=''):
    child = xml.etree.ElementTree.SubElement(parent, name)
    child.text = text
    return child


def _error_reply(status, code):
    root = xml.etree.ElementTree.Element('Error')
    _add_element(root, 'Code', code)
    _add_element(root, 'Message', code)
    return _xml_reply(status, root)


def _xml_reply(status, root):
    body = xml.etree.ElementTree.tostring(root, xml_declaration=True)
    return storereply.Reply(status, body, _XML)
