"""The console of forms over HTTP."""

import dataclasses
import hashlib
import hmac
import html
import json
import urllib.parse
import uuid

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import configuration
from skylarktack.transport import _operator_answers


class ConsoleEndpoint:
    """Answers the console's pages; keeps nothing between two requests."""

    def __init__(
        self,
        publisher: configuration.ConfigurationPublisher,
        secret: str,
    ) -> None:
        self._publisher = publisher
        # A page of another site cannot know the code, so it cannot submit a
        # form in an operator's name.
        self._form_code = hashlib.blake2b(
            secret.encode(), digest_size=16, person=b'console form'
        ).hexdigest()

    def answer(
        self, method: str, path: str, body: bytes
    ) -> _operator_answers.OperatorAnswer:
        """Answer one request of a browser."""
        if path == '/console/history':
            return self._history()
        if path != '/console':
            return _html('<p>No such page.</p>', 404)
        if method == 'GET':
            return self._start()
        if method != 'POST':
            return _html('<p>Use GET or POST.</p>', 405)
        form = dict(
            urllib.parse.parse_qsl(
                body.decode(errors='replace'), keep_blank_values=True
            )
        )
        if not hmac.compare_digest(
            form.get('form_code', '').encode(), self._form_code.encode()
        ):
            return _html('<p>The form is not from this console.</p>', 403)
        try:
            page = protocol.ConsolePage(
                draft=json.dumps(json.loads(form['draft'])),
                base_revision=int(form['base_revision']),
                change_id=form['change_id'],
                form_code=self._form_code,
                section=form.get('section', ''),
                index=int(form.get('index') or 0),
                search=form.get('search', ''),
            )
        except (KeyError, ValueError, RecursionError):
            return _html('<p>The form is incomplete.</p>', 400)
        return self._act(page, form)

    def _start(self) -> _operator_answers.OperatorAnswer:
        history = self._publisher.history(1)
        if history.is_error():
            return _html('<p>The object API cannot be reached.</p>', 503)
        document = state.ConfigurationDocument()
        revision = 0
        if history.ok:
            document = history.ok[0].document
            revision = history.ok[0].revision
        return self._show(
            protocol.ConsolePage(
                draft=protocol.encode_document(document),
                base_revision=revision,
                change_id=uuid.uuid4().hex,
                form_code=self._form_code,
            )
        )

    def _act(
        self, page: protocol.ConsolePage, form: dict[str, str]
    ) -> _operator_answers.OperatorAnswer:
        name, _, rest = form.get('action', '').partition(':')
        section, _, index = rest.partition(':')
        if name == 'edit' and section in protocol.SECTIONS:
            return self._show(
                dataclasses.replace(
                    page,
                    section=section,
                    index=int(index) if index.isdecimal() else 0,
                )
            )
        plain = json.loads(page.draft)
        if name == 'add' and section in protocol.SECTIONS:
            entries = plain.setdefault(section, [])
            entries.append(protocol.new_entry(section))
            return self._show(
                dataclasses.replace(
                    page,
                    draft=json.dumps(plain),
                    section=section,
                    index=len(entries) - 1,
                )
            )
        entries = plain.get(page.section, [])
        if name in ('save', 'delete') and page.index < len(entries):
            if name == 'save':
                entries[page.index] = protocol.read_entry(page.section, form)
            else:
                del entries[page.index]
            notice = 'Saved into the draft; not applied yet.'
            return self._show(
                dataclasses.replace(
                    page, draft=json.dumps(plain), notice=notice
                )
            )
        if name == 'apply':
            return self._apply(page, form)
        return self._show(page)

    def _apply(
        self, page: protocol.ConsolePage, form: dict[str, str]
    ) -> _operator_answers.OperatorAnswer:
        decoded = protocol.decode_document(page.draft)
        if decoded.is_error():
            return self._show(page)
        applied = self._publisher.apply(
            state.ConfigurationChange(
                document=decoded.ok,
                base_revision=page.base_revision,
                author=form.get('author', ''),
                change_id=page.change_id,
                comment=form.get('comment', ''),
            )
        )
        if applied.is_ok():
            return self._show(
                dataclasses.replace(
                    page,
                    base_revision=applied.ok.revision,
                    change_id=uuid.uuid4().hex,
                    notice=f'Revision {applied.ok.revision} is accepted.',
                )
            )
        fault = applied.error
        if fault.kind is not configuration.ChangeFaultKind.CONFLICT:
            return self._show(dataclasses.replace(page, notice=fault.message))
        return self._show(
            dataclasses.replace(
                page,
                notice=f'{fault.message} Your draft is kept below; start '
                'again from the revision in effect to enter it there.',
                conflict=self._conflict(page, fault),
            )
        )

    def _conflict(
        self, page: protocol.ConsolePage, fault: configuration.ChangeFault
    ) -> tuple[str, ...]:
        base = self._base_document(page.base_revision)
        if fault.current is None or base is None:
            return ()
        return protocol.document_difference(
            base,
            protocol.encode_document(fault.current.document),
            f'revision {page.base_revision}',
            f'revision {fault.current.revision} by '
            f'{fault.current.author or "unknown"}',
        )

    def _show(
        self, page: protocol.ConsolePage
    ) -> _operator_answers.OperatorAnswer:
        decoded = protocol.decode_document(page.draft)
        findings: tuple[state.Finding, ...] = ()
        if decoded.is_error():
            findings = decoded.error
        else:
            findings = configuration.check_document(decoded.ok)
        difference: tuple[str, ...] = ()
        base = self._base_document(page.base_revision)
        if base is not None:
            draft = page.draft
            if decoded.is_ok():
                draft = protocol.encode_document(decoded.ok)
            difference = protocol.document_difference(
                base, draft, f'revision {page.base_revision}', 'draft'
            )
        return _html(
            protocol.render_console(
                dataclasses.replace(
                    page, findings=findings, difference=difference
                )
            )
        )

    def _base_document(self, revision: int) -> str | None:
        if revision == 0:
            return protocol.encode_document(state.ConfigurationDocument())
        record = self._publisher.revision(revision)
        if record.is_error():
            return None
        return protocol.encode_document(record.ok.document)

    def _history(self) -> _operator_answers.OperatorAnswer:
        history = self._publisher.history(20)
        if history.is_error():
            return _html('<p>The object API cannot be reached.</p>', 503)
        rows: list[str] = []
        for record in history.ok:
            cells = (
                str(record.revision),
                record.author,
                f'{record.accepted_s:.0f}',
                record.comment,
            )
            shown = ''.join(f'<td>{html.escape(cell)}</td>' for cell in cells)
            rows.append(f'<tr>{shown}</tr>')
        return _html(
            '<p><a href="/console">Console</a></p><table><tr><th>revision'
            '</th><th>author</th><th>accepted, s since 1970</th><th>comment'
            f'</th></tr>{"".join(rows)}</table>'
        )


def _html(text: str, status: int = 200) -> _operator_answers.OperatorAnswer:
    return _operator_answers.OperatorAnswer(
        status, text.encode(), 'text/html; charset=utf-8'
    )
