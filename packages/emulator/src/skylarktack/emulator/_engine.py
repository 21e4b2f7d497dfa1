"""Stand-in for a model engine."""

import dataclasses
import json
import os
import time
import uuid

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.emulator import _engine_model
from skylarktack.emulator import _http_stand_in

#: Time without a token after which the engine sends a sign of life.
KEEPALIVE_S = 0.25


class EngineServer(_http_stand_in.StandInServer):
    """An engine over HTTP."""

    def __init__(
        self, listen: state.Address, shape: _engine_model.EngineShape
    ) -> None:
        self.model = _engine_model.EngineModel(shape)
        self.incarnation = uuid.uuid4().hex[:12]
        self.silence_before_s = 0.0
        super().__init__((listen.host, listen.port), _Handler)
        self.model.start()

    def switch_faults(self, fields: dict[str, object]) -> None:
        """Change the faults; ``die`` ends the process at once."""
        if fields.pop('die', False):
            os._exit(9)
        if fields.pop('silence_open', False):
            self.silence_before_s = time.monotonic()
        self.model.fault_s = time.monotonic()
        self.model.faults = dataclasses.replace(
            self.model.faults,
            **fields,  # type: ignore[arg-type]
        )
        if not self.model.faults.pause_after_count:
            self.model.resume_attempts()


class _Handler(_http_stand_in.StandInHandler):
    server: EngineServer

    def do_POST(self) -> None:
        body = self.body()
        if self.route == '/control':
            self.server.switch_faults(json.loads(body or b'{}'))
            self.answer()
            return
        if self.route == '/v1/orders':
            obeyed = self.server.model.obey(protocol.decode_target_order(body))
            self.answer_json(200 if obeyed else 409, {})
            return
        order = protocol.decode_engine_order(body)
        if order.version not in self.server.model.versions:
            self.answer_json(404, {})
            return
        if self._refuses(order):
            self.answer_json(500, {})
            return
        run = self.server.model.submit(order)
        self._stream(run, run.start)

    def do_GET(self) -> None:
        model = self.server.model
        if self.route == '/v1/health':
            self.answer_json(200, {'incarnation': self.server.incarnation})
            return
        if self.route == '/v1/load':
            running, waiting, age_ms = model.load_report()
            load = ports.EngineLoad(
                incarnation=self.server.incarnation,
                running_count=running,
                waiting_count=waiting,
                slot_count=model.shape.slot_count,
                versions=tuple(
                    state.VersionName(name) for name in model.versions
                ),
                age_ms=age_ms,
            )
            self.answer(200, protocol.encode_plain(load))
            return
        if self.route == '/v1/cache-events':
            events = model.cache_events(int(self.query('after', '0')))
            self.answer(200, protocol.encode_plain(events))
            return
        if self.route == '/control/running':
            self.answer_json(
                200,
                {
                    'running_count': model.running_count(),
                    'generated_count': model.generated_count,
                    'paused_count': model.paused_count(),
                },
            )
            return
        if self.route == '/control/orders':
            with model.changed:
                orders = [
                    (order.subject, order.fencing_number)
                    for order in model.orders
                ]
            self.answer_json(200, orders)
            return
        request_id = self.route.removeprefix('/v1/generations/')
        run = model.runs.get((request_id, int(self.query('attempt', '1'))))
        if run is None or run.cancelled:
            self.answer_json(404, {})
            return
        self._stream(run, int(self.query('from', '0')))

    def do_DELETE(self) -> None:
        request_id = self.route.removeprefix('/v1/generations/')
        self.server.model.cancel(request_id, int(self.query('attempt', '1')))
        self.answer()

    def _refuses(self, order: state.AttemptRequest) -> bool:
        model = self.server.model
        faults = model.faults
        if faults.fail_starts:
            since_ms = (time.monotonic() - model.fault_s) * 1000
            if since_ms >= faults.fail_after_ms:
                return True
        if faults.fail_route and faults.fail_route == order.route:
            return True
        if faults.fail_version and faults.fail_version == order.version:
            return True
        above = faults.fail_above_running_count
        return bool(above) and model.running_count() > above

    def _stream(self, run: _engine_model.EngineRun, start: int) -> None:
        opened_s = time.monotonic()
        self.send_response(200)
        self.send_header('Content-Type', 'text/event-stream')
        if self._is_chunked():
            self.send_header('Transfer-Encoding', 'chunked')
        else:
            self.close_connection = True
        self.end_headers()
        self._chunk(
            protocol.encode_stream_event(
                state.StreamStart(
                    request_id=run.order.request_id,
                    attempt=run.order.attempt,
                    incarnation=self.server.incarnation,
                    from_position=start,
                )
            )
        )
        sent = start
        model = self.server.model
        while True:
            with model.changed:
                if run.position <= sent and not run.done:
                    model.changed.wait(KEEPALIVE_S)
                    deadline_s = time.monotonic() + KEEPALIVE_S
                    while run.position <= sent and not run.done:
                        left_s = deadline_s - time.monotonic()
                        if left_s <= 0:
                            break
                        model.changed.wait(left_s)
                position = run.position
                done = run.done
            if opened_s < self.server.silence_before_s:
                # The connection stays open and nothing more is sent on it.
                time.sleep(KEEPALIVE_S)
                continue
            if run.cancelled:
                self.drop_connection()
                return
            chunk, stopped = self._tokens(run, sent, position)
            if not chunk and not done:
                chunk = protocol.encode_stream_event(state.Keepalive())
            sent = max(sent, position)
            if done and not stopped:
                chunk += protocol.encode_stream_event(
                    state.StreamEnd(run.position, 'length')
                )
            if chunk:
                self._chunk(chunk)
            if stopped:
                if self.server.model.faults.close_after_count:
                    self.drop_connection()
                    return
                self._end_chunks()
                return
            if done:
                self._end_chunks()
                return

    def _tokens(
        self, run: _engine_model.EngineRun, sent: int, position: int
    ) -> tuple[bytes, bool]:
        faults = self.server.model.faults
        order = run.order
        parts: list[bytes] = []
        for at in range(sent, position):
            made = at - run.start
            if faults.error_after_count and made >= faults.error_after_count:
                parts.append(
                    protocol.encode_stream_event(
                        state.StreamError('engine_failed', 'Engine failed.')
                    )
                )
                return b''.join(parts), True
            if faults.close_after_count and made >= faults.close_after_count:
                return b''.join(parts), True
            if at == faults.skip_position:
                continue
            text = _engine_model.expected_token(order.prompt, at)
            if faults.diverge and order.prefix_tokens:
                text = text.upper()
            token = protocol.encode_stream_event(
                state.TokenEvent(order.attempt, at, text.encode())
            )
            parts.append(token)
            if faults.repeat_tokens:
                parts.append(token)
            if faults.cross_answers:
                parts.append(
                    protocol.encode_stream_event(
                        state.TokenEvent(
                            order.attempt + 7, at + 1, b'crossed '
                        )
                    )
                )
        return b''.join(parts), False

    def _is_chunked(self) -> bool:
        # HTTP/1.0 knows no chunks; the end of the connection ends the body.
        return self.request_version != 'HTTP/1.0'

    def _end_chunks(self) -> None:
        if self._is_chunked():
            self.wfile.write(b'0\r\n\r\n')

    def _chunk(self, data: bytes) -> None:
        if not self._is_chunked():
            self.wfile.write(data)
            return
        self.wfile.write(b'%x\r\n%b\r\n' % (len(data), data))
