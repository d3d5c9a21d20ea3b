"""Client of the platform's object store (S3 REST subset)."""

import datetime
import email.utils
import hashlib
import re
import urllib.parse
import xml.etree.ElementTree

import expression

from jujubefold import errors
from jujubefold import objectstore
from jujubefold import storeclient
from jujubefold import storelimit

NAMESPACE = '{http://s3.amazonaws.com/doc/2006-03-01/}'
PUT_OBJECT = 'PutObject'
GET_OBJECT = 'GetObject'
DELETE_OBJECT = 'DeleteObject'
LIST_OBJECTS = 'ListObjectsV2'
# Errors that the store returns before a request has any effect.
_ERRORS_BEFORE_EFFECT = frozenset(
    {'ServiceUnavailable', 'SlowDown', 'EntityTooLarge', 'InvalidRequest'}
)
_DIGEST = re.compile('[0-9a-f]{64}')


class ObjectService(objectstore.ObjectStore):
    """Blobs in a bucket of the platform's object store.

    Args:
        url: URL of the bucket.
        clock: A `clock.Clock`.
        timeout: Seconds for one call.
        limiter: A `storelimit.StoreLimiter`.
    """

    def __init__(self, url, clock, timeout, limiter):
        self._url = url.rstrip('/')
        self._client = storeclient.StoreClient(clock, timeout, limiter)

    async def put(self, data):
        digest = hashlib.sha256(data).hexdigest()
        request = storeclient.Request(
            PUT_OBJECT,
            storelimit.Kind.WRITE,
            'PUT',
            f'{self._url}/{digest}',
            {'If-None-Match': '*'},
            data,
        )
        result = await self._client.call_idempotent(request, _put_result)
        return result.map(lambda _: digest)

    async def get(self, digest):
        request = self._request(
            GET_OBJECT, storelimit.Kind.READ, 'GET', digest
        )
        return await self._client.call(
            request, lambda response: _get_result(response, digest)
        )

    async def delete(self, digest):
        request = self._request(
            DELETE_OBJECT, storelimit.Kind.WRITE, 'DELETE', digest
        )
        return await self._client.call(request, _delete_result)

    async def list_blobs(self):
        found = ()
        token = ''
        while True:
            page = await self._page(token)
            if page.is_error():
                return page
            names, token = page.ok
            found += names
            if not token:
                return expression.Ok(found)

    def close(self):
        """Close connections to the store."""
        self._client.close()

    async def _page(self, token):
        query = {'list-type': '2'}
        if token:
            query['continuation-token'] = token
        request = storeclient.Request(
            LIST_OBJECTS,
            storelimit.Kind.READ,
            'GET',
            f'{self._url}?{urllib.parse.urlencode(query)}',
            {},
        )
        return await self._client.call(request, _list_result)

    def _request(self, operation, kind, method, digest):
        return storeclient.Request(
            operation, kind, method, f'{self._url}/{digest}', {}
        )


def _put_result(response):
    # 412: an object with this digest exists already.
    if response.status in (200, 412):
        return expression.Ok(None)
    return expression.Error(_failure(response))


def _get_result(response, digest):
    if response.status == 404 and _error_code(response) == 'NoSuchKey':
        return expression.Ok(None)
    if response.status != 200:
        return expression.Error(_failure(response))
    if hashlib.sha256(response.body).hexdigest() != digest:
        return expression.Error(
            errors.StoreNotRun('the blob received does not match its digest')
        )
    return expression.Ok(response.body)


def _delete_result(response):
    if response.status in (200, 204, 404):
        return expression.Ok(None)
    return expression.Error(_failure(response))


def _list_result(response):
    if response.status != 200:
        return expression.Error(_failure(response))
    root = _parse_xml(response.body)
    now = email.utils.parsedate_to_datetime(response.headers.get('Date', ''))
    names = tuple(
        _name_and_age(item, now) for item in root.iter(f'{NAMESPACE}Contents')
    )
    token = root.findtext(f'{NAMESPACE}NextContinuationToken', '')
    return expression.Ok(
        (tuple(item for item in names if _DIGEST.fullmatch(item[0])), token)
    )


def _name_and_age(item, now):
    modified = datetime.datetime.fromisoformat(
        item.findtext(f'{NAMESPACE}LastModified', '')
    )
    age = max(0.0, (now - modified).total_seconds())
    return item.findtext(f'{NAMESPACE}Key', ''), age


def _failure(response):
    code = _error_code(response)
    reason = f'HTTP {response.status} {code}'
    if code in _ERRORS_BEFORE_EFFECT or 400 <= response.status < 500:
        return errors.StoreNotRun(reason)
    return errors.StoreOutcomeUnknown(reason)


def _error_code(response):
    try:
        return _parse_xml(response.body).findtext('Code', '')
    except ValueError:
        return ''


def _parse_xml(body):
    try:
        return xml.etree.ElementTree.fromstring(body)
    except xml.etree.ElementTree.ParseError as error:
        raise ValueError(str(error)) from error
