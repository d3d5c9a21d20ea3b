"""The stand-in's object store: a bucket in memory, in S3's REST forms."""

import datetime
import urllib.parse
import xml.etree.ElementTree

import sortedcontainers

from jujubefold import objectservice
from jujubefold import storelimit
from jujubefold import storereply

PAGE = 1000
_XML = 'application/xml'
_OPERATIONS = {
    'PUT': (objectservice.PUT_OBJECT, storelimit.Kind.WRITE),
    'DELETE': (objectservice.DELETE_OBJECT, storelimit.Kind.WRITE),
    'GET': (objectservice.GET_OBJECT, storelimit.Kind.READ),
}


class ObjectServer:
    """Answers the store's operations; calls must not overlap.

    Args:
        bucket: Name of the only bucket.
        clock: A `clock.Clock` that objects are dated by.
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
            return _error(404, 'NoSuchBucket')
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
        return _error(405, 'MethodNotAllowed')

    def unavailable(self):
        """Return the reply of a store that is down."""
        return _error(503, 'ServiceUnavailable')

    def throttled(self):
        """Return the reply to a request over the store's capacity."""
        return _error(503, 'SlowDown')

    def _get(self, key):
        found = self._blobs.get(key)
        if found is None:
            return _error(404, 'NoSuchKey')
        return storereply.Reply(200, found[0], 'application/octet-stream')

    def _put(self, environ, key, body):
        condition = environ.get('HTTP_IF_NONE_MATCH', '')
        if condition not in ('', '*'):
            return _error(400, 'InvalidRequest')
        if condition and key in self._blobs:
            return _error(412, 'PreconditionFailed')
        self._blobs[key] = (body, self._clock.wall())
        return storereply.Reply(200, rows_written=1)

    def _list(self, environ):
        query = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''))
        if query.get('list-type') != ['2']:
            return _error(400, 'InvalidArgument')
        prefix = query.get('prefix', [''])[0]
        after = query.get('continuation-token', [''])[0]
        keys = [
            key
            for key in self._blobs.irange(after, inclusive=(False, True))
            if key.startswith(prefix)
        ]
        return self._page(keys)

    def _page(self, keys):
        root = xml.etree.ElementTree.Element(
            'ListBucketResult', xmlns=objectservice.NAMESPACE[1:-1]
        )
        _add(root, 'Name', self._bucket)
        _add(root, 'KeyCount', str(len(keys[:PAGE])))
        _add(root, 'IsTruncated', 'true' if len(keys) > PAGE else 'false')
        if len(keys) > PAGE:
            _add(root, 'NextContinuationToken', keys[PAGE - 1])
        for key in keys[:PAGE]:
            data, born = self._blobs[key]
            contents = _add(root, 'Contents')
            _add(contents, 'Key', key)
            _add(contents, 'LastModified', _date(born))
            _add(contents, 'Size', str(len(data)))
        return _xml(200, root)


def _bucket(environ):
    return environ['PATH_INFO'].lstrip('/').partition('/')[0]


def _key(environ):
    return environ['PATH_INFO'].lstrip('/').partition('/')[2]


def _date(seconds):
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return when.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


def _add(parent, name, text=''):
    child = xml.etree.ElementTree.SubElement(parent, name)
    child.text = text
    return child


def _error(status, code):
    root = xml.etree.ElementTree.Element('Error')
    _add(root, 'Code', code)
    _add(root, 'Message', code)
    return _xml(status, root)


def _xml(status, root):
    body = xml.etree.ElementTree.tostring(root, xml_declaration=True)
    return storereply.Reply(status, body, _XML)
