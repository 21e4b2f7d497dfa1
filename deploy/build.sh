#!/usr/bin/env bash
# Puts what an instance needs on the users' platform under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
mkdir -p "$deps"
# Compiled libraries fit one version of Python and one processor architecture.
import_libraries() {
    PYTHONPATH="$deps" python3 -S -s -c 'import cbor2, h11, prometheus_client'
}
if ! cmp -s deploy/requirements.txt target/installed.txt ||
    ! import_libraries 2>/dev/null; then
    rm -f target/installed.txt
    python3 -m pip install --quiet --upgrade --no-deps --require-hashes \
        --target "$deps" --requirement deploy/requirements.txt
    import_libraries
    cp deploy/requirements.txt target/installed.txt
fi
rm -rf "$deps/skylarktack"
for package in state coordination protocol platform transport daemon; do
    cp -R "packages/$package/src/skylarktack" "$deps/"
done
find "$deps/skylarktack" -name tests -prune -exec rm -r {} +
# Compiled files spare processor time at each start of a process.
python3 -m compileall -q -f "$deps"
