"""Headers and status codes, with messages in the documented format."""

import json

import pytest

from skylarktack import platform
from skylarktack.state import forwarding as data

CODEC = platform.PlatformMessageCodec()

TARGET = data.ListedTarget(
    name='i-7f3a91c2',
    service='pool-a',
    endpoint=data.Address('10.128.0.9', 8080),
    failure_domain='zone-a',
    version='v1',
    slot_count=12,
)

HEAD = data.RequestHead(
    method=b'POST',
    target=b'/lohu930/2f?page=1',
    headers=(
        (b'Host', b'Ficu95.example:80'),
        (b'Attempt-Id', b'9c41d07be2a35f68'),
        (b'Last-Event-Id', b'12'),
        (b'Model', b'm'),
        (b'Token-Usage', b'1460,80'),
        (b'Prompt-Prefix', b'5c1e07a2:800,e4402b7d:250'),
        (b'Deadline-Ms', b'25000'),
        (b'Key', b'secret'),
        (b'X-Own', b'kept'),
    ),
)

#: Header fields that a caller must not be able to set at a target.
RESERVED = (
    b'Hold',
    b'Pin-Ms',
    b'Kv-Backup',
    b'Kv-From',
    b'Kv-Fetch',
    b'Tenant',
    b'Expected-Replica',
    b'Expected-Version',
    b'Request-Priority',
)


def _request(*more: tuple[bytes, bytes]) -> data.FrontRequest:
    head = data.RequestHead(HEAD.method, HEAD.target, HEAD.headers + more)
    decoded = CODEC.decode_request(head, b'body', True)
    assert isinstance(decoded, data.FrontRequest)
    return decoded


class TestCallerRequest:
    """The headers of a caller are decoded to typed fields."""

    def test_decodes_fields(self) -> None:
        """Guards against headers that are mapped to the wrong field."""
        request = _request()
        assert request.attempt_id == '9c41d07be2a35f68'
        assert request.host == 'ficu95.example'
        assert request.path == b'/lohu930/2f?page=1'
        assert request.time_limit_ms == 25000
        assert request.key == 'secret'
        assert request.last_event_id == 12
        assert request.model == 'm'
        assert request.prompt_tokens == 1460
        assert request.output_tokens == 80
        assert request.prompt_parts == (
            data.PromptPart('5c1e07a2', 800),
            data.PromptPart('e4402b7d', 250),
        )

    def test_refuses_time_limit_that_is_not_a_number(self) -> None:
        """Guards against requests that run without a deadline."""
        head = data.RequestHead(b'GET', b'/', ((b'Deadline-Ms', b'soon'),))
        refusal = CODEC.decode_request(head, b'', False)
        assert isinstance(refusal, data.Refusal)
        assert refusal.reason is data.RefusalReason.BAD_REQUEST


class TestEngineCalls:
    """Requests to engines about copies and cached prompts."""

    def test_copy_order(self) -> None:
        """Guards against an order that the engine does not understand."""
        order = data.CopyOrder(
            TARGET, '9c41d07be2a35f68', data.Address('10.128.0.10', 8081)
        )
        message = CODEC.encode_copy_order(order)
        assert (message.method, message.target) == (b'POST', b'/kv-move')
        assert json.loads(message.body) == {
            'identifier': '9c41d07be2a35f68',
            'target': '10.128.0.10:8081',
            'is_last': False,
        }
        assert (b'Expected-Replica', b'i-7f3a91c2') in message.headers

    @pytest.mark.parametrize(
        ('body', 'handle'),
        [
            (b'{"kv_handle":"h-1","created_at":12}', 'h-1'),
            (b'{"kv_handle":"h 1"}', None),
            (b'{"kv_handle":7}', None),
            (b'{}', None),
            (b'[' * 100_000, None),
            (b'no', None),
        ],
    )
    def test_copy_handle(self, body: bytes, handle: str | None) -> None:
        """Guards against a handle that breaks the header it is sent in."""
        assert CODEC.decode_copy(body) == handle

    def test_copy_is_named_by_its_source(self) -> None:
        """Guards against resuming from a handle of another engine."""
        copy = data.RunCopy(TARGET, data.Address('10.128.0.11', 8082), 'h-1')
        context = data.DispatchContext(TARGET, None, None, copy=copy)
        headers = dict(CODEC.encode_request(_request(), context))
        assert headers[b'Kv-From'] == b'10.128.0.11:8082/h-1'

    def test_release(self) -> None:
        """Guards against copies that stay in the memory of engines."""
        message = CODEC.encode_copy_release(TARGET, 'h/1')
        assert message.method == b'DELETE'
        assert message.target == b'/kv-handle/h%2F1'

    @pytest.mark.parametrize(
        ('body', 'part_ids'),
        [
            (
                b'{"epoch":1,"next":4,"held":[["","5c1e",800,"m"],'
                b'["","91bd",410,"m"]]}',
                {'5c1e', '91bd'},
            ),
            (b'{"held":[["","5c1e"],[],["",7],"x",null]}', {'5c1e'}),
            (b'{"held":{}}', set()),
            (b'[]', set()),
            (b'{', set()),
        ],
    )
    def test_cached_parts(self, body: bytes, part_ids: set[str]) -> None:
        """Guards against a list that one odd entry makes useless."""
        assert CODEC.decode_cached_parts(body) == part_ids


