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
_BEFORE_EFFECT = frozenset(
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
        result = await self._client.call_idempotent(request, _stored)
        return result.map(lambda _: digest)

    async def get(self, digest):
        request = self._request(
            GET_OBJECT, storelimit.Kind.READ, 'GET', digest
        )
        return await self._client.call(
            request, lambda answer: _fetched(answer, digest)
        )

    async def delete(self, digest):
        request = self._request(
            DELETE_OBJECT, storelimit.Kind.WRITE, 'DELETE', digest
        )
        return await self._client.call(request, _deleted)

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
        return await self._client.call(request, _listed)

    def _request(self, operation, kind, method, digest):
        return storeclient.Request(
            operation, kind, method, f'{self._url}/{digest}', {}
        )


def _stored(answer):
    # 412 says that the blob is there already.
    if answer.status in (200, 412):
        return expression.Ok(None)
    return expression.Error(_failure(answer))


def _fetched(answer, digest):
    if answer.status == 404 and _code(answer) == 'NoSuchKey':
        return expression.Ok(None)
    if answer.status != 200:
        return expression.Error(_failure(answer))
    if hashlib.sha256(answer.body).hexdigest() != digest:
        return expression.Error(
            errors.StoreNotRun('the blob does not match its digest')
        )
    return expression.Ok(answer.body)


def _deleted(answer):
    if answer.status in (200, 204, 404):
        return expression.Ok(None)
    return expression.Error(_failure(answer))


def _listed(answer):
    if answer.status != 200:
        return expression.Error(_failure(answer))
    root = _parse(answer.body)
    now = email.utils.parsedate_to_datetime(answer.headers['Date'])
    names = tuple(
        _named(item, now) for item in root.iter(f'{NAMESPACE}Contents')
    )
    token = root.findtext(f'{NAMESPACE}NextContinuationToken', '')
    return expression.Ok(
        (tuple(item for item in names if _DIGEST.fullmatch(item[0])), token)
    )


def _named(item, now):
    born = datetime.datetime.fromisoformat(
        item.findtext(f'{NAMESPACE}LastModified', '')
    )
    age = max(0.0, (now - born).total_seconds())
    return item.findtext(f'{NAMESPACE}Key', ''), age


def _failure(answer):
    code = _code(answer)
    reason = f'status {answer.status} {code}'
    if code in _BEFORE_EFFECT or 400 <= answer.status < 500:
        return errors.StoreNotRun(reason)
    return errors.StoreUnknown(reason)


def _code(answer):
    try:
        return _parse(answer.body).findtext('Code', '')
    except ValueError:
        return ''


def _parse(body):
    try:
        return xml.etree.ElementTree.fromstring(body)
    except xml.etree.ElementTree.ParseError as error:
        raise ValueError(str(error)) from error
