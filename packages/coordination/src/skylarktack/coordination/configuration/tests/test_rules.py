"""Tests of the validation of configuration documents."""

import dataclasses
import math

import pytest

from skylarktack import state
from skylarktack.coordination import configuration

_VALID = state.ConfigurationDocument(
    organisations=(
        state.Organisation(
            name=state.OrganisationName('dealer'), key_sha256=('a' * 64,)
        ),
    ),
    routes=(
        state.Route(
            name=state.RouteName('digest'),
            kind=state.RouteKind.GENERATION,
            version=state.VersionName('m1'),
        ),
    ),
    versions=(
        state.Version(
            name=state.VersionName('m1'), kind=state.RouteKind.GENERATION
        ),
        state.Version(
            name=state.VersionName('m2'), kind=state.RouteKind.GENERATION
        ),
        state.Version(
            name=state.VersionName('s1'), kind=state.RouteKind.SERVICE
        ),
    ),
    moves=(
        state.Move(
            name='to-m2',
            route=state.RouteName('digest'),
            from_version=state.VersionName('m1'),
            to_version=state.VersionName('m2'),
            start_s=100.0,
            deadline_s=500.0,
        ),
    ),
)


def _with_route(**fields: object) -> state.ConfigurationDocument:
    route = dataclasses.replace(
        _VALID.routes[0],
        **fields,  # type: ignore[arg-type]
    )
    return dataclasses.replace(_VALID, routes=(route,))


def _with_move(**fields: object) -> state.ConfigurationDocument:
    move = dataclasses.replace(
        _VALID.moves[0],
        **fields,  # type: ignore[arg-type]
    )
    return dataclasses.replace(_VALID, moves=(move,))


def _with_organisation(**fields: object) -> state.ConfigurationDocument:
    organisation = dataclasses.replace(
        _VALID.organisations[0],
        **fields,  # type: ignore[arg-type]
    )
    return dataclasses.replace(_VALID, organisations=(organisation,))


class TestRules:
    """Guards against accepted documents that fail when they are applied."""

    def test_valid_document(self) -> None:
        """A valid document has no findings."""
        assert configuration.check_document(_VALID) == ()

    @pytest.mark.parametrize(
        ('document', 'places'),
        [
            (_with_route(version='none'), ('routes[0].version',)),
            (
                _with_route(version='s1'),
                ('routes[0].version',),
            ),
            (
                _with_route(organisations=('nobody',)),
                ('routes[0].organisations[0]',),
            ),
            (
                _with_route(queue_deadline_ms=-1, call_timeout_ms=0),
                ('routes[0].queue_deadline_ms', 'routes[0].call_timeout_ms'),
            ),
            (
                _with_route(name='Bad Name'),
                ('routes[0].name', 'moves[0].route'),
            ),
            (_with_move(deadline_s=110.0), ('moves[0].deadline_s',)),
            (_with_move(to_version='m1'), ('moves[0].to_version',)),
            (_with_move(to_version='s1'), ('moves[0].to_version',)),
            (
                dataclasses.replace(
                    _VALID,
                    moves=(
                        _VALID.moves[0],
                        dataclasses.replace(_VALID.moves[0], name='again'),
                    ),
                ),
                ('moves[1].route',),
            ),
            (
                dataclasses.replace(
                    _VALID, versions=(*_VALID.versions, _VALID.versions[0])
                ),
                ('versions[3].name',),
            ),
            (
                _with_organisation(key_sha256=('short',), weight=0.0),
                (
                    'organisations[0].weight',
                    'organisations[0].key_sha256[0]',
                ),
            ),
            (
                _with_organisation(
                    limits=state.Limits(concurrency_count=-1, rate_per_s=-2)
                ),
                (
                    'organisations[0].limits.concurrency_count',
                    'organisations[0].limits.rate_per_s',
                ),
            ),
            # A record is UTF-8, so encoding it failed.
            (
                dataclasses.replace(
                    _VALID,
                    versions=(
                        *_VALID.versions[:2],
                        state.Version(
                            state.VersionName('m3'),
                            state.RouteKind.GENERATION,
                            weights='\ud800',
                        ),
                    ),
                ),
                ('versions[2].weights',),
            ),
            # A record would hold null, which no instance can read.
            (
                _with_organisation(weight=math.nan),
                ('organisations[0].weight',),
            ),
            (
                _with_organisation(
                    weight=math.inf, limits=state.Limits(rate_per_s=math.nan)
                ),
                (
                    'organisations[0].weight',
                    'organisations[0].limits.rate_per_s',
                ),
            ),
            (
                _with_move(start_s=math.nan, deadline_s=math.inf),
                ('moves[0].start_s', 'moves[0].deadline_s'),
            ),
        ],
    )
    def test_findings(
        self,
        document: state.ConfigurationDocument,
        places: tuple[str, ...],
    ) -> None:
        """All findings of a document are reported, each with its place."""
        findings = configuration.check_document(document)
        assert tuple(finding.place for finding in findings) == places