class TestTargetNotices:
    """What a target says of itself in the headers of any response."""

    @pytest.mark.parametrize(
        ('value', 'is_leaving'),
        [(b'1', True), (b'0', False), (b'', False), (b'yes', False)],
    )
    def test_leaving(self, value: bytes, is_leaving: bool) -> None:
        """Guards against requests to a target that is about to stop."""
        head = CODEC.decode_response(421, ((b'Server-Leaving', value),))
        assert head.is_leaving == is_leaving

    @pytest.mark.parametrize(
        ('value', 'delay_s'),
        [
            (b'3', 3.0),
            (b'0.25', 0.25),
            (b'0', 0.0),
            (b'Sun, 06 Nov 1994 08:49:47 GMT', 10.0),
            (b'Sun, 06 Nov 1994 08:49:30 GMT', 0.0),
            (b'1e300', 1e300),
            (b'-1', None),
            (b'nan', None),
            (b'inf', None),
            (b'1e999', None),
            (b'soon', None),
            (b'Sun, 99 Nov 1994 08:49:37 GMT', None),
            (b'Sun, 06 Nov 99999999999999999999 08:49:37 GMT', None),
            (b'', None),
            (b'\xb2', None),
        ],
    )
    def test_retry_after(self, value: bytes, delay_s: float | None) -> None:
        """Guards against odd delays, which must neither fail nor last."""
        # Sun, 06 Nov 1994 08:49:37 GMT, the example of RFC 9110.
        codec = platform.PlatformMessageCodec(lambda: 784111777.0)
        head = codec.decode_response(503, ((b'Retry-After', value),))
        assert head.retry_after_s == delay_s


class TestTargetRequest:
    """The header fields of a request to a target."""

    def test_encodes_headers(self) -> None:
        """Guards against lost headers, and against forwarding API keys."""
        delivery = data.DispatchContext(
            target=TARGET,
            organisation='huka270',
            time_left_ms=1234.9,
            last_event_id=40,
            standby=data.Address('10.128.0.10', 8081),
            copy=data.RunCopy(TARGET),
        )
        encoded = CODEC.encode_request(_request(), delivery)
        assert encoded == (
            (b'Host', b'Ficu95.example:80'),
            (b'Attempt-Id', b'9c41d07be2a35f68'),
            (b'Model', b'm'),
            (b'Token-Usage', b'1460,80'),
            (b'Prompt-Prefix', b'5c1e07a2:800,e4402b7d:250'),
            (b'X-Own', b'kept'),
            (b'Expected-Replica', b'i-7f3a91c2'),
            (b'Deadline-Ms', b'1234'),
            (b'Tenant', b'huka270'),
            (b'Last-Event-Id', b'40'),
            (b'Kv-Backup', b'10.128.0.10:8081'),
            (b'Kv-From', b'10.128.0.9:8080/9c41d07be2a35f68'),
        )

    @pytest.mark.parametrize(
        ('priority', 'expected'), [(None, None), (0, b'0'), (4, b'4')]
    )
    def test_priority_of_a_run(
        self, priority: int | None, expected: bytes | None
    ) -> None:
        """Guards against runs whose urgency the engine does not learn."""
        delivery = data.DispatchContext(TARGET, None, 1234, priority=priority)
        headers = dict(CODEC.encode_request(_request(), delivery))
        assert headers.get(b'Request-Priority') == expected

    @pytest.mark.parametrize('name', RESERVED, ids=bytes.decode)
    def test_reserved_headers_are_not_forwarded(self, name: bytes) -> None:
        """Guards against callers that set what only the front end sets."""
        for spelling in (name, name.lower(), name.upper()):
            request = _request((spelling, b'1'))
            plain = data.DispatchContext(TARGET, None, None)
            names = [
                sent.lower()
                for sent, value in CODEC.encode_request(request, plain)
                if value == b'1'
            ]
            assert not names


