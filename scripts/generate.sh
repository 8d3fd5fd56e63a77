#!/usr/bin/env bash
# Regenerates schema/gen from the Cap'n Proto schema files.
set -euo pipefail
cd "$(dirname "$0")/../schema"
capnp compile -oc++:gen --src-prefix=. config.capnp mesh.capnp admin.capnp
