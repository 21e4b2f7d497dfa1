"""The tree that deploy/build.sh makes, without the packages of the tests."""

import json
import os
import pathlib
import shutil
import subprocess
import sys
import time

import pytest

from skylarktack.emulator import platform
from skylarktack.emulator.tests import reachable_modules

#: Longest wait for the build, and for the end of a move.
PATIENCE_S = 120.0

#: Duration of a move; requests are sent all the while.
MOVE_DURATION_S = 6.0

_REPOSITORY = pathlib.Path(__file__).parents[6]

_START = f'{platform.INSTANCE_MODULE}.__main__'

#: Imported on the first scrape of the metrics, which serves no caller.
_SCRAPE_PACKAGE = 'prometheus_client'

_PRINT_IMPORT_FAILURES = """
import importlib, json, sys
failures = {}
for name in sys.argv[1:]:
    try:
        importlib.import_module(name)
    except Exception as error:
        failures[name] = f'{type(error).__name__}: {error}'
print(json.dumps(failures))
"""

_PRINT_LOADED_MODULES = """
import json, sys
import skylarktack.daemon.forwarding.__main__
from skylarktack.daemon import forwarding
forwarding.main
forwarding.load_modules()
print(json.dumps(list(sys.modules)))
"""


@pytest.fixture(name='tree', scope='module')
def _tree(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    """Return the folder that the build fills, made from a copy."""
    return _build(_copy_checkout(tmp_path_factory.mktemp('checkout')))


def _copy_checkout(copy: pathlib.Path) -> pathlib.Path:
    """Copy what the build reads to a folder; return the folder."""
    shutil.copytree(_REPOSITORY / 'deploy', copy / 'deploy')
    for source in (_REPOSITORY / 'packages').glob('*/src'):
        shutil.copytree(source, copy / source.relative_to(_REPOSITORY))
    return copy


def _build(checkout: pathlib.Path) -> pathlib.Path:
    """Run the build in a checkout; return the folder that it fills."""
    python_folder = str(pathlib.Path(sys.executable).parent)
    subprocess.run(
        ['bash', str(checkout / 'deploy' / 'build.sh')],
        check=True,
        timeout=PATIENCE_S,
        env=os.environ
        | {'PATH': f'{python_folder}{os.pathsep}{os.environ["PATH"]}'},
    )
    return checkout / 'target' / 'deps'


def _run_in_tree(
    tree: pathlib.Path, program: str, *arguments: str
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [
            sys.executable,
            *platform.ISOLATING_FLAGS,
            '-c',
            program,
            *arguments,
        ],
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
        env=os.environ | {'PYTHONPATH': str(tree)},
    )


class TestBuild:
    """A build over the results of an earlier one."""

    def test_library_for_another_architecture_is_replaced(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a carried-over folder that no instance can use."""
        checkout = _copy_checkout(tmp_path)
        tree = _build(checkout)
        for compiled in tree.glob('*/*.so'):
            compiled.rename(compiled.with_suffix('.other-architecture'))
        _build(checkout)
        printed = _run_in_tree(tree, 'import cbor2')
        assert printed.returncode == 0, printed.stderr


class TestModules:
    """Modules that an instance can import."""

    def test_each_reachable_module_is_importable(
        self, tree: pathlib.Path
    ) -> None:
        """Guards against a library that only the tests' environment has."""
        names = reachable_modules.reachable_modules(tree, _START)
        printed = _run_in_tree(tree, _PRINT_IMPORT_FAILURES, *sorted(names))
        assert json.loads(printed.stdout) == {}, printed.stderr

    def test_nothing_is_left_to_load_once_ready(
        self, tree: pathlib.Path
    ) -> None:
        """Guards against an import that fails in the middle of a request."""
        printed = _run_in_tree(tree, _PRINT_LOADED_MODULES)
        assert printed.returncode == 0, printed.stderr
        loaded = set(json.loads(printed.stdout))
        late = set()
        for name in reachable_modules.reachable_modules(tree, _START):
            if name in loaded or name.startswith(_SCRAPE_PACKAGE):
                continue
            late.add(name)
        assert late == set()


class TestStart:
    """A start without one of the modules."""

    def test_missing_module_ends_the_start(
        self, tree: pathlib.Path, tmp_path: pathlib.Path
    ) -> None:
        """Guards against an instance that is ready but cannot serve."""
        damaged = tmp_path / 'deps'
        shutil.copytree(tree, damaged)
        moves = damaged / 'skylarktack' / 'coordination' / 'moves'
        (moves / '_latencies.py').unlink()
        started = subprocess.run(
            [
                sys.executable,
                *platform.ISOLATING_FLAGS,
                '-m',
                platform.INSTANCE_MODULE,
            ],
            capture_output=True,
            text=True,
            timeout=PATIENCE_S,
            env=os.environ | {'PYTHONPATH': str(damaged)},
        )
        assert started.returncode != 0
        assert 'ModuleNotFoundError' in started.stderr


class TestRollOut:
    """A move of a service to another version, from order to verdict."""

    @pytest.mark.parametrize('service', ['desk', 'pool'])
    def test_no_answer_is_lost_during_a_move(
        self, tree: pathlib.Path, service: str
    ) -> None:
        """Guards against answers that are lost while a move is judged."""
        with platform.PlatformDeployment(tree=tree) as deployment:
            deployment.order_move(service, 'v2', MOVE_DURATION_S)
            for instance in deployment.instances:
                instance.wait_for_line(
                    'move', 'move phase recorded', service=service
                )
            if service == 'pool':
                deployment.add_engine('v2')
            else:
                deployment.add_service_target('v2')
            end_s = time.monotonic() + PATIENCE_S
            while not deployment.has_move_ended(service):
                assert time.monotonic() < end_s
                for instance in deployment.instances:
                    self._assert_served(instance, service)
            for instance in deployment.instances:
                errors = [
                    line
                    for line in instance.lines
                    if line['event'] == 'unexpected error'
                ]
                assert errors == []

    def _assert_served(
        self, instance: platform.PlatformInstance, service: str
    ) -> None:
        attempt_id = platform.new_attempt_id()
        if service == 'desk':
            answer = platform.call(
                instance.address, platform.Attempt('peek', attempt_id)
            )
            assert answer.status == 200
            return
        attempt = platform.Attempt(
            'digest', attempt_id, subject=attempt_id, event_count=5
        )
        events = list(platform.read_stream(instance.address, attempt))
        assert events == [
            platform.event_text(attempt_id, number) for number in range(1, 6)
        ]