class TestTargetResponse:
    """The headers and reports of a target are decoded."""

    def test_decodes_signed_response(self) -> None:
        """Guards against responses that lose the target's signature."""
        headers = (
            (b'Attempt-Id', b'9c41'),
            (b'Replica-Signature', b'3e1b.07'),
            (b'Replica-Load', b'3,1,8'),
        )
        head = CODEC.decode_response(200, headers)
        assert head.attempt_id == '9c41'
        assert head.is_signed
        assert not head.is_not_executed
        assert head.load == data.TargetLoad(3, 1, 8)
        assert head.headers == headers

    def test_decodes_not_executed(self) -> None:
        """Guards against retrying a request that was executed."""
        assert CODEC.decode_response(
            503, ((b'Not-Executed', b'1'),)
        ).is_not_executed
        assert not CODEC.decode_response(503, ()).is_not_executed

    @pytest.mark.parametrize(
        ('value', 'expected', 'defect'),
        [
            (b'', None, ''),
            (b'3', None, '3'),
            (b'3,x,8', None, '3,x,8'),
            (b'-1,2,8', None, '-1,2,8'),
            (b'3,1,' + b'9' * 400, None, '3,1,' + '9' * 60),
            (b'3,1,8', data.TargetLoad(3, 1, 8), None),
            (b'3,1,8,250', data.TargetLoad(3, 1, 8, 2.5), None),
            (b'3, 1, 8, 40', data.TargetLoad(3, 1, 8, 0.4), None),
            (b'3,1,8,', data.TargetLoad(3, 1, 8), '3,1,8,'),
            (b'3,1,8,x', data.TargetLoad(3, 1, 8), '3,1,8,x'),
            (b'3,1,8,-5', data.TargetLoad(3, 1, 8), '3,1,8,-5'),
            (b'3,1,8,0', data.TargetLoad(3, 1, 8), '3,1,8,0'),
            (b'3,1,8,999999', data.TargetLoad(3, 1, 8, 100.0), None),
            (b'3,1,8,100,7,x', data.TargetLoad(3, 1, 8, 1.0), None),
        ],
    )
    def test_load_keeps_what_can_be_read(
        self,
        value: bytes,
        expected: data.TargetLoad | None,
        defect: str | None,
    ) -> None:
        """Guards against losing a load for one figure more, or misreading.

        And against a figure that is dropped without a word.
        """
        headers = ((b'Replica-Load', value),)
        head = CODEC.decode_response(200, headers)
        assert head.load == expected
        assert head.load_defect == defect

    def test_missing_load_is_no_defect(self) -> None:
        """Guards against log lines about targets that report no load."""
        assert CODEC.decode_response(200, ()).load_defect is None

    def test_decodes_report(self) -> None:
        """Guards against a queue length or start time that is misread."""
        report = CODEC.decode_report(b'{"queued_requests":3,"busy":false}')
        assert report == data.TargetReport(3)
        report = CODEC.decode_report(b'{"queued_requests":0,"born":17}')
        assert report == data.TargetReport(0, started_at_ms=17)
        assert CODEC.decode_report(b'not json') is None
        assert CODEC.decode_report(b'[]') is None


class TestRefusal:
    """Refusals have the status codes that the platform documents."""

    @pytest.mark.parametrize(
        ('reason', 'status'),
        [
            (data.RefusalReason.NO_CONFIGURATION, 503),
            (data.RefusalReason.NO_ROUTE, 404),
            (data.RefusalReason.UNKNOWN_KEY, 401),
            (data.RefusalReason.BAD_REQUEST, 400),
            (data.RefusalReason.HEADER_TOO_LARGE, 431),
            (data.RefusalReason.BODY_TOO_LARGE, 413),
            (data.RefusalReason.READ_TIMEOUT, 408),
            (data.RefusalReason.NO_TARGET, 503),
            (data.RefusalReason.MEMORY_FULL, 503),
            (data.RefusalReason.OVER_SHARE, 503),
            (data.RefusalReason.STOPPING, 503),
            (data.RefusalReason.TIME_UP_NOT_RUN, 503),
            (data.RefusalReason.INTERNAL_ERROR_NOT_RUN, 503),
            (data.RefusalReason.TIME_UP, 504),
            (data.RefusalReason.TARGET_FAILED, 502),
        ],
    )
    def test_status(self, reason: data.RefusalReason, status: int) -> None:
        """Guards against a status that says "not executed" wrongly.

        A caller retries such a request, though it may have been executed.
        """
        response = CODEC.encode_refusal(data.Refusal(reason, 0.42))
        assert response.status == status
        assert (b'Retry-After', b'0.42') in response.headers

    def test_every_reason_has_a_status(self) -> None:
        """Guards against a lookup error for a reason without a status."""
        for reason in data.RefusalReason:
            assert CODEC.encode_refusal(data.Refusal(reason)).status
